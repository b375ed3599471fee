package mallowstall.core.autoscaling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import mallowstall.Constants;
import mallowstall.core.autoscaling.CapacityIndex.Amounts;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.JobsNeedingLeader;
import mallowstall.core.cluster.MachineTypeCatalog;
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
 * Finds open jobs with a task that no machine in service can serve. The demand by type doesn't show
 * them: it is a sum of parts of machines, less the work that machines in service are expected to do
 * one task after the other. The machines that it counts may be full for long, lie in a zone that
 * the job doesn't allow, or keep the results of the pending replicas, which then end at once there.
 * Mutable.
 */
public final class UnplaceableJobs {
  /**
   * Time in milliseconds after which a machine is requested just for a replica that fits on no
   * machine.
   */
  static final long REPLICA_UNPLACEABLE_MS = 5_000;

  /**
   * Time in milliseconds after which a machine is requested for a batch job none of whose tasks
   * fits on a machine. The time in which a new machine boots is added if machines in service are
   * expected to have capacity sooner.
   */
  static final long BATCH_UNPLACEABLE_MS = 20_000;

  /**
   * Maximum time in milliseconds after which a machine is requested for a batch job, whatever is
   * expected of the machines in service. A job that has tasks on machines waits as long after the
   * last start of one of them, because its other tasks are planned to follow these.
   */
  static final long BATCH_UNPLACEABLE_MAX_MS = 120_000;

  /** The reason for which a task of a job can't be placed. */
  private enum PlacementObstacle {
    NONE,
    NO_CAPACITY,
    RESULTS_KEPT
  }

  /**
   * A job for which a machine may be requested now.
   *
   * @param zones the zones in any one of which a machine would serve the job
   * @param waitedMs time in milliseconds since which the job has fitted on no machine
   */
  record UnplaceableJob(JobSpec spec, Set<String> zones, boolean resultsKept, long waitedMs) {}

  /** Since when a job has fitted on no machine, and the tasks that it had started by then. */
  private record Waiting(long sinceMs, int startedTasks) {}

  private final CoreSettings settings;
  private final StateStore store;
  private final ClusterView view;
  private final MachineTypeCatalog types;
  private final JobsNeedingLeader jobsNeedingLeader;
  private final MachineDemand demand;
  private final Map<String, Waiting> waitingByJob = new HashMap<>();
  private final KeptResultScaleOutBackoff keptResultScaleOutBackoff =
      new KeptResultScaleOutBackoff();

  /** Creates a tracker without unplaceable jobs. */
  public UnplaceableJobs(
      CoreSettings settings,
      StateStore store,
      ClusterView view,
      MachineTypeCatalog types,
      JobsNeedingLeader jobsNeedingLeader,
      MachineDemand demand) {
    this.settings = settings;
    this.store = store;
    this.view = view;
    this.types = types;
    this.jobsNeedingLeader = jobsNeedingLeader;
    this.demand = demand;
  }

  /** Forgets since when jobs have waited. Called when this controller becomes the leader. */
  void reset() {
    waitingByJob.clear();
  }

  /** Returns the jobs for which a machine may be requested now. Called once in each plan. */
  List<UnplaceableJob> findDue(MachineCensus census, long now) {
    CapacityIndex free = freeCapacity(census.available());
    ExpectedReleases expected = new ExpectedReleases(store, types, census.available());
    List<UnplaceableJob> due = new ArrayList<>();
    Set<String> open = new HashSet<>();
    for (JobEntry job : jobsNeedingLeader.all()) {
      if (job.isTerminal()) {
        continue;
      }
      open.add(job.spec().id());
      UnplaceableJob unplaceable = examine(job, census, free, expected, now);
      if (unplaceable != null) {
        due.add(unplaceable);
      }
    }
    waitingByJob.keySet().retainAll(open);
    keptResultScaleOutBackoff.retain(open);
    return due;
  }

  /**
   * Called when a machine was requested for the job. Extends the delay before the next request if
   * machines keep the result of a pending replica.
   */
  void recordScaleOut(UnplaceableJob job, long now) {
    if (job.resultsKept()) {
      keptResultScaleOutBackoff.record(job.spec().id(), now);
    }
  }

  private static CapacityIndex freeCapacity(List<MachineView> available) {
    CapacityIndex free = new CapacityIndex();
    for (MachineView machine : available) {
      if (machine.isSchedulable() && machine.status().freeCpus() > MachineView.FREE_CPUS_MIN) {
        free.add(
            machine,
            new Amounts(
                machine.status().freeCpus(),
                machine.status().freeGpus(),
                machine.status().freeMemoryGb()));
      }
    }
    return free;
  }

