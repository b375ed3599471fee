package mallowstall.core;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.TaskStatus;

/** Compares what a core counts as it goes with the same counted anew. */
final class DerivedCountsCheck {
  private DerivedCountsCheck() {}

  /**
   * No returned machine stays in a controller's view, and no attempt on a machine of which nothing
   * is known any more: the controller's next regular work has to see to it.
   */
  static void checkReturnedMachines(Simulation simulation, SimulatedController node) {
    for (String id : node.core.unknownAttemptMachines()) {
      simulation.checker.violations.add(
          simulation.nowMs + " attempt on unknown machine: " + id + " by " + node.name);
    }
    Set<String> returned = new HashSet<>(node.core.view().returnedMachines());
    if (node.ticksAtLastCheck + 1 < node.ticksRun) {
      for (String id : returned) {
        if (node.returnedAtLastCheck.contains(id)) {
          simulation.checker.violations.add(
              simulation.nowMs + " returned machine in view: " + id + " of " + node.name);
        }
      }
      node.ticksAtLastCheck = node.ticksRun;
      node.returnedAtLastCheck = returned;
    }
  }

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
