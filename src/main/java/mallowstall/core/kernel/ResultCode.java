package mallowstall.core.kernel;

/** How a request to the state service, or to a worker, has ended. */
public enum ResultCode {
  /** Executed. */
  OK,
  /** Not executed: a condition of the transaction, or the worker's token or session, differs. */
  CONFLICT,
  /** Not executed: a lease that the transaction names has ended. */
  LEASE_NOT_FOUND,
  /** Not executed: the lease has ended, or the revision is older than what the service keeps. */
  EXPIRED,
  /** Not executed, now or later; may be tried again. */
  REJECTED,
  /** Not executed, nor ever as it is: a value or the transaction is too large. */
  INVALID,
  /** No answer: perhaps executed, perhaps still to be, at any later time. */
  OUTCOME_UNKNOWN
}
