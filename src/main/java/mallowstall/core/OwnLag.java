package mallowstall.core;

import mallowstall.Constants;

/**
 * By how much this process runs behind its own timers, averaged. While processor time is short,
 * work that joins what has come meanwhile is done less often, so that answers are not late.
 * Mutable.
 */
final class OwnLag {
  private boolean ticked;
  private long lastTick;
  private double lagMs;

  /** A tick has come; the one before it should have been {@link Constants#TICK_MS} earlier. */
  void ticked(long now) {
    if (ticked) {
      long late = Math.max(0, now - lastTick - Constants.TICK_MS);
      lagMs += (Math.min(late, Constants.LAG_COUNTED_MS) - lagMs) * Constants.LAG_WEIGHT;
    }
    ticked = true;
    lastTick = now;
  }

  /** The gap between two such pieces of work that is this long while there is no lag. */
  long stretched(long gapMs) {
    return gapMs + Math.min(Constants.LAG_GAP_MOST_MS, Math.round(lagMs * Constants.LAG_FACTOR));
  }
}
