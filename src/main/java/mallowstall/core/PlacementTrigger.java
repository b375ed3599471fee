package mallowstall.core;

import mallowstall.Constants;

/** When the next placement round is due, and whether capacity has changed since. Mutable. */
final class PlacementTrigger {
  private final EventClock clock;
  private final OwnLag lag;
  private boolean requested;
  private long nextRound;
  private long capacityVersion = 1;
  private long capacityReportedAt;

  PlacementTrigger(EventClock clock, OwnLag lag) {
    this.clock = clock;
    this.lag = lag;
  }

  /** Something has changed that a placement round should consider. */
  void request() {
    requested = true;
  }

  /**
   * A status update has been taken in; {@code news} tells whether it said anything new. One that
   * only restates counts once in a while, since what policies ask may change with time alone.
   */
  void capacityReported(boolean news) {
    long now = clock.now();
    if (news || now - capacityReportedAt >= Constants.RESTATED_NEWS_MS) {
      capacityReportedAt = now;
      capacityVersion++;
      requested = true;
    }
  }

  /** Grows whenever capacity may have changed, so that jobs that back off try again. */
  long capacityVersion() {
    return capacityVersion;
  }

  /** Whether a round is to be run now; the next one is due after the usual gap at the earliest. */
  boolean takeDue() {
    if (!requested || clock.now() < nextRound) {
      return false;
    }
    requested = false;
    nextRound = clock.now() + lag.stretched(Constants.ROUND_GAP_MS);
    return true;
  }
}
