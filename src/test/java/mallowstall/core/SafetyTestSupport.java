package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.AutoscalerLeaderEntry;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.StoredEntry;
import mallowstall.core.model.TaskState;

/** Helper methods of the tests that play single cases in a simulation. */
final class SafetyTestSupport {
  private SafetyTestSupport() {}

  static SimulatedController leaderOf(Simulation sim, String id) {
    return sim.controllers.get(sim.jobEntry(id).leader());
  }

  /** Crashes the controller that leads the autoscaler for {@code downMs} milliseconds. */
  static void crashAutoscalerLeader(Simulation sim, long downMs) {
    StoredEntry entry = sim.stateService.entries.get(StateKeys.AUTOSCALER_LEADER_KEY).value();
    sim.controllers.get(((AutoscalerLeaderEntry) entry).node()).crash(downMs);
  }

  /**
   * Runs until the controller has recovered the machine from the controller's former incarnation,
   * and returns the machine's entry.
   */
  static MachineEntry awaitRecovery(Simulation sim, SimulatedController node, String id) {
    MachineEntry entry = node.core.store().machine(id);
    while (sim.nowMs < 25_000
        && (entry == null || entry.incarnation() != node.core.incarnation())) {
      sim.runUntil(sim.nowMs + 50);
      entry = node.core.store().machine(id);
    }
    assertEquals(
        node.core.incarnation(), entry.incarnation(), "recovered from the former incarnation");
    return entry;
  }

  /** Submits the jobs wk-000000, wk-000001 and so on, each with {@code tasks} tasks. */
  static void submitJobs(Simulation sim, int jobs, int tasks, String team) {
    for (int i = 0; i < jobs; i++) {
      sim.users.submit(batchJob("wk-00000" + i).tasks(tasks).team(team).build());
    }
  }

  /** Asserts that the first {@code jobs} jobs, from wk-000000 on, have finished. */
  static void assertAllFinished(Simulation sim, int jobs) {
    for (int i = 0; i < jobs; i++) {
      assertFinished(sim, "wk-00000" + i);
    }
  }

  /**
   * Asserts that the job is done, in answers to users and in the state service, and that no
   * invariant is violated.
   */
  static void assertFinished(Simulation sim, String id) {
    assertEquals(List.of(), sim.checker.violations);
    assertEquals("done", sim.checker.lastState(id));
    JobEntry job = sim.jobEntry(id);
    assertEquals(job.spec().tasks(), job.completedTaskCount());
  }

  /**
   * Returns the number of the job's tasks that have not exited, by the leader of their machines.
   */
  static Map<String, Integer> runningTasksByLeader(Simulation sim, String job) {
    Map<String, Integer> out = new TreeMap<>();
    for (SimulatedWorker worker : sim.workers.values()) {
      for (SimulatedTask task : worker.tasks.values()) {
        if (task.job.equals(job) && task.state != TaskState.EXITED) {
          out.merge(worker.controllerName, 1, Integer::sum);
        }
      }
    }
    return out;
  }

  static int sum(Map<String, Integer> counts) {
    return counts.values().stream().mapToInt(Integer::intValue).sum();
  }

  /**
   * Cancels the job at the controller and returns the answer, or null if none arrives within 3 s.
   * For the checker a confirmed cancellation counts from the arrival of the answer.
   */
  static ApiResponse cancelAt(Simulation sim, SimulatedController node, String id) {
    sim.checker.onCancelRequested(id);
    List<ApiResponse> responses = new ArrayList<>();
    node.enqueueEvent(
        () ->
            node.core.cancel(
                id,
                answer -> {
                  responses.add(answer);
                  sim.checker.onAnswer(sim.nowMs, id, answer.status(), answer.state());
                }));
    long until = sim.nowMs + 3_000;
    while (responses.isEmpty() && sim.nowMs < until) {
      sim.runUntil(sim.nowMs + 10);
    }
    return responses.isEmpty() ? null : responses.get(0);
  }

  /** Returns a job that has a running task on the worker, or null if there is none. */
  static String runningJob(SimulatedWorker worker) {
    for (SimulatedTask task : worker.tasks.values()) {
      if (task.state == TaskState.RUNNING) {
        return task.job;
      }
    }
    return null;
  }

  static SimulatedWorker busiestWorker(Simulation sim) {
    SimulatedWorker busiest = null;
    for (SimulatedWorker worker : sim.workers.values()) {
      if (busiest == null || worker.tasks.size() > busiest.tasks.size()) {
        busiest = worker;
      }
    }
    return busiest;
  }
}
