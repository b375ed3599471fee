package mallowstall.core.kernel;

import mallowstall.Constants;

/**
 * The average delay by which the periodic ticks of this process run late. While processor time is
 * short, work that handles all input since its last run as one batch runs less often, so that
 * responses aren't late (see docs/design.md, "While processor time is short"). All times are steady
 * times in milliseconds. Mutable.
 */
public final class EventLoopLag {
  /**
   * Maximum delay of one tick, in milliseconds, that the average takes into account. The limit
   * prevents a process that was suspended once from being treated as overloaded.
   */
  static final long LAG_SAMPLE_MAX_MS = 300;

  /**
   * Weight of the newest tick in the average lag, as a fraction. With it the average follows a
   * change of load within 2 seconds.
   */
  static final double LAG_WEIGHT = 0.1;

  /**
   * Factor that multiplies the average lag. The product is added to the gaps between scheduling
   * passes and between status updates.
   */
  static final double LAG_GAP_FACTOR = 3;

  /**
   * Maximum time, in milliseconds, that is added to a gap. It lets an overloaded controller still
   * run a scheduling pass and publish a status update twice a second.
   */
  static final long LAG_GAP_MAX_MS = 350;

  private boolean hasTicked;
  private long lastTickMs;
  private double lagMs;

  /**
   * Records a tick. Without lag the previous tick ran {@link Constants#TICK_MS} milliseconds
   * earlier.
   */
  public void onTick(long now) {
    if (hasTicked) {
      long lateMs = Math.max(0, now - lastTickMs - Constants.TICK_MS);
      lagMs += (Math.min(lateMs, LAG_SAMPLE_MAX_MS) - lagMs) * LAG_WEIGHT;
    }
    hasTicked = true;
    lastTickMs = now;
  }

  /**
   * Returns the gap in milliseconds between two runs of batching work: {@code gapMs} plus a time
   * that grows with the lag.
   */
  public long stretchedGapMs(long gapMs) {
    return gapMs + Math.min(LAG_GAP_MAX_MS, Math.round(lagMs * LAG_GAP_FACTOR));
  }
}
