package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests combinations of faults that coincide, on simulated time. Every case first verifies that its
 * faults did coincide. The reasoning is in docs/design.md, "When troubles meet".
 */
class CombinedFaultsTest {
  /** Six jobs run when the faults coincide; two of the jobs belong to a team at its quota. */
  @ParameterizedTest
  @EnumSource(FaultCombination.class)
  void invariantsHoldWhenFaultsCoincide(FaultCombination combination) {
    for (long seed = 1; seed <= 3; seed++) {
      Simulation sim = new Simulation(200 + seed);
      sim.taskRunMs = 25_000;
      sim.runUntil(8_000);
      for (int i = 1; i <= 6; i++) {
        sim.users.submit(
            batchJob("wk-00000" + i).tasks(i > 4 ? 9 : 4).team(i > 4 ? "tight" : "free").build());
      }
      sim.runUntil(18_000);
      assertTrue(sim.checker.startCount > 8, "tasks have been started");
      assertTrue(combination.inject(sim), combination + " took place, seed " + seed);
      sim.taskRunMs = 3_000;
      sim.checker.faultsEndedMs = sim.nowMs;
      sim.runUntil(sim.nowMs + 260_000);
      assertEquals(List.of(), sim.checker.violations, combination + ", seed " + seed);
      for (String id : sim.users.jobs) {
        String last = sim.checker.lastState(id);
        assertTrue("done".equals(last) || "cancelled".equals(last), id + " is " + last);
      }
    }
  }
}
