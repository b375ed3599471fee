package mallowstall.core.kernel;

/** The result of a request to the state service or to a worker. */
public enum ResultCode {
  /** The request was executed. */
  OK,
  /** Part of a response that is still arriving. Further results of the same request follow. */
  PARTIAL,
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
   * The request was not executed because it is malformed or too large, or its response can't be
   * read. An unchanged retry fails too.
   */
  INVALID,
  /** No response arrived. The request may have been executed, or may be at any later time. */
  OUTCOME_UNKNOWN
}
