package mallowstall.core.kv;

/** Priorities of requests to the state service, from the highest, which is sent first. */
public enum RequestPriority {
  /**
   * Requests for this controller's own session. They are sent even if a large transaction has
   * overdrawn the rate.
   */
  SESSION(-100, -100),
  /** Requests on whose result a user waits. */
  USER(0, 0),
  /** Requests for the leadership of machines and for autoscaling. */
  MACHINE(0, 0),
  /** Deletions of the entries of returned machines, some dozens in one transaction. */
  MACHINE_REMOVAL(0, 0),
  /** Requests for the leadership and completion of jobs, and for quota. */
  JOB(0, 0),
  /** Requests that can wait. They leave tokens for all other priorities. */
  BACKGROUND(4, 3);

  private final double requestReserve;
  private final double writeReserve;

  RequestPriority(double requestReserve, double writeReserve) {
    this.requestReserve = requestReserve;
    this.writeReserve = writeReserve;
  }

  /**
   * Returns the number of requests that must remain in the budget for others. If negative, the
   * budget may be overdrawn by that number.
   */
  double requestReserve() {
    return requestReserve;
  }

  /**
   * Returns the number of writes that must remain in the budget for others. If negative, the budget
   * may be overdrawn by that number.
   */
  double writeReserve() {
    return writeReserve;
  }
}
