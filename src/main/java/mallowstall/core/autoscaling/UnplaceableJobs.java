package mallowstall.core.autoscaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mallowstall.Constants;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.kv.StoredValue;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.TaskStatus;
import mallowstall.core.model.Team;
import mallowstall.core.model.TeamUsageEntry;

/**
 * Finds open jobs with a task that no machine can serve, although the number of machines meets the
 * demand. The capacity that replicas leave free may be too small on each machine, or lie in a zone
 * that the job doesn't allow. The machines with free capacity may also keep the results of the
 * pending replicas, which then end at once there. Mutable.
 */
public final class UnplaceableJobs {
  /**
   * Time in milliseconds after which a machine is requested just for a replica that fits on no
   * machine.
   */
  static final long REPLICA_UNPLACEABLE_MS = 5_000;

  /**
   * Time in milliseconds after which a machine is requested for a batch job none of whose tasks
   * fits into the capacity that services and other tasks leave free on a machine.
   */
  private static final long BATCH_UNPLACEABLE_MS = 20_000;

  /** The reason for which a task of a job can't be placed. */
  private enum PlacementObstacle {
    NONE,
    NO_CAPACITY,
    RESULTS_KEPT
  }

  private final CoreSettings settings;
  private final StateStore store;
  private final ClusterView view;
  private final Map<String, Long> unplaceableSinceMs = new HashMap<>();
  private final KeptResultScaleOutBackoff keptResultScaleOutBackoff =
      new KeptResultScaleOutBackoff();

  /** Creates a tracker without unplaceable jobs. */
  public UnplaceableJobs(CoreSettings settings, StateStore store, ClusterView view) {
    this.settings = settings;
    this.store = store;
    this.view = view;
  }

  /** Removes jobs that have ended. */
  void retainOpen(Iterable<JobEntry> open) {
    Set<String> ids = new HashSet<>();
    for (JobEntry job : open) {
      if (!job.isTerminal()) {
        ids.add(job.spec().id());
      }
    }
    unplaceableSinceMs.keySet().retainAll(ids);
    keptResultScaleOutBackoff.retain(ids);
  }

  /**
   * Returns the zones in any one of which one machine may be requested for the job. The list is
   * empty if the job doesn't wait for capacity, fits on a machine, or is allowed in no zone of the
   * type, and while no request for it is due.
   */
  List<String> zonesNeedingMachines(
      JobEntry jobEntry, MachineType type, List<MachineView> available, long now) {
    JobSpec job = jobEntry.spec();
    List<String> zones =
        isWaitingForCapacity(jobEntry) ? allowedZones(job, type, available) : List.of();
    PlacementObstacle obstacle =
        zones.isEmpty() ? PlacementObstacle.NONE : findObstacle(job, zones, available);
    if (obstacle == PlacementObstacle.NONE) {
      unplaceableSinceMs.remove(job.id());
      return List.of();
    }
    long sinceMs = unplaceableSinceMs.computeIfAbsent(job.id(), k -> now);
    long timeoutMs = job.isService() ? REPLICA_UNPLACEABLE_MS : BATCH_UNPLACEABLE_MS;
    boolean due =
        now - sinceMs > timeoutMs
            && (obstacle != PlacementObstacle.RESULTS_KEPT
                || keptResultScaleOutBackoff.isDue(job.id(), now));
    return due ? zones : List.of();
  }

  /**
   * Called when a machine was requested in one of the {@link #zonesNeedingMachines}. Extends the
   * delay before the next request if machines keep the result of a pending replica.
   */
  void recordScaleOut(
      JobEntry jobEntry, List<MachineView> available, List<String> zones, long now) {
    JobSpec job = jobEntry.spec();
    if (findObstacle(job, zones, available) == PlacementObstacle.RESULTS_KEPT) {
      keptResultScaleOutBackoff.record(job.id(), now);
    }
  }

  /**
   * Returns whether a replica or a whole batch job is unplaced for a reason other than the quota.
   */
  private boolean isWaitingForCapacity(JobEntry jobEntry) {
    JobSpec job = jobEntry.spec();
    int placed = view.placedTasks(job.id());
    boolean missing = job.isService() ? placed < job.tasks() : placed == 0;
    return missing && (jobEntry.quotaReservedTasks() > placed || !isTeamAtQuota(job));
  }

