package mallowstall.core.kernel;

/**
 * How a transaction has ended.
 *
 * @param revision with OK, that of all its changes; with CONFLICT, that of the answer; otherwise 0
 */
public record TransactionResult(ResultCode code, long revision) {}
