package mallowstall.core.kernel;

import mallowstall.Constants;

/** When the next placement pass is due, and how often capacity has changed. Mutable. */
public final class PlacementTrigger {
  /**
   * ms. Least time between two refreshes without news that count as changed capacity for waiting
   * policies.
   */
  private static final long REFRESH_CAPACITY_CHANGE_INTERVAL_MS = 1_000;

  private final EventClock clock;
  private final EventLoopLag lag;
  private boolean requested;
  private long nextPassMs;
  private long capacityVersion = 1;
  private long capacityReportedAtMs;

  /** No pass is due before the first request; {@code lag} stretches the gap between passes. */
  public PlacementTrigger(EventClock clock, EventLoopLag lag) {
    this.clock = clock;
    this.lag = lag;
  }

  /** Requests a pass: something has changed that it should consider. */
  public void request() {
    requested = true;
  }

  /**
   * A status update has been applied; {@code changed} tells whether it changed anything. One that
   * only repeats counts once in a while, since what policies evaluate may change with time alone.
   */
  public void capacityReported(boolean changed) {
    long now = clock.now();
    if (changed || now - capacityReportedAtMs >= REFRESH_CAPACITY_CHANGE_INTERVAL_MS) {
      capacityReportedAtMs = now;
      capacityVersion++;
      requested = true;
    }
  }

  /** Grows with each report of capacity, so that jobs that back off try again. */
  public long capacityVersion() {
    return capacityVersion;
  }

  /** Whether to run a pass now; if so, the next one is due after the usual gap at the earliest. */
  public boolean takeDue() {
    if (!requested || clock.now() < nextPassMs) {
      return false;
    }
    requested = false;
    nextPassMs = clock.now() + lag.stretchedGapMs(Constants.PLACEMENT_PASS_INTERVAL_MIN_MS);
    return true;
  }
}
