package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.Priority;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against jobs that stay pending although there is capacity for them (violation
 * never_started), because a starving job of their policy ranks before them and fits on no machine.
 * Guards as well against a starving job that never starts because smaller jobs take the capacity.
 */
class PassedOverJobsTest {
  private static final String LARGE = "wk-000001";
  private static final long LONG_RUN_MS = 600_000;
  private static final long STARVES_AFTER_MS = 95_000;
  private static final long STARTS_WITHIN_MS = 10_000;
  private static final long LARGE_STARTS_WITHIN_MS = 240_000;

  /** Returns a cluster of four machines of 8 processors that cannot be scaled out. */
  private static Simulation fourMachines(long seed) {
    Simulation sim = new Simulation(seed);
    sim.maxMachines = 4;
    sim.runUntil(8_000);
    return sim;
  }

  /** Submits the job to controller n0, which becomes the leader of the job. */
  private static void submit(Simulation sim, JobSpec spec) {
    sim.checker.onSubmitted(spec);
    sim.users.submitAt(
        sim.controllers.get("n0"),
        spec,
        answer ->
            sim.checker.onAnswer(sim.nowMs, sim.nowMs, spec.id(), answer.status(), answer.state()));
  }

  private static boolean hasStarted(Simulation sim, String job) {
    return !sim.checker.machinesOf(job).isEmpty() || sim.checker.remainingTasks(job) == 0;
  }

  /**
   * Returns a cluster in which a large job starves: each machine has two free processors for the
   * whole test, and a task of the large job needs all eight processors of a machine.
   */
  private static Simulation clusterWithStarvingJob(long seed) {
    Simulation sim = fourMachines(seed);
    sim.taskRunMs = LONG_RUN_MS;
    submit(sim, batchJob("wk-000009").tasks(4).cpus(6).build());
    sim.runUntil(sim.nowMs + 5_000);
    assertEquals(4, sim.checker.machinesOf("wk-000009").size());
    submit(sim, batchJob(LARGE).tasks(3).cpus(8).build());
    sim.runUntil(sim.nowMs + STARVES_AFTER_MS);
    assertEquals(0, sim.checker.machinesOf(LARGE).size());
    return sim;
  }

  /**
   * Small jobs of the starving job's policy start although it is pending, with its priority and
   * with a lower one.
   */
  @ParameterizedTest
  @EnumSource(names = {"LOW", "NORMAL"})
  void smallJobsStartBehindStarvingJobThatFitsNowhere(Priority priority) {
    for (long seed = 171; seed <= 178; seed++) {
      Simulation sim = clusterWithStarvingJob(seed);
      for (int i = 0; i < 4; i++) {
        String id = "wk-00001" + i;
        submit(sim, batchJob(id).jobClass("c-NORMAL").tasks(1).cpus(1).priority(priority).build());
        sim.runUntil(sim.nowMs + STARTS_WITHIN_MS);
        assertTrue(hasStarted(sim, id), "seed " + seed + ": " + id + " has not started");
      }
      assertEquals(List.of(), sim.checker.violations);
    }
  }

  /**
   * A starving job starts in time although more small jobs of its policy arrive than the cluster
   * can run.
   */
  @ParameterizedTest
  @ValueSource(ints = {2, 4, 8})
  void starvingJobStartsWhileSmallJobsKeepArriving(int cpus) {
    for (long seed = 181; seed <= 184; seed++) {
      Simulation sim = fourMachines(seed);
      sim.taskRunMs = 15_000;
      for (int i = 0; i < 1_200; i++) {
        String id = String.format("wk-1%05d", i);
        sim.schedule(i * 300L, () -> submit(sim, batchJob(id).tasks(1).cpus(1).build()));
      }
      sim.runUntil(40_000);
      submit(sim, batchJob(LARGE).tasks(2).cpus(cpus).priority(Priority.LOW).build());
      long submittedMs = sim.nowMs;
      while (!hasStarted(sim, LARGE) && sim.nowMs - submittedMs < 400_000) {
        sim.runUntil(sim.nowMs + 1_000);
      }
      long tookMs = sim.nowMs - submittedMs;
      assertTrue(tookMs <= LARGE_STARTS_WITHIN_MS, "seed " + seed + " started after " + tookMs);
    }
  }

  /**
   * A scheduling pass that reaches its maximum number of starts must not treat the remaining jobs
   * as jobs without capacity: they start in the next pass.
   */
  @Test
  void jobsBehindFullPassStartInNextPass() {
    Simulation sim = new Simulation(191);
    sim.taskRunMs = LONG_RUN_MS;
    sim.addMachines(80);
    sim.runUntil(12_000);
    List<String> smallJobs = new ArrayList<>();
    submit(sim, batchJob("wk-000002").tasks(130).cpus(4).build());
    for (int i = 0; i < 5; i++) {
      String id = "wk-00003" + i;
      smallJobs.add(id);
      submit(sim, batchJob(id).tasks(1).cpus(1).build());
    }
    sim.runUntil(sim.nowMs + 2_500);
    for (String id : smallJobs) {
      assertTrue(hasStarted(sim, id), id + " has not started");
    }
  }
}
