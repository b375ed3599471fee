package mallowstall.core.autoscaling;

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
 * Open jobs with a task that fits on no machine, although by their number there are enough: what
 * replicas leave free may be too little on each machine, or in a zone that the job doesn't allow.
 * Mutable.
 */
public final class UnplaceableJobs {
  private final CoreSettings settings;
  private final StateStore store;
  private final ClusterView view;
  private final Map<String, Long> unplaceableSinceMs = new HashMap<>();

  /** Remembers since when each job has fitted on no machine. */
  public UnplaceableJobs(CoreSettings settings, StateStore store, ClusterView view) {
    this.settings = settings;
    this.store = store;
    this.view = view;
  }

  /** Forgets jobs that are terminal. */
  void retainOpen(Iterable<JobEntry> open) {
    Set<String> ids = new HashSet<>();
    for (JobEntry job : open) {
      if (!job.isTerminal()) {
        ids.add(job.spec().id());
      }
    }
    unplaceableSinceMs.keySet().retainAll(ids);
  }

  /**
   * The zones of the type in which a machine would help the job; none while it may fit on one, or
   * hasn't been unplaceable for long.
   */
  List<String> zonesNeedingMachines(
      JobEntry jobEntry, MachineType type, List<MachineView> available, long now) {
    JobSpec job = jobEntry.spec();
    List<String> zones =
        isWaitingForCapacity(jobEntry) ? allowedZones(job, type, available) : List.of();
    if (zones.isEmpty() || hasCapacity(job, zones, available)) {
      unplaceableSinceMs.remove(job.id());
      return List.of();
    }
    long sinceMs = unplaceableSinceMs.computeIfAbsent(job.id(), k -> now);
    long timeoutMs =
        job.isService() ? Constants.REPLICA_UNPLACEABLE_MS : Constants.BATCH_UNPLACEABLE_MS;
    return now - sinceMs > timeoutMs ? zones : List.of();
  }

  /** A replica, or every task of a batch job, is on no machine, and not for its team's quota. */
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

  private static boolean hasCapacity(JobSpec job, List<String> zones, List<MachineView> available) {
    for (MachineView machine : available) {
      if (!job.allowsMachine(
          machine.status().type(), machine.status().zone(), machine.status().spot())) {
        continue;
      }
      boolean fits =
          machine.status().freeCpus() >= job.cpus() - Constants.ROUNDING_EPSILON
              && machine.status().freeGpus() >= job.gpus() - Constants.ROUNDING_EPSILON
              && machine.status().freeMemoryGb() >= job.memoryGb() - Constants.ROUNDING_EPSILON;
      if (fits && zones.contains(machine.status().zone())) {
        return true;
      }
    }
    return false;
  }
}
