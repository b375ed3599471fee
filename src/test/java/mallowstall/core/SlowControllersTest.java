package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mallowstall.Constants;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against broken invariants on controllers that lack processor time. Every event waits for
 * the events before it, so timers, answers and lease renewals are late by seconds. Afterwards every
 * job must be completed or cancelled.
 */
class SlowControllersTest {
  private static final long EVENT_COST_MS = 250;
  private static final long SLOW_MS = 45_000;
  private static final String LONG_JOB = "wk-000001";
  private static final String CANCELLED_JOB = "wk-000002";
  private static final String LATER_JOB = "wk-000003";

  private static Simulation startJobs(long seed) {
    Simulation sim = new Simulation(seed);
    sim.taskRunMs = 30_000;
    sim.runUntil(8_000);
    sim.users.submit(batchJob(LONG_JOB).tasks(10).build());
    sim.users.submit(batchJob(CANCELLED_JOB).tasks(8).build());
    sim.runUntil(14_000);
    return sim;
  }

  /**
   * Slows the controllers down; meanwhile a job is cancelled, one is submitted, the state service
   * has an outage and a slow controller crashes.
   */
  private static void slowDown(Simulation sim, List<SimulatedController> slow) {
    slow.forEach(node -> node.eventCostMs = EVENT_COST_MS);
    sim.runUntil(sim.nowMs + 5_000);
    sim.users.cancel(CANCELLED_JOB);
    sim.users.submit(batchJob(LATER_JOB).tasks(6).build());
    sim.runUntil(sim.nowMs + 8_000);
    sim.stateService.outage = true;
    sim.runUntil(sim.nowMs + 6_000);
    sim.stateService.endOutage();
    sim.runUntil(sim.nowMs + 4_000);
    slow.get(0).crash(800);
    sim.runUntil(sim.nowMs + SLOW_MS - 23_000);
    slow.forEach(node -> node.eventCostMs = 0);
  }

  private static void assertInvariants(Simulation sim, List<SimulatedController> slow) {
    for (SimulatedController node : slow) {
      assertTrue(node.maxEventWaitMs() > 1_000, node.name + " waited " + node.maxEventWaitMs());
    }
    sim.runUntil(sim.nowMs + 120_000);
    assertEquals(List.of(), sim.checker.violations);
    assertEquals("done", sim.checker.lastState(LONG_JOB));
    // the user may give up the cancellation before it succeeds; the job then completes
    String last = sim.checker.lastState(CANCELLED_JOB);
    assertTrue(List.of("cancelled", "done").contains(last), last);
    assertEquals("done", sim.checker.lastState(LATER_JOB));
    for (SimulatedController node : slow) {
      long gap = node.core.eventLoopLag().stretchedGapMs(Constants.PLACEMENT_PASS_INTERVAL_MIN_MS);
      assertTrue(
          gap < Constants.PLACEMENT_PASS_INTERVAL_MIN_MS + 20, "the event loop recovers: " + gap);
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {901, 902, 903, 904})
  void oneSlowControllerKeepsInvariants(long seed) {
    Simulation sim = startJobs(seed);
    List<SimulatedController> slow = List.of(sim.controllers.get("n" + seed % 3));
    slowDown(sim, slow);
    assertInvariants(sim, slow);
  }

  @ParameterizedTest
  @ValueSource(longs = {911, 912, 913, 914})
  void allSlowControllersKeepInvariants(long seed) {
    Simulation sim = startJobs(seed);
    List<SimulatedController> slow = new ArrayList<>(sim.controllers.values());
    slowDown(sim, slow);
    assertInvariants(sim, slow);
  }
}
