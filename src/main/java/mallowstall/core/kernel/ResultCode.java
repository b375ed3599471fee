package mallowstall.core.kernel;

/** The result of a request to the state service or to a worker. */
public enum ResultCode {
  /** The request was executed. */
  OK,
  /**
   * The request was not executed because a condition of the transaction doesn't hold, or because
   * the worker's fencing token or session differs.
   */
  CONFLICT,
  /** The transaction was not executed because a lease that it names has ended. */
  LEASE_NOT_FOUND,
  /**
   * The request was not executed because the lease has ended, or because the revision is older than
   * those that the state service keeps.
   */
  EXPIRED,
  /** The request was not executed and won't be executed later. The caller may retry it. */
  REJECTED,
  /**
   * The request was not executed because a value or the transaction is too large. An unchanged
   * retry fails too.
   */
  INVALID,
  /** No response arrived. The request may have been executed, or may be at any later time. */
  OUTCOME_UNKNOWN
}
