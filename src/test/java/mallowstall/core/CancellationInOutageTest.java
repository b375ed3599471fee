package mallowstall.core;

import static mallowstall.core.SafetyTestSupport.cancelAt;
import static mallowstall.core.SafetyTestSupport.runningTasksByLeader;
import static mallowstall.core.SafetyTestSupport.sum;
import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import mallowstall.core.model.JobOutcome;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against tasks that run on after a confirmed cancellation. The leader of their machines
 * cannot read the cancellation, as it loses the state service before, and then the state service
 * fails for all controllers.
 */
class CancellationInOutageTest {
  private static final String CANCELLED_JOB = "wk-000001";

  private static final String OTHER_JOB = "wk-000002";

  /**
   * Number of histories of each case in which the faults coincide, and the maximum number of seeds
   * that are tried to find them.
   */
  private static final int HISTORIES = 3;

  private static final int SEEDS_MAX = 6;

  /** A fault that is added before the outage. */
  enum AdditionalFault {
    NOTHING,
    /**
     * The controller that confirmed the cancellation crashes after its answer and restarts at once.
     */
    CONFIRMER_RESTARTED,
    /** The confirmer crashes after its answer and does not restart. */
    CONFIRMER_GONE,
    /** All messages of the confirmer to the leader are delayed by 60 s. */
    WORDS_HELD_BACK,
    /**
     * All messages of the confirmer to the leader are delayed by 30 s, so that messages from before
     * the cancellation look new.
     */
    WORDS_LATE,
    /**
     * The messages of the confirmer to the leader are delayed by 60 s and the confirmer crashes.
     */
    WORDS_HELD_BACK_AND_GONE,
    /**
     * The cancellation is recorded before the outage, and the confirmer confirms it only when the
     * request is repeated during the outage.
     */
    CONFIRMED_DURING_OUTAGE,
    /** Half of the machines are unreachable for 8 s. */
    MACHINES_UNREACHABLE
  }

  /**
   * The state service is unreachable for one machine leader, and another controller confirms a
   * cancellation. Then the state service is down for all controllers for longer than a cancellation
   * may take, while workers go on sending heartbeats to the leader. The tasks are stopped in time
   * nevertheless. Tasks of other jobs run on unless the leader is cut off from the confirmer.
   */
  @ParameterizedTest
  @EnumSource(AdditionalFault.class)
  void cancellationStopsTasksWhenLeaderCannotReadIt(AdditionalFault fault) {
    for (long gap : new long[] {200, 900, 2_000}) {
      int histories = 0;
      for (long seed = 1; histories < HISTORIES; seed++) {
        assertTrue(seed <= SEEDS_MAX, "the faults rarely coincide: " + fault + ", gap " + gap);
        Simulation sim = new Simulation(100 + seed);
        sim.taskRunMs = 400_000;
        sim.runUntil(8_000);
        sim.users.submit(batchJob(CANCELLED_JOB).tasks(8).build());
        sim.users.submit(batchJob(OTHER_JOB).tasks(6).build());
        sim.runUntil(16_000);
        assertEquals(8, sum(runningTasksByLeader(sim, CANCELLED_JOB)));
        SimulatedController leader =
            sim.controllers.get(leaderOfMost(runningTasksByLeader(sim, CANCELLED_JOB)));
        SimulatedController confirmer = sim.controllers.get(leader.name.equals("n1") ? "n2" : "n1");
        leader.stateServiceUnreachable = true;
        sim.runUntil(sim.nowMs + 120);
        if (fault.name().startsWith("WORDS")) {
          sim.partitionDelayMs = fault == AdditionalFault.WORDS_LATE ? 30_000 : 60_000;
          confirmer.partitionedPeers.put(leader.name, true);
        }
        long confirmedMs = confirmCancellation(sim, confirmer, fault, gap);
        sim.runUntil(confirmedMs + 7_000);
        if (!hasWorkers(sim, leader)) {
          continue; // by chance all workers have switched controllers: the faults don't coincide
        }
        histories++;
        checkOutage(sim, leader, fault, confirmedMs, fault + ", gap " + gap + ", seed " + seed);
        sim.stateService.endOutage();
        leader.stateServiceUnreachable = false;
        confirmer.partitionedPeers.clear();
        sim.runUntil(sim.nowMs + 90_000);
        assertEquals(List.of(), sim.checker.violations);
        assertEquals(0, sum(runningTasksByLeader(sim, CANCELLED_JOB)));
        assertTrue(sum(runningTasksByLeader(sim, OTHER_JOB)) > 0, "the other job runs again");
        assertEquals(JobOutcome.CANCELLED, sim.jobEntry(CANCELLED_JOB).outcome());
      }
    }
  }

