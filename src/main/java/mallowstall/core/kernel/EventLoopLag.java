package mallowstall.core.kernel;

import mallowstall.Constants;

/**
 * By how much this process runs behind its own timers, averaged. While processor time is short,
 * work that joins what has come meanwhile is done less often, so that answers are not late.
 * Mutable.
 */
public final class EventLoopLag {
  private boolean hasTicked;
  private long lastTickMs;
  private double lagMs;

  /** A tick has come; the one before it should have been {@link Constants#TICK_MS} earlier. */
  public void onTick(long now) {
    if (hasTicked) {
      long lateMs = Math.max(0, now - lastTickMs - Constants.TICK_MS);
      lagMs += (Math.min(lateMs, Constants.LAG_SAMPLE_MAX_MS) - lagMs) * Constants.LAG_WEIGHT;
    }
    hasTicked = true;
    lastTickMs = now;
  }

  /** The gap between two such pieces of work that is this long while there is no lag. */
  public long stretchedGapMs(long gapMs) {
    return gapMs + Math.min(Constants.LAG_GAP_MAX_MS, Math.round(lagMs * Constants.LAG_GAP_FACTOR));
  }
}
