package mallowstall.core;

import java.util.HashMap;
import java.util.Map;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.TaskStatus;

/** Compares what a core counts as it goes with the same counted anew. */
final class DerivedCountsCheck {
  private DerivedCountsCheck() {}

  /**
   * What the core keeps up to date with each change, against counting all of it anew: a machine
   * whose change is not published would make a start look as if it had never arrived.
   */
  static void check(Simulation simulation, ControllerCore core) {
    for (String id : core.unpublishedChanges()) {
      simulation.checker.violations.add(simulation.nowMs + " untold: " + id);
    }
    Map<String, Integer> placed = new HashMap<>();
    Map<String, Integer> running = new HashMap<>();
    for (MachineView machine : core.view().machines()) {
      if (machine.status() == null) {
        continue;
      }
      for (TaskStatus task : machine.status().tasks()) {
        if (task.state() != TaskState.EXITED) {
          placed.merge(task.job(), 1, Integer::sum);
        }
        if (task.state() == TaskState.RUNNING) {
          running.merge(task.job(), 1, Integer::sum);
        }
      }
    }
    for (String id : simulation.users.jobs) {
      if (core.view().placedTasks(id) != placed.getOrDefault(id, 0)
          || core.view().runningTasks(id) != running.getOrDefault(id, 0)) {
        simulation.checker.violations.add(simulation.nowMs + " miscounted: " + id);
      }
    }
  }
}
