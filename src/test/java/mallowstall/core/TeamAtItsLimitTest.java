package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static mallowstall.core.model.JobSpecBuilder.service;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mallowstall.core.model.Priority;
import org.junit.jupiter.api.Test;

/**
 * Guards against free capacity that is kept for urgent jobs of a team at its quota. The quota
 * doesn't allow these jobs to start more tasks, and jobs of other teams wait although machines are
 * free.
 */
class TeamAtItsLimitTest {
  private static final int URGENT_JOBS = 6;
  private static final String SERVICE = "wk-000011";
  private static final String BATCH = "wk-000012";

  /** Run time of a task in milliseconds, longer than each test: the team stays at its quota. */
  private static final long RUN_MS = 300_000;

  private static String urgentJob(int number) {
    return "wk-00002" + number;
  }

  private static void submitUrgent(Simulation sim, int jobs, int tasks) {
    for (int i = 0; i < jobs; i++) {
      sim.users.submit(
          batchJob(urgentJob(i))
              .tasks(tasks)
              .cpus(2)
              .priority(Priority.HIGH)
              .team("tight")
              .build());
    }
  }

  private static int runningUrgentTasks(Simulation sim) {
    int running = 0;
    for (int i = 0; i < URGENT_JOBS; i++) {
      running += sim.checker.runningReplicas(urgentJob(i));
    }
    return running;
  }

  /**
   * Starts four machines of 8 processors each. The team {@code tight} may use 24 of them; its
   * urgent jobs need far more.
   */
  private static Simulation startFourMachines(long seed) {
    Simulation sim = new Simulation(seed);
    sim.maxMachines = 4;
    sim.taskRunMs = RUN_MS;
    sim.runUntil(8_000);
    return sim;
  }

  @Test
  void jobsOfOtherTeamsUseCapacityBeyondTeamQuota() {
    for (long seed = 81; seed <= 88; seed++) {
      Simulation sim = startFourMachines(seed);
      submitUrgent(sim, URGENT_JOBS, 12);
      sim.runUntil(20_000);
      assertEquals(12, runningUrgentTasks(sim), "tasks that the limit allows");
      sim.checker.faultsEndedMs = sim.nowMs;
      sim.users.submit(service(SERVICE).tasks(1).cpus(2).priority(Priority.NORMAL).build());
      sim.users.submit(batchJob(BATCH).tasks(1).cpus(2).priority(Priority.LOW).build());
      sim.runUntil(sim.nowMs + InvariantChecker.MAX_REPLICA_MISSING_MS);
      assertEquals(1, sim.checker.runningReplicas(SERVICE), "seed " + seed);
      assertEquals(1, sim.checker.runningReplicas(BATCH), "seed " + seed);
      sim.runUntil(sim.nowMs + InvariantChecker.MAX_PENDING_MS);
      assertEquals(List.of(), sim.checker.violations, "seed " + seed);
    }
  }

  /** The scheduler evaluates no machines for a job until its team has quota left for it. */
  @Test
  void jobsOfTeamAtQuotaCauseNoPolicyEvaluations() {
    for (long seed = 81; seed <= 88; seed++) {
      Simulation sim = startFourMachines(seed);
      submitUrgent(sim, URGENT_JOBS, 12);
      sim.runUntil(20_000);
      assertEquals(12, runningUrgentTasks(sim), "tasks that the limit allows");
      long evaluations = sim.policyEvaluations;
      sim.runUntil(sim.nowMs + 10_000);
      assertEquals(evaluations, sim.policyEvaluations, "seed " + seed);
    }
  }

  /** Capacity is kept for tasks whose quota is being reserved, so that nothing is preempted. */
  @Test
  void capacityIsKeptWhileQuotaIsBeingReserved() {
    int ledByOne = 0;
    for (long seed = 91; seed <= 102; seed++) {
      Simulation sim = startFourMachines(seed);
      submitUrgent(sim, 1, 12);
      sim.users.submit(batchJob(BATCH).tasks(16).cpus(2).priority(Priority.LOW).build());
      sim.runUntil(sim.nowMs + 10_000);
      if (SafetyTestSupport.leaderOf(sim, urgentJob(0)) != SafetyTestSupport.leaderOf(sim, BATCH)) {
        continue; // a job leader on another controller can't see the capacity that is kept
      }
      ledByOne++;
      assertEquals(12, runningUrgentTasks(sim), "seed " + seed);
      assertEquals(4, sim.checker.runningReplicas(BATCH), "seed " + seed);
      assertEquals(16, sim.checker.startCount, "every task started once, seed " + seed);
      assertEquals(List.of(), sim.checker.violations, "seed " + seed);
    }
    assertTrue(ledByOne > 0, "no history had one controller that led both jobs");
  }
}
