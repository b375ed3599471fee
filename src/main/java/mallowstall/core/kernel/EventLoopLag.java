package mallowstall.core.kernel;

import mallowstall.Constants;

/**
 * By how much this process runs behind its own timers, averaged. While processor time is short,
 * work that batches what came since is done less often, so that answers aren't late (source:
 * docs/design.md, "While processor time is short"). Times are steady, in ms. Mutable.
 */
public final class EventLoopLag {
  /**
   * ms. One tick's lateness counts so much at most: a process that stood still isn't overloaded.
   */
  static final long LAG_SAMPLE_MAX_MS = 300;

  /** Fraction. Weight of the newest tick in the average lag: it follows a load within 2 s. */
  static final double LAG_WEIGHT = 0.1;

  /** Factor. Gaps between passes and between status updates grow by so much of the average lag. */
  static final double LAG_GAP_FACTOR = 3;

  /**
   * ms. Gaps grow by so much at most: an overloaded controller still places and publishes twice a
   * second.
   */
  static final long LAG_GAP_MAX_MS = 350;

  private boolean hasTicked;
  private long lastTickMs;
  private double lagMs;

  /** A tick is run; without lag the one before was {@link Constants#TICK_MS} earlier. */
  public void onTick(long now) {
    if (hasTicked) {
      long lateMs = Math.max(0, now - lastTickMs - Constants.TICK_MS);
      lagMs += (Math.min(lateMs, LAG_SAMPLE_MAX_MS) - lagMs) * LAG_WEIGHT;
    }
    hasTicked = true;
    lastTickMs = now;
  }

  /** The gap in ms between two runs of such work; {@code gapMs} while there is no lag. */
  public long stretchedGapMs(long gapMs) {
    return gapMs + Math.min(LAG_GAP_MAX_MS, Math.round(lagMs * LAG_GAP_FACTOR));
  }
}
