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
 * Guards against jobs that wait beside room (never_started) because a starving job of their policy
 * comes first and fits nowhere; and against a starving job that never begins because they go on.
 */
class PassedOverJobsTest {
  private static final String LARGE = "wk-000001";
  private static final long LONG_RUN_MS = 600_000;
  private static final long STARVES_AFTER_MS = 95_000;
  private static final long BEGINS_WITHIN_MS = 10_000;
  private static final long LARGEST_BEGIN_WITHIN_MS = 240_000;

  /** Four machines of 8 processors that can't become more. */
  private static Simulation fourMachines(long seed) {
    Simulation sim = new Simulation(seed);
    sim.maxMachines = 4;
    sim.runUntil(8_000);
    return sim;
  }

  /** Submits to one controller, which leads the job then. */
  private static void submit(Simulation sim, JobSpec spec) {
    sim.checker.onSubmitted(spec);
    sim.users.submitAt(
        sim.controllers.get("n0"),
        spec,
        answer ->
            sim.checker.onAnswer(sim.nowMs, sim.nowMs, spec.id(), answer.status(), answer.state()));
  }

  private static boolean hasBegun(Simulation sim, String job) {
    return !sim.checker.machinesOf(job).isEmpty() || sim.checker.remainingTasks(job) == 0;
  }

  /** Each machine keeps two processors free, for good; the large job needs all eight of one. */
  private static Simulation largeJobStarves(long seed) {
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

  /** Small jobs of the large one's policy, and of its own or a lower priority, begin beside it. */
  @ParameterizedTest
  @EnumSource(names = {"LOW", "NORMAL"})
  void smallJobsBeginBehindAStarvingOneThatFitsNowhere(Priority priority) {
    for (long seed = 171; seed <= 178; seed++) {
      Simulation sim = largeJobStarves(seed);
      for (int i = 0; i < 4; i++) {
        String id = "wk-00001" + i;
        submit(sim, batchJob(id).jobClass("c-NORMAL").tasks(1).cpus(1).priority(priority).build());
        sim.runUntil(sim.nowMs + BEGINS_WITHIN_MS);
        assertTrue(hasBegun(sim, id), "seed " + seed + ": " + id + " is passed over");
      }
      assertEquals(List.of(), sim.checker.violations);
    }
  }

  /**
   * Small jobs of its policy keep arriving, more than can be done; the large one begins in time.
   */
  @ParameterizedTest
  @ValueSource(ints = {2, 4, 8})
  void starvingJobBeginsWhileSmallOnesKeepArriving(int cpus) {
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
      while (!hasBegun(sim, LARGE) && sim.nowMs - submittedMs < 400_000) {
        sim.runUntil(sim.nowMs + 1_000);
      }
      long tookMs = sim.nowMs - submittedMs;
      assertTrue(tookMs <= LARGEST_BEGIN_WITHIN_MS, "seed " + seed + " began after " + tookMs);
    }
  }

  /** A pass that has used up its starts says nothing of the capacity for those after it. */
  @Test
  void jobsBehindAFullPassBeginInTheNext() {
    Simulation sim = new Simulation(191);
    sim.taskRunMs = LONG_RUN_MS;
    sim.addMachines(80);
    sim.runUntil(12_000);
    List<String> small = new ArrayList<>();
    submit(sim, batchJob("wk-000002").tasks(130).cpus(4).build());
    for (int i = 0; i < 5; i++) {
      String id = "wk-00003" + i;
      small.add(id);
      submit(sim, batchJob(id).tasks(1).cpus(1).build());
    }
    sim.runUntil(sim.nowMs + 2_500);
    for (String id : small) {
      assertTrue(hasBegun(sim, id), id + " is passed over");
    }
  }
}
