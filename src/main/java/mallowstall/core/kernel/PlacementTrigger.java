package mallowstall.core.kernel;

import mallowstall.Constants;

/**
 * Decides when the next scheduling pass is due, and counts the reported changes of capacity.
 * Mutable.
 */
public final class PlacementTrigger {
  /**
   * Time, in milliseconds, after the last change of capacity from which a status update that
   * changes nothing counts as a change too and ends the backoff of waiting policies.
   */
  private static final long REFRESH_CAPACITY_CHANGE_INTERVAL_MS = 1_000;

  private final EventClock clock;
  private final EventLoopLag lag;
  private boolean requested;
  private long nextPassMs;
  private long capacityVersion = 1;
  private long capacityReportedAtMs;

  /**
   * Creates a trigger for which no pass is due before the first request. The gap between passes
   * grows with {@code lag}.
   */
  public PlacementTrigger(EventClock clock, EventLoopLag lag) {
    this.clock = clock;
    this.lag = lag;
  }

  /** Requests a pass because a change has occurred that the pass must take into account. */
  public void request() {
    requested = true;
  }

  /**
   * Records that a status update has been applied. An update that changed nothing counts as a
   * change of capacity only once in an interval. It counts because the values that policies
   * evaluate may change with time alone.
   *
   * @param changed whether the update changed anything
   */
  public void capacityReported(boolean changed) {
    long now = clock.now();
    if (changed || now - capacityReportedAtMs >= REFRESH_CAPACITY_CHANGE_INTERVAL_MS) {
      capacityReportedAtMs = now;
      capacityVersion++;
      requested = true;
    }
  }

  /**
   * Returns a number that grows with each reported change of capacity, so that jobs in backoff are
   * retried.
   */
  public long capacityVersion() {
    return capacityVersion;
  }

  /**
   * Returns whether the caller must run a pass now. If so, the request is cleared, and the next
   * pass is due no earlier than after the gap between passes.
   */
  public boolean takeDue() {
    if (!requested || clock.now() < nextPassMs) {
      return false;
    }
    requested = false;
    nextPassMs = clock.now() + lag.stretchedGapMs(Constants.PLACEMENT_PASS_INTERVAL_MIN_MS);
    return true;
  }
}