  /** Returns the job if a machine may be requested for it now, else null. */
  private UnplaceableJob examine(
      JobEntry jobEntry,
      MachineCensus census,
      CapacityIndex free,
      ExpectedReleases expected,
      long now) {
    JobSpec job = jobEntry.spec();
    int placed = view.placedTasks(job.id());
    Set<String> zones =
        isWaitingForCapacity(jobEntry, placed) ? allowedZones(job, placed) : Set.of();
    PlacementObstacle obstacle =
        zones.isEmpty() ? PlacementObstacle.NONE : findObstacle(job, zones, free);
    if (obstacle == PlacementObstacle.NONE) {
      waitingByJob.remove(job.id());
      return null;
    }
    long waitedMs = recordWaiting(job, jobEntry.completedTaskCount() + placed, now);
    boolean due =
        job.isService()
            ? isReplicaDue(job, obstacle, waitedMs, now)
            : !census.mayServe(job, demand.fittingTypes(job), zones)
                || waitedMs > batchTimeoutMs(job, placed, zones, expected, waitedMs);
    boolean resultsKept = obstacle == PlacementObstacle.RESULTS_KEPT;
    return due ? new UnplaceableJob(job, zones, resultsKept, waitedMs) : null;
  }

  /** Returns whether a task of the job is unplaced for a reason other than the quota. */
  private boolean isWaitingForCapacity(JobEntry jobEntry, int placed) {
    JobSpec job = jobEntry.spec();
    int completed = job.isService() ? 0 : jobEntry.completedTaskCount();
    return placed + completed < job.tasks()
        && (jobEntry.quotaReservedTasks() > placed || !isTeamAtQuota(job));
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

  /**
   * Returns since how many milliseconds the job has fitted on no machine. The time begins anew when
   * a task of a job that has tasks on machines was started meanwhile.
   */
  private long recordWaiting(JobSpec job, int startedTasks, long now) {
    Waiting last = waitingByJob.get(job.id());
    boolean progressed = last != null && !job.isService() && startedTasks > last.startedTasks();
    long sinceMs = last == null || progressed ? now : last.sinceMs();
    waitingByJob.put(job.id(), new Waiting(sinceMs, startedTasks));
    return now - sinceMs;
  }

  private boolean isReplicaDue(JobSpec job, PlacementObstacle obstacle, long waitedMs, long now) {
    return waitedMs > REPLICA_UNPLACEABLE_MS
        && (obstacle != PlacementObstacle.RESULTS_KEPT
            || keptResultScaleOutBackoff.isDue(job.id(), now));
  }

  /** Returns the time in milliseconds after which a machine is requested for the batch job. */
  private long batchTimeoutMs(
      JobSpec job, int placed, Collection<String> zones, ExpectedReleases expected, long waitedMs) {
    if (placed > 0) {
      return BATCH_UNPLACEABLE_MAX_MS;
    }
    MachineType newMachine = types.find(demand.smallestType(job));
    if (waitedMs <= BATCH_UNPLACEABLE_MS || !expected.willFit(job, zones, newMachine)) {
      return BATCH_UNPLACEABLE_MS;
    }
    long newMachineMs = (long) (ExpectedReleases.newMachineS(newMachine) * 1_000);
    return Math.min(BATCH_UNPLACEABLE_MAX_MS, BATCH_UNPLACEABLE_MS + newMachineMs);
  }

  /**
   * Returns the zones of the types on which the job fits, less those in which no further task of
   * the job may run.
   */
  private Set<String> allowedZones(JobSpec job, int placed) {
    Set<String> zones = new TreeSet<>();
    for (MachineType type : demand.fittingTypes(job)) {
      zones.addAll(type.zones());
    }
    if (job.zone() != null) {
      zones.retainAll(Set.of(job.zone()));
    }
    if (placed > 0 && (job.singleZone() || job.spread())) {
      Map<String, Integer> tasksByZone = tasksByZone(job);
      zones.removeIf(zone -> !allowsZone(job, zone, tasksByZone));
    }
    return zones;
  }

  private Map<String, Integer> tasksByZone(JobSpec job) {
    Map<String, Integer> tasksByZone = new HashMap<>();
    for (MachineView machine : view.machines()) {
      if (machine.status() == null) {
        continue;
      }
      for (TaskStatus task : machine.status().tasks()) {
        if (task.job().equals(job.id()) && task.state() != TaskState.EXITED) {
          tasksByZone.merge(machine.status().zone(), 1, Integer::sum);
        }
      }
    }
    return tasksByZone;
  }

  private static boolean allowsZone(JobSpec job, String zone, Map<String, Integer> tasksByZone) {
    int tasksInZone = tasksByZone.getOrDefault(zone, 0);
    boolean onlyZone = tasksByZone.isEmpty() || (tasksByZone.size() == 1 && tasksInZone > 0);
    return (!job.singleZone() || onlyZone) && tasksInZone < job.maxTasksPerZone();
  }

  private PlacementObstacle findObstacle(JobSpec job, Set<String> zones, CapacityIndex free) {
    int limit = job.isService() ? Integer.MAX_VALUE : 1;
    List<MachineView> machines = free.machinesHolding(job, zones, limit);
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
}
