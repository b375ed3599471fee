package mallowstall.core.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mallowstall.Constants;
import org.junit.jupiter.api.Test;

/** Tests how gaps between batches of work grow while the event loop lags behind its timers. */
class EventLoopLagTest {
  private static final long GAP_MS = 100;

  private final EventLoopLag lag = new EventLoopLag();
  private long nowMs = 5_000;

  private void tick(int times, long lateMs) {
    for (int i = 0; i < times; i++) {
      nowMs += Constants.TICK_MS + lateMs;
      lag.onTick(nowMs);
    }
  }

  @Test
  void gapIsUnchangedWithoutLag() {
    assertEquals(GAP_MS, lag.stretchedGapMs(GAP_MS));
    tick(100, 0);
    assertEquals(GAP_MS, lag.stretchedGapMs(GAP_MS));
  }

  @Test
  void gapGrowsWithLagAndShrinksAfterwards() {
    tick(50, 20);
    long gap = lag.stretchedGapMs(GAP_MS);
    assertTrue(gap > GAP_MS + 40 && gap <= GAP_MS + 60, "gap " + gap);
    tick(50, 0);
    assertTrue(lag.stretchedGapMs(GAP_MS) <= GAP_MS + 1);
  }

  @Test
  void stretchIsBounded() {
    tick(200, 100_000);
    assertEquals(GAP_MS + EventLoopLag.LAG_GAP_MAX_MS, lag.stretchedGapMs(GAP_MS));
  }

  /** A single long pause, as when the machine was stopped, does not indicate overload. */
  @Test
  void singleLateTickStretchesGapOnlySlightly() {
    tick(20, 0);
    tick(1, 60_000);
    long maxStretchMs =
        Math.round(
            EventLoopLag.LAG_SAMPLE_MAX_MS * EventLoopLag.LAG_WEIGHT * EventLoopLag.LAG_GAP_FACTOR);
    assertEquals(GAP_MS + maxStretchMs, lag.stretchedGapMs(GAP_MS));
  }
}
