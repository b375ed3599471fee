package mallowstall.core;

import static mallowstall.core.SafetyCases.plain;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mallowstall.Constants;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Controllers short of processor time: every event waits for those before it, so timers, answers
 * and renewals are late by seconds. Nothing may be broken meanwhile, and all is served afterwards.
 */
class SlowControllersTest {
  private static final long STEP_MS = 250;
  private static final long SLOW_MS = 45_000;
  private static final String LONG = "wk-000001";
  private static final String CANCELLED = "wk-000002";
  private static final String LATER = "wk-000003";

  private static Simulation withWork(long seed) {
    Simulation sim = new Simulation(seed);
    sim.runMs = 30_000;
    sim.run(8_000);
    sim.submit(plain(sim, LONG, 10, "free"));
    sim.submit(plain(sim, CANCELLED, 8, "free"));
    sim.run(14_000);
    return sim;
  }

  /** The slow spell, with a cancellation, a submission, an outage and the end of a controller. */
  private static void slowSpell(Simulation sim, List<SimulatedController> slow) {
    slow.forEach(node -> node.stepMs = STEP_MS);
    sim.run(sim.now + 5_000);
    sim.cancel(CANCELLED);
    sim.submit(plain(sim, LATER, 6, "free"));
    sim.run(sim.now + 8_000);
    sim.state.outage = true;
    sim.run(sim.now + 6_000);
    sim.state.recover();
    sim.run(sim.now + 4_000);
    slow.get(0).crash(800);
    sim.run(sim.now + SLOW_MS - 23_000);
    slow.forEach(node -> node.stepMs = 0);
  }

  private static void check(Simulation sim, List<SimulatedController> slow) {
    for (SimulatedController node : slow) {
      assertTrue(node.longestWait > 1_000, node.name + " waited " + node.longestWait);
    }
    sim.run(sim.now + 120_000);
    assertEquals(List.of(), sim.rules.broken);
    assertEquals("done", sim.rules.lastTold(LONG));
    // its user may have given up asking before it was over
    String last = sim.rules.lastTold(CANCELLED);
    assertTrue(List.of("cancelled", "done").contains(last), last);
    assertEquals("done", sim.rules.lastTold(LATER));
    for (SimulatedController node : slow) {
      long gap = node.core.lag().stretched(Constants.ROUND_GAP_MS);
      assertTrue(gap < Constants.ROUND_GAP_MS + 20, "it recovers: " + gap);
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {901, 902, 903, 904})
  void oneSlowControllerBreaksNothing(long seed) {
    Simulation sim = withWork(seed);
    List<SimulatedController> slow = List.of(sim.nodes.get("n" + seed % 3));
    slowSpell(sim, slow);
    check(sim, slow);
  }

  @ParameterizedTest
  @ValueSource(longs = {911, 912, 913, 914})
  void allSlowAtOnceBreakNothing(long seed) {
    Simulation sim = withWork(seed);
    List<SimulatedController> slow = new ArrayList<>(sim.nodes.values());
    slowSpell(sim, slow);
    check(sim, slow);
  }
}
