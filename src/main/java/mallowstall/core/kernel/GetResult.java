package mallowstall.core.kernel;

/**
 * How the read of a key has ended.
 *
 * @param item the key with its value, or without one if it doesn't exist; null unless code is OK
 */
public record GetResult(ResultCode code, KeyValue item) {}