  private static boolean hasWorkers(Simulation sim, SimulatedController node) {
    return sim.workers.values().stream()
        .anyMatch(worker -> worker.controllerName.equals(node.name));
  }

  /** Returns the controller that leads the machines with most of the running tasks of the job. */
  private static String leaderOfMost(Map<String, Integer> tasksByLeader) {
    String most = "n0";
    for (String node : tasksByLeader.keySet()) {
      if (tasksByLeader.get(node) > tasksByLeader.getOrDefault(most, 0)) {
        most = node;
      }
    }
    return most;
  }

  /**
   * Cancels the job at the confirmer and starts the outage. Returns the time of the confirmation in
   * milliseconds.
   */
  private static long confirmCancellation(
      Simulation sim, SimulatedController confirmer, AdditionalFault fault, long gap) {
    if (fault == AdditionalFault.CONFIRMED_DURING_OUTAGE) {
      sim.checker.onCancelRequested(CANCELLED_JOB);
      confirmer.enqueueEvent(() -> confirmer.core.cancel(CANCELLED_JOB, answer -> {}));
      sim.runUntil(sim.nowMs + gap);
      sim.stateService.outage = true;
      sim.runUntil(sim.nowMs + 3_000);
      assertEquals("cancelled", cancelAt(sim, confirmer, CANCELLED_JOB).state());
      return sim.nowMs;
    }
    assertEquals("cancelled", cancelAt(sim, confirmer, CANCELLED_JOB).state());
    long confirmedMs = sim.nowMs;
    if (fault == AdditionalFault.CONFIRMER_RESTARTED) {
      confirmer.crash(150);
    }
    if (fault.name().endsWith("GONE")) {
      confirmer.crash(500_000);
    }
    if (fault == AdditionalFault.MACHINES_UNREACHABLE) {
      partitionEverySecondMachine(sim, 8_000);
    }
    sim.runUntil(sim.nowMs + gap);
    sim.stateService.outage = true;
    return confirmedMs;
  }

  private static void partitionEverySecondMachine(Simulation sim, long ms) {
    int i = 0;
    for (SimulatedWorker worker : sim.workers.values()) {
      if (i++ % 2 == 0) {
        worker.partitioned = true;
        sim.schedule(ms, () -> worker.partitioned = false);
      }
    }
  }

  private static void checkOutage(
      Simulation sim,
      SimulatedController leader,
      AdditionalFault fault,
      long confirmedMs,
      String caseName) {
    // the faults coincide: the leader can't read the cancellation, and workers send it heartbeats
    assertEquals(JobOutcome.NONE, leader.core.store().job(CANCELLED_JOB).outcome());
    assertTrue(hasWorkers(sim, leader));
    sim.runUntil(confirmedMs + Simulation.CANCEL_MS - 100);
    assertEquals(0, sum(runningTasksByLeader(sim, CANCELLED_JOB)), caseName);
    boolean confirmerReachable =
        fault == AdditionalFault.NOTHING || fault == AdditionalFault.CONFIRMED_DURING_OUTAGE;
    if (confirmerReachable) {
      assertEquals(6, sum(runningTasksByLeader(sim, OTHER_JOB)), "unrelated tasks run on");
    }
    sim.runUntil(confirmedMs + Simulation.CANCEL_MS + 15_000);
    if (confirmerReachable) {
      assertEquals(6, sum(runningTasksByLeader(sim, OTHER_JOB)), "unrelated tasks run on");
    }
  }
}
