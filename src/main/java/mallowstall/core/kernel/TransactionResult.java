package mallowstall.core.kernel;

/**
 * The result of a transaction.
 *
 * @param revision the revision of all changes of the transaction if code is OK, the revision of the
 *     response if code is CONFLICT, otherwise 0
 */
public record TransactionResult(ResultCode code, long revision) {}
