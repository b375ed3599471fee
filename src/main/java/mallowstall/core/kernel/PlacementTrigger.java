package mallowstall.core.kernel;

import mallowstall.Constants;

/** When the next placement round is due, and whether capacity has changed since. Mutable. */
public final class PlacementTrigger {
  private final EventClock clock;
  private final EventLoopLag lag;
  private boolean requested;
  private long nextPassMs;
  private long capacityVersion = 1;
  private long capacityReportedAtMs;

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public PlacementTrigger(EventClock clock, EventLoopLag lag) {
    this.clock = clock;
    this.lag = lag;
  }

  /** Something has changed that a placement round should consider. */
  public void request() {
    requested = true;
  }

  /**
   * A status update has been taken in; {@code news} tells whether it said anything new. One that
   * only restates counts once in a while, since what policies ask may change with time alone.
   */
  public void capacityReported(boolean news) {
    long now = clock.now();
    if (news || now - capacityReportedAtMs >= Constants.REFRESH_CAPACITY_CHANGE_INTERVAL_MS) {
      capacityReportedAtMs = now;
      capacityVersion++;
      requested = true;
    }
  }

  /** Grows whenever capacity may have changed, so that jobs that back off try again. */
  public long capacityVersion() {
    return capacityVersion;
  }

  /** Whether a round is to be run now; the next one is due after the usual gap at the earliest. */
  public boolean takeDue() {
    if (!requested || clock.now() < nextPassMs) {
      return false;
    }
    requested = false;
    nextPassMs = clock.now() + lag.stretchedGapMs(Constants.PLACEMENT_PASS_INTERVAL_MIN_MS);
    return true;
  }
}
