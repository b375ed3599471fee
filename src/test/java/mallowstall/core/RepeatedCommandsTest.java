package mallowstall.core;

import static mallowstall.core.SafetyTestSupport.cancelAt;
import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.model.ExitReason;
import mallowstall.core.model.StopRequest;
import mallowstall.core.model.TaskState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a removed attempt that runs again when an executed direct command is repeated. */
class RepeatedCommandsTest {
  private static final String JOB = "wk-000001";

  /** How the attempt ends before the request that started it is repeated. */
  private enum End {
    STOPPED,
    FAILED,
    DONE,
    CANCELLED
  }

  /** How the direct commands are answered. */
  private enum Answer {
    ANSWERED,
    LOST
  }

  /** Guards against ran_twice: an attempt that has ended and was removed is started again. */
  @ParameterizedTest
  @EnumSource(End.class)
  void removedAttemptIsNotStartedAgain(End end) {
    for (Answer answer : Answer.values()) {
      Simulation sim = new Simulation(611);
      sim.taskRunMs = 200_000;
      sim.executedCommands.answersLost = answer == Answer.LOST;
      sim.runUntil(8_000);
      sim.users.submit(batchJob(JOB).tasks(4).build());
      sim.runUntil(35_000);
      assertTrue(sim.executedCommands.containsStartOf(JOB), "started by a direct command");
      SimulatedTask ended = endOneAttempt(sim, end);
      awaitRemoval(sim, ended);
      sim.executedCommands.repeatAll();
      sim.runUntil(sim.nowMs + 10_000);
      assertEquals(List.of(), sim.checker.violations, end + ", " + answer);
    }
  }

  /** Guards against the same after the machine's leader has ended, before the next one is heard. */
  @ParameterizedTest
  @ValueSource(longs = {621, 622, 623, 624})
  void removedAttemptIsNotStartedAgainAfterLeaderCrash(long seed) {
    Simulation sim = new Simulation(seed);
    sim.taskRunMs = 200_000;
    sim.runUntil(8_000);
    sim.users.submit(batchJob(JOB).tasks(4).build());
    sim.runUntil(14_000);
    SimulatedTask ended = endOneAttempt(sim, End.STOPPED);
    awaitRemoval(sim, ended);
    sim.runUntil(sim.nowMs + 30_000);
    sim.crashAll(400);
    sim.executedCommands.repeatAll();
    sim.runUntil(sim.nowMs + 60_000);
    assertEquals(List.of(), sim.checker.violations);
  }

  /** Guards against removals that wait for a write, and against reports that grow meanwhile. */
  @Test
  void attemptsAreRemovedWithoutWrites() {
    Simulation sim = new Simulation(631);
    sim.taskRunMs = 2_000;
    sim.runUntil(8_000);
    long firstRevision = sim.stateService.revision;
    sim.users.submit(batchJob(JOB).tasks(120).cpus(1).build());
    int longestReport = 0;
    while (sim.nowMs < 120_000 && !"done".equals(sim.checker.lastState(JOB))) {
      sim.runUntil(sim.nowMs + 50);
      for (SimulatedWorker worker : sim.workers.values()) {
        longestReport = Math.max(longestReport, worker.tasks.size());
      }
    }
    assertEquals("done", sim.checker.lastState(JOB));
    assertTrue(sim.executedCommands.containsStartOf(JOB), "started by direct commands");
    long rewrittenEntries =
        sim.stateService.changes.stream()
            .filter(change -> change.modRevision() > firstRevision)
            .filter(change -> change.key().startsWith(StateKeys.MACHINE_PREFIX))
            .filter(change -> sim.workers.containsKey(StateKeys.machineOf(change.key())))
            .count();
    assertTrue(rewrittenEntries <= sim.workers.size(), "written entries: " + rewrittenEntries);
    // a machine has 8 processors, and a removal waits for at most two waves of tasks
    assertTrue(longestReport <= 3 * 8, "tasks in the longest report: " + longestReport);
    sim.executedCommands.repeatAll();
    sim.runUntil(sim.nowMs + 10_000);
    assertEquals(List.of(), sim.checker.violations);
  }

  /** Ends one running attempt in the given way and returns it. */
  private static SimulatedTask endOneAttempt(Simulation sim, End end) {
    SimulatedWorker worker = SafetyTestSupport.busiestWorker(sim);
    SimulatedTask task =
        worker.tasks.values().stream()
            .filter(candidate -> candidate.state == TaskState.RUNNING)
            .findFirst()
            .orElse(null);
    assertNotNull(task, "a running task");
    switch (end) {
      case STOPPED -> {
        SimulatedController leader = sim.controllers.get(sim.machineEntry(worker.id).node());
        StopRequest stop = new StopRequest(worker.id, task.job, task.task, task.attempt, 0);
        leader.enqueueEvent(() -> leader.core.sendStop(leader.name, stop));
      }
      case FAILED -> worker.taskRunner.exit(task, ExitReason.ERROR);
      case DONE -> worker.taskRunner.exit(task, ExitReason.DONE);
      case CANCELLED ->
          assertEquals("cancelled", cancelAt(sim, sim.controllers.get("n1"), JOB).state());
    }
    return task;
  }

  /** Runs until no worker lists the attempt any more. */
  private static void awaitRemoval(Simulation sim, SimulatedTask task) {
    long until = sim.nowMs + 20_000;
    while (sim.nowMs < until && isListed(sim, task)) {
      sim.runUntil(sim.nowMs + 20);
    }
    assertTrue(!isListed(sim, task), "the attempt was removed");
  }

  private static boolean isListed(Simulation sim, SimulatedTask task) {
    return sim.workers.values().stream().anyMatch(worker -> worker.tasks.containsValue(task));
  }
}
