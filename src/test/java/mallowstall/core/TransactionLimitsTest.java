package mallowstall.core;

import static mallowstall.core.SafetyTestSupport.cancelAt;
import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mallowstall.core.model.JobOutcome;
import mallowstall.core.model.JobSpec;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against transactions that the state service refuses for their size: accepted jobs whose
 * changes share such a transaction never run.
 */
class TransactionLimitsTest {
  /** No job waits longer than this while a machine that fits has room (handbook). */
  private static final long JOB_WAITS_MAX_MS = 90_000;

  /** Returns machine types, of which one exists, that make a job's entry this large. */
  private static List<String> machineTypes(int entryBytes) {
    List<String> types = new ArrayList<>(List.of("t8"));
    for (int bytes = 400; bytes < entryBytes - 32; bytes += 32) {
      types.add(String.format("t%028d", bytes));
    }
    return types;
  }

  private static JobSpec job(int number, int tasks, int cpus, int entryBytes) {
    return batchJob(id(number))
        .tasks(tasks)
        .cpus(cpus)
        .team("tight")
        .machineTypes(machineTypes(entryBytes))
        .build();
  }

  private static String id(int number) {
    return String.format("wk-%06d", number);
  }

  /** Submits the job at one controller, which becomes its leader. */
  private static void submitAt(Simulation sim, String node, JobSpec spec) {
    sim.checker.onSubmitted(spec);
    SimulatedController controller = sim.controllers.get(node);
    controller.enqueueEvent(
        () ->
            controller.core.submit(
                spec,
                answer ->
                    sim.checker.onAnswer(sim.nowMs, spec.id(), answer.status(), answer.state())));
    sim.runUntil(sim.nowMs + 300);
  }

  /** Guards against jobs that ask together for a limit that is free, and are refused together. */
  @ParameterizedTest
  @ValueSource(longs = {701, 702, 703})
  void largeJobsThatAskTogetherGetTheirTeamsLimit(long seed) {
    Simulation sim = new Simulation(seed);
    sim.taskRunMs = 100_000;
    sim.runUntil(8_000);
    submitAt(sim, "n0", job(0, 6, 4, 500)); // takes the team's limit
    sim.runUntil(sim.nowMs + 4_000);
    sim.taskRunMs = 2_000;
    for (int i = 1; i <= 10; i++) {
      submitAt(sim, "n1", job(i, 1, 1, 7_800));
    }
    assertEquals("cancelled", cancelAt(sim, sim.controllers.get("n0"), id(0)).state());
    runUntilDone(sim, 1, 10);
    assertEquals(List.of(), sim.checker.violations);
    assertEquals(null, sim.faultCounts.get("limits, sum too large"));
    assertEquals(0, sim.stateService.refusedAgainCount);
  }

  /** Guards against one job's refused change that holds up the other jobs of its team. */
  @ParameterizedTest
  @ValueSource(longs = {711, 712, 713})
  void refusedJobsHoldUpNoOther(long seed) {
    Simulation sim = new Simulation(seed);
    sim.taskRunMs = 20_000;
    sim.runUntil(8_000);
    submitAt(sim, "n0", job(0, 6, 4, 500)); // takes the team's limit
    sim.runUntil(sim.nowMs + 3_000);
    for (int i = 1; i <= 8; i++) {
      submitAt(sim, "n1", job(i, 1, 4, 4_000)); // will exceed the lowered limit of a value
    }
    for (int i = 9; i <= 14; i++) {
      submitAt(sim, "n1", job(i, 1, 4, 900));
    }
    sim.taskRunMs = 1_000;
    sim.stateService.setLimits(new Simulation.StateLimits(2_048, 24, 120));
    runUntilDone(sim, 0, 0);
    runUntilDone(sim, 9, 14);
    assertTrue(sim.faultCounts.get(StateLimitsTest.TOO_LARGE) >= 8);
    sim.runUntil(sim.nowMs + 60_000);
    assertEquals(0, sim.stateService.refusedAgainCount, "refused transactions sent again");
    sim.stateService.setLimits(new Simulation.StateLimits(8_192, 24, 120));
    submitAt(sim, "n1", job(15, 1, 4, 900)); // changes the team's usage
    runUntilDone(sim, 1, 15);
    assertEquals(List.of(), sim.checker.violations);
  }

  /** Runs until these jobs are done, for as long as a job may wait at most. */
  private static void runUntilDone(Simulation sim, int first, int last) {
    long until = sim.nowMs + JOB_WAITS_MAX_MS;
    for (int i = first; i <= last; i++) {
      while (sim.nowMs < until && sim.jobEntry(id(i)).outcome() != JobOutcome.DONE) {
        sim.runUntil(sim.nowMs + 100);
      }
      assertEquals(JobOutcome.DONE, sim.jobEntry(id(i)).outcome(), id(i));
    }
  }
}
