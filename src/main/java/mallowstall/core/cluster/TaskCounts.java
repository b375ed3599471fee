package mallowstall.core.cluster;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import mallowstall.core.model.MachineStatus;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.TaskStatus;

/**
 * Tasks on all machines, by job. Adjusted with each status that replaces another: counted over all
 * machines for every question they took a third of all processor time. Mutable.
 */
final class TaskCounts {
  private final Object2IntOpenHashMap<String> placed = new Object2IntOpenHashMap<>();
  private final Object2IntOpenHashMap<String> running = new Object2IntOpenHashMap<>();

  /** Counts the tasks of a status that applies from now on. */
  void add(MachineStatus status) {
    adjust(status, 1);
  }

  /** No longer counts the tasks of a status that doesn't apply any more; null: there was none. */
  void subtract(MachineStatus status) {
    if (status != null) {
      adjust(status, -1);
    }
  }

  /** The job's tasks that are on machines or were accepted there. */
  int placed(String job) {
    return placed.getInt(job);
  }

  /** The job's tasks that run. */
  int running(String job) {
    return running.getInt(job);
  }

  private void adjust(MachineStatus status, int delta) {
    for (TaskStatus task : status.tasks()) {
      if (task.state() == TaskState.EXITED) {
        continue;
      }
      adjust(placed, task.job(), delta);
      if (task.state() == TaskState.RUNNING) {
        adjust(running, task.job(), delta);
      }
    }
  }

  private static void adjust(Object2IntOpenHashMap<String> counts, String job, int delta) {
    if (counts.addTo(job, delta) + delta == 0) {
      counts.removeInt(job);
    }
  }
}
