package mallowstall.core.kernel;

/** How a request to the state service, or to a worker, has ended. */
public enum ResultCode {
  OK,
  CONFLICT,
  LEASE_NOT_FOUND,
  EXPIRED,
  /** Surely not executed. */
  REJECTED,
  /** Surely not executed, nor ever as it is: a value or the transaction is too large. */
  INVALID,
  /** Perhaps executed, perhaps later. */
  OUTCOME_UNKNOWN
}
