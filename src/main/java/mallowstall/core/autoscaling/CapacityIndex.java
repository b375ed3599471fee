package mallowstall.core.autoscaling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.model.Capacity;
import mallowstall.core.model.JobSpec;

/**
 * The capacity of machines by kind, in which the machines that hold a task of a job are found
 * without a look at each machine: a kind of which no machine has enough of some resource is skipped
 * as a whole. Mutable while it is filled; used by one scaling plan only.
 */
final class CapacityIndex {
  /** An amount of each resource. */
  record Amounts(double cpus, double gpus, double memoryGb) {
    /** Returns whether one task of the job fits into these amounts. */
    boolean holds(JobSpec job) {
      return Capacity.fittingTasks(cpus, gpus, memoryGb, job) > 0;
    }

    private Amounts max(Amounts other) {
      return new Amounts(
          Math.max(cpus, other.cpus),
          Math.max(gpus, other.gpus),
          Math.max(memoryGb, other.memoryGb));
    }
  }

  /** The capacity of one machine. */
  private record Entry(MachineView machine, Amounts amounts) {}

  /** The machines of one kind, and the largest amount of each resource that any of them has. */
  private static final class Group {
    private final List<Entry> entries = new ArrayList<>();
    private Amounts largest = new Amounts(0, 0, 0);
  }

  private final Map<MachineKind, Group> groups = new HashMap<>();

  /** Adds a machine with this capacity. */
  void add(MachineView machine, Amounts amounts) {
    Group group = groups.computeIfAbsent(MachineKind.of(machine.status()), k -> new Group());
    group.entries.add(new Entry(machine, amounts));
    group.largest = group.largest.max(amounts);
  }

  /**
   * Returns machines in these zones that the job allows and whose capacity holds one of its tasks.
   *
   * @param limit number of machines after which the search ends
   */
  List<MachineView> machinesHolding(JobSpec job, Collection<String> zones, int limit) {
    List<MachineView> machines = new ArrayList<>();
    for (Map.Entry<MachineKind, Group> entry : groups.entrySet()) {
      MachineKind kind = entry.getKey();
      Group group = entry.getValue();
      if (!zones.contains(kind.zone()) || !kind.isAllowedFor(job) || !group.largest.holds(job)) {
        continue;
      }
      for (Entry candidate : group.entries) {
        if (machines.size() >= limit) {
          return machines;
        }
        if (candidate.amounts().holds(job)) {
          machines.add(candidate.machine());
        }
      }
    }
    return machines;
  }
}
