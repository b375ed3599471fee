package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.TaskState;

/** What the tests of single cases share. */
final class SafetyTestSupport {
  private SafetyTestSupport() {}

  static SimulatedController leaderOf(Simulation sim, String id) {
    return sim.controllers.get(sim.jobEntry(id).leader());
  }

  /** Runs until the controller has recovered the machine from its former incarnation; its entry. */
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

  /** Submits so many jobs of so many tasks each, wk-000000 and on. */
  static void submitJobs(Simulation sim, int jobs, int tasks, String team) {
    for (int i = 0; i < jobs; i++) {
      sim.users.submit(batchJob("wk-00000" + i).tasks(tasks).team(team).build());
    }
  }

  /** The first so many jobs, from wk-000000 on, have finished. */
  static void assertAllFinished(Simulation sim, int jobs) {
    for (int i = 0; i < jobs; i++) {
      assertFinished(sim, "wk-00000" + i);
    }
  }

  /** The job is done, to users and in the state service, and no invariant was broken. */
  static void assertFinished(Simulation sim, String id) {
    assertEquals(List.of(), sim.checker.violations);
    assertEquals("done", sim.checker.lastState(id));
    JobEntry job = sim.jobEntry(id);
    assertEquals(job.spec().tasks(), job.completedTaskCount());
  }

  /** Tasks of the job that run, by the leader of their machines. */
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

  /** The user's answer; the confirmation counts from then on. */
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

  /** A job of which a task runs there; null: none. */
  static String runningJob(SimulatedWorker worker) {
    for (SimulatedTask task : worker.tasks.values()) {
      if (task.state == TaskState.RUNNING) {
        return task.job;
      }
    }
    return null;
  }

  static SimulatedWorker busiestWorker(Simulation sim) {
    SimulatedWorker most = null;
    for (SimulatedWorker worker : sim.workers.values()) {
      if (most == null || worker.tasks.size() > most.tasks.size()) {
        most = worker;
      }
    }
    return most;
  }
}
