package mallowstall.core.kernel;

/** How a transaction has ended, and its revision. */
public record TransactionResult(ResultCode code, long revision) {}
