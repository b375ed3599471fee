package mallowstall.core.kernel;

import mallowstall.Constants;

/**
 * By how much this process runs behind its own timers, averaged. While processor time is short,
 * work that batches what came since is done less often, so that answers aren't late (source:
 * docs/design.md, "While processor time is short"). Times are steady, in ms. Mutable.
 */
public final class EventLoopLag {
  private boolean hasTicked;
  private long lastTickMs;
  private double lagMs;

  /** A tick is run; without lag the one before was {@link Constants#TICK_MS} earlier. */
  public void onTick(long now) {
    if (hasTicked) {
      long lateMs = Math.max(0, now - lastTickMs - Constants.TICK_MS);
      lagMs += (Math.min(lateMs, Constants.LAG_SAMPLE_MAX_MS) - lagMs) * Constants.LAG_WEIGHT;
    }
    hasTicked = true;
    lastTickMs = now;
  }

  /** The gap in ms between two runs of such work; {@code gapMs} while there is no lag. */
  public long stretchedGapMs(long gapMs) {
    return gapMs + Math.min(Constants.LAG_GAP_MAX_MS, Math.round(lagMs * Constants.LAG_GAP_FACTOR));
  }
}
