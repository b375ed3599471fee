package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mallowstall.Constants;
import org.junit.jupiter.api.Test;

/** Gaps that grow while a process runs behind its timers. */
class OwnLagTest {
  private static final long GAP = 100;

  private final OwnLag lag = new OwnLag();
  private long now = 5_000;

  private void tick(int times, long late) {
    for (int i = 0; i < times; i++) {
      now += Constants.TICK_MS + late;
      lag.ticked(now);
    }
  }

  @Test
  void withoutLagGapsStayAsTheyAre() {
    assertEquals(GAP, lag.stretched(GAP));
    tick(100, 0);
    assertEquals(GAP, lag.stretched(GAP));
  }

  @Test
  void gapsFollowTheLagAndItsEnd() {
    tick(50, 20);
    long gap = lag.stretched(GAP);
    assertTrue(gap > GAP + 40 && gap <= GAP + 60, "gap " + gap);
    tick(50, 0);
    assertTrue(lag.stretched(GAP) <= GAP + 1);
  }

  @Test
  void noLagStretchesBeyondTheBound() {
    tick(200, 100_000);
    assertEquals(GAP + Constants.LAG_GAP_MOST_MS, lag.stretched(GAP));
  }

  /** One long stop, as of a machine that stood still, says little of the load. */
  @Test
  void oneLateTickStretchesLittle() {
    tick(20, 0);
    tick(1, 60_000);
    long most = Math.round(Constants.LAG_COUNTED_MS * Constants.LAG_WEIGHT * Constants.LAG_FACTOR);
    assertEquals(GAP + most, lag.stretched(GAP));
  }
}
