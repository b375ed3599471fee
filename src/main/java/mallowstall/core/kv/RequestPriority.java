package mallowstall.core.kv;

/** Priority of requests to the state service, the highest first: it is served first. */
public enum RequestPriority {
  /** This controller's own session; goes out even if a large transaction has overdrawn the rate. */
  SESSION(-100, -100),
  /** Requests that a user waits for. */
  USER(0, 0),
  /** Leadership of machines and autoscaling. */
  MACHINE(0, 0),
  /** Leadership and completion of jobs, and quota. */
  JOB(0, 0),
  /** Work that may wait; leaves tokens for all the others. */
  BACKGROUND(4, 3);

  private final double requestReserve;
  private final double writeReserve;

  RequestPriority(double requestReserve, double writeReserve) {
    this.requestReserve = requestReserve;
    this.writeReserve = writeReserve;
  }

  /** Requests that must stay in the budget for others; negative: it may be overdrawn so far. */
  double requestReserve() {
    return requestReserve;
  }

  /** Writes that must stay in the budget for others; negative: it may be overdrawn so far. */
  double writeReserve() {
    return writeReserve;
  }
}
