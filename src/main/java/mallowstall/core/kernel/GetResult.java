package mallowstall.core.kernel;

/**
 * The result of reading a key.
 *
 * @param item the key and its value, which is null if the key doesn't exist; the item is null
 *     unless code is OK
 */
public record GetResult(ResultCode code, KeyValue item) {}