  private boolean isTeamAtQuota(JobSpec job) {
    Team team = settings.teams().get(job.team());
    StoredValue storedUsage = store.entry(StateKeys.team(job.team()));
    if (team == null || storedUsage == null) {
      return false;
    }
    TeamUsageEntry usage = (TeamUsageEntry) storedUsage.value();
    return (team.cpuQuota() > 0
            && usage.reservedCpus() + job.cpus() > team.cpuQuota() + Constants.ROUNDING_EPSILON)
        || (team.gpuQuota() > 0
            && usage.reservedGpus() + job.gpus() > team.gpuQuota() + Constants.ROUNDING_EPSILON);
  }

  private static List<String> allowedZones(
      JobSpec job, MachineType type, List<MachineView> available) {
    if (job.zone() == null && !job.singleZone() && !job.spread()) {
      return type.zones();
    }
    return type.zones().stream().filter(zone -> allowsZone(job, zone, available)).toList();
  }

  private static boolean allowsZone(JobSpec job, String zone, List<MachineView> available) {
    if (job.zone() != null && !job.zone().equals(zone)) {
      return false;
    }
    int tasksInZone = 0;
    int tasksElsewhere = 0;
    for (MachineView machine : available) {
      int tasks = tasksOn(machine, job.id());
      if (machine.status().zone().equals(zone)) {
        tasksInZone += tasks;
      } else {
        tasksElsewhere += tasks;
      }
    }
    if (job.singleZone() && tasksElsewhere > 0) {
      return false;
    }
    return tasksInZone < job.maxTasksPerZone();
  }

  private static int tasksOn(MachineView machine, String job) {
    int tasks = 0;
    for (TaskStatus task : machine.status().tasks()) {
      if (task.job().equals(job) && task.state() != TaskState.EXITED) {
        tasks++;
      }
    }
    return tasks;
  }

  private PlacementObstacle findObstacle(
      JobSpec job, List<String> zones, List<MachineView> available) {
    List<MachineView> machines = machinesWithCapacity(job, zones, available);
    if (machines.isEmpty()) {
      return PlacementObstacle.NO_CAPACITY;
    }
    return job.isService() && allKeepResultOfSameReplica(job, machines)
        ? PlacementObstacle.RESULTS_KEPT
        : PlacementObstacle.NONE;
  }

  /** Returns whether all these machines keep the result of one and the same unplaced replica. */
  private boolean allKeepResultOfSameReplica(JobSpec job, List<MachineView> machines) {
    Set<Integer> candidates = replicasWithResult(job, machines.get(0));
    if (candidates.isEmpty()) {
      return false;
    }
    candidates.removeAll(placedReplicas(job));
    for (MachineView machine : machines) {
      candidates.retainAll(replicasWithResult(job, machine));
    }
    return !candidates.isEmpty();
  }

  private Set<Integer> replicasWithResult(JobSpec job, MachineView machine) {
    return new HashSet<>(view.keptResults().replicasWithResult(machine.id(), job.id()));
  }

  private Set<Integer> placedReplicas(JobSpec job) {
    Set<Integer> replicas = new HashSet<>();
    for (MachineView machine : view.machines()) {
      if (machine.status() == null) {
        continue;
      }
      for (TaskStatus task : machine.status().tasks()) {
        if (task.job().equals(job.id()) && task.state() != TaskState.EXITED) {
          replicas.add(task.task());
        }
      }
    }
    return replicas;
  }

  /** Returns the machines that are usable for the job and have capacity for one of its tasks. */
  private static List<MachineView> machinesWithCapacity(
      JobSpec job, List<String> zones, List<MachineView> available) {
    List<MachineView> machines = new ArrayList<>();
    for (MachineView machine : available) {
      if (!machine.isSchedulable()
          || !job.allowsMachine(
              machine.status().type(), machine.status().zone(), machine.status().spot())) {
        continue;
      }
      boolean fits =
          machine.status().freeCpus() >= job.cpus() - Constants.ROUNDING_EPSILON
              && machine.status().freeGpus() >= job.gpus() - Constants.ROUNDING_EPSILON
              && machine.status().freeMemoryGb() >= job.memoryGb() - Constants.ROUNDING_EPSILON;
      if (fits && zones.contains(machine.status().zone())) {
        machines.add(machine);
      }
    }
    return machines;
  }
}
