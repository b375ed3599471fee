package mallowstall.core.autoscaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.JobsNeedingLeader;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.Team;

/**
 * The demand of the open jobs by machine type. Every controller computes it, not only the
 * autoscaler leader, because placement uses it to find scarce types and the machines that are
 * reserved for urgent jobs. Mutable.
 */
public final class MachineDemand {
  /**
   * Number of tasks per machine as limited by a resource that the tasks don't use. It is so large
   * that it is no limit in effect.
   */
  private static final double TASKS_UNLIMITED = 1e9;

  /** Demand as a number of machines that results in one machine after rounding up. */
  private static final double DEMAND_MIN_MACHINES = 0.01;

  /**
   * Time constant in milliseconds of the averages of demand. The number of idle machines that are
   * retained depends on these averages.
   */
  private static final double DEMAND_AVERAGE_TIME_CONSTANT_MS = 90_000;

  /** Factor on the average urgent demand, because urgent jobs arrive in bursts. */
  static final double RESERVE_FACTOR = 2.0;

  /** Maximum fraction of a type's machines that may be reserved for urgent jobs. */
  private static final double RESERVE_MAX_FRACTION = 0.35;

  /** Factor on a user's estimate of the run time, because the estimate is often too low. */
  static final double ESTIMATE_FACTOR = 1.2;

  /** Maximum number of tasks that are planned to run one after the other in the capacity of one. */
  private static final double SEQUENTIAL_TASKS_MAX = 2;

  /** Fraction of the boot time. A task counts only in part if its image fetch and run take less. */
  private static final double SHORT_RUN_BOOT_FRACTION = 0.8;

  /**
   * Time in seconds of image fetch and run below which a task counts only in part, however short
   * the boot time is.
   */
  static final double SHORT_RUN_MIN_S = 20;

  /** Least rate of image fetches in gigabytes per second, so that no time is infinite. */
  private static final double FETCH_GB_PER_S_MIN = 1e-3;

  /**
   * Maximum number of jobs in the cache of fitting types. It exceeds the number of jobs that are
   * ever open at once.
   */
  private static final int FITTING_TYPES_CACHE_MAX = 2_000;

  private static final Comparator<MachineType> SMALLEST_FIRST =
      Comparator.comparingDouble(MachineType::cpus).thenComparingDouble(MachineType::price);

  private final EventClock clock;
  private final CoreSettings settings;
  private final ClusterView view;
  private final MachineTypeCatalog types;
  private final JobsNeedingLeader jobsNeedingLeader;
  private final Map<String, TypeDemand> demandByType = new HashMap<>();

  /** The machine types on which a task fits, smallest first, by job id. */
  private final Map<String, List<MachineType>> fittingTypesByJob = new HashMap<>();

  /** Types that are the smallest fitting type of some open job. */
  private final Set<String> smallestTypesInUse = new HashSet<>();

  /** Machines that are reserved for urgent jobs. */
  private final Set<String> reservedForUrgent = new HashSet<>();

  private long computedAtMs;

  /** Creates a demand that is zero for all types until it is first computed. */
  public MachineDemand(
      EventClock clock,
      CoreSettings settings,
      ClusterView view,
      MachineTypeCatalog types,
      JobsNeedingLeader jobsNeedingLeader) {
    this.clock = clock;
    this.settings = settings;
    this.view = view;
    this.types = types;
    this.jobsNeedingLeader = jobsNeedingLeader;
  }

  /** Returns the demand for this type, which is zero if no open job needs it. */
  TypeDemand demandFor(String type) {
    return demandByType.computeIfAbsent(type, k -> new TypeDemand());
  }

  /**
   * Returns whether the type is scarce for the job, that is, the job fits on a smaller type and the
   * type is the smallest one on which some open job fits.
   */
  public boolean isScarce(JobSpec spec, String type) {
    String smallest = smallestType(spec);
    return smallest != null && !smallest.equals(type) && smallestTypesInUse.contains(type);
  }

  /** Returns the smallest type on which a task of the job fits, or null if it fits on none. */
  public String smallestType(JobSpec spec) {
    List<MachineType> fitting = fittingTypes(spec);
    return fitting.isEmpty() ? null : fitting.get(0).name();
  }

  /** Returns whether the type is offered in the zone; null stands for any zone. */
  private static boolean isOfferedIn(String zone, MachineType type) {
    return zone == null || type.zones().contains(zone);
  }

  /**
   * Returns the types on which a task of the job fits and that are offered in the job's zone, the
   * smallest first.
   */
  List<MachineType> fittingTypes(JobSpec spec) {
    List<MachineType> cached = fittingTypesByJob.get(spec.id());
    if (cached != null) {
      return cached;
    }
    if (fittingTypesByJob.size() > FITTING_TYPES_CACHE_MAX) {
      fittingTypesByJob.clear();
    }
    List<MachineType> found =
        types.all().stream()
            .filter(type -> spec.fits(type) && isOfferedIn(spec.zone(), type))
            .sorted(SMALLEST_FIRST)
            .toList();
    if (!found.isEmpty()) {
      fittingTypesByJob.put(spec.id(), found);
    }
    return found;
  }

  /** Clears the cache of fitting types after a change to the machine type catalog. */
  public void onTypesChanged() {
    fittingTypesByJob.clear();
  }

  /**
   * Computes the demand of all jobs that haven't ended, its averages, and the machines reserved for
   * urgent jobs.
   */
  void recompute(long now) {
    smallestTypesInUse.clear();
    demandByType.values().forEach(TypeDemand::resetCurrent);
    Map<String, Double> urgentByType = new HashMap<>();
    Map<String, Double> remainingCpusByTeam = teamCpuQuotas();
    for (JobEntry job : jobsNeedingLeader.all()) {
      if (!job.isTerminal()) {
        addJob(job, remainingCpusByTeam, urgentByType);
      }
    }
    updateAverages(urgentByType, now);
    recomputeReserved();
  }

  private Map<String, Double> teamCpuQuotas() {
    Map<String, Double> quotas = new HashMap<>();
    for (Team team : settings.teams().values()) {
      quotas.put(team.name(), team.cpuQuota() > 0 ? team.cpuQuota() : Double.MAX_VALUE);
    }
    return quotas;
  }

  private void addJob(
      JobEntry job, Map<String, Double> remainingCpusByTeam, Map<String, Double> urgentByType) {
    JobSpec spec = job.spec();
    String typeName = smallestType(spec);
    if (typeName == null) {
      return;
    }
    MachineType type = types.find(typeName);
    double tasks = spec.tasks() - job.completedTaskCount();
    double remainingCpus = remainingCpusByTeam.getOrDefault(spec.team(), Double.MAX_VALUE);
    if (spec.cpus() > 0) {
      tasks = Math.min(tasks, Math.floor(remainingCpus / spec.cpus()));
    }
    if (tasks <= 0) {
      return;
    }
    remainingCpusByTeam.put(spec.team(), remainingCpus - tasks * spec.cpus());
    smallestTypesInUse.add(typeName);
    double tasksPerMachine = tasksPerMachine(spec, type);
    if (tasksPerMachine < 1) {
      return;
    }
    double machines = tasks / tasksPerMachine;
    if (spec.priority().isUrgent()) {
      urgentByType.merge(typeName, machines, Double::sum);
    }
    addToType(demandFor(typeName), job, type, machines);
  }

  private void addToType(TypeDemand demand, JobEntry job, MachineType type, double machines) {
    JobSpec spec = job.spec();
    double effectiveMachines = machines * bootTimeShare(spec, type) / sequentialTasks(job, type);
    demand.add(effectiveMachines, machines, spec.spot());
    if (spec.zone() != null) {
      demand.addPinned(spec.zone(), machines, spec.spot());
    }
    // At most half of a spread job's tasks may be in one zone, so at least one machine is requested
    // in each zone of the type.
    if (spec.spread()) {
      for (String zone : type.zones()) {
        demand.addPinned(zone, DEMAND_MIN_MACHINES, spec.spot());
      }
    }
  }

  private static double tasksPerMachine(JobSpec spec, MachineType type) {
    double byCpus = spec.cpus() > 0 ? Math.floor(type.cpus() / spec.cpus()) : TASKS_UNLIMITED;
    double byMemory =
        spec.memoryGb() > 0 ? Math.floor(type.memoryGb() / spec.memoryGb()) : TASKS_UNLIMITED;
    double byGpus = spec.gpus() > 0 ? Math.floor(type.gpus() / spec.gpus()) : TASKS_UNLIMITED;
    return Math.min(byCpus, Math.min(byMemory, byGpus));
  }

  private void updateAverages(Map<String, Double> urgentByType, long now) {
    double weight =
        computedAtMs == 0
            ? 1
            : 1 - Math.exp(-(now - computedAtMs) / DEMAND_AVERAGE_TIME_CONSTANT_MS);
    computedAtMs = now;
    demandByType.forEach(
        (type, demand) -> demand.updateAverages(urgentByType.getOrDefault(type, 0.0), weight));
  }

  /**
   * Returns the fraction of the job's machines that counts as demand, at most 1. Short tasks count
   * in proportion to the time of image fetch and run, because a task that ends on a running machine
   * before a new machine has booted needs no new machine. A service counts in full, because it has
   * no estimated run time and runs permanently.
   */
  private static double bootTimeShare(JobSpec spec, MachineType type) {
    if (spec.isService()) {
      return 1;
    }
    double lifetimeS = spec.estimatedRunS() + fetchS(spec, type);
    return Math.min(
        1, lifetimeS / Math.max(SHORT_RUN_MIN_S, SHORT_RUN_BOOT_FRACTION * type.bootS()));
  }

  /** Returns the time in seconds in which a machine of the type fetches the job's image. */
  static double fetchS(JobSpec spec, MachineType type) {
    return spec.imageGb() / Math.max(FETCH_GB_PER_S_MIN, type.fetchGbPerS());
  }

  /**
   * Returns how many of the job's tasks may run one after the other in the capacity of one and
   * still meet the deadline, on a machine that must first boot and fetch the image. The number is
   * whole, because a fraction would count tasks that can't run in sequence before the deadline, and
   * too few machines would be requested.
   */
  private double sequentialTasks(JobEntry job, MachineType type) {
    JobSpec spec = job.spec();
    if (spec.deadlineS() == null || spec.priority().isUrgent()) {
      return 1;
    }
    double remainingS = spec.deadlineS() - (clock.wallClockMs() - job.submittedMs()) / 1000.0;
    double readyS = type.bootS() + fetchS(spec, type);
    double taskS = Math.max(1, spec.estimatedRunS() * ESTIMATE_FACTOR);
    return Math.max(1, Math.min(SEQUENTIAL_TASKS_MAX, Math.floor((remainingS - readyS) / taskS)));
  }

  /**
   * Reserves machines for urgent jobs according to their average demand, so that they needn't
   * preempt other jobs. On-demand machines come first, because the cloud doesn't take them back.
   * Within on-demand and spot machines the order is by id, so that controllers with equal views
   * choose the same machines.
   */
  private void recomputeReserved() {
    reservedForUrgent.clear();
    List<MachineView> available = new ArrayList<>();
    for (MachineView machine : view.machines()) {
      if (machine.isSchedulable()) {
        available.add(machine);
      }
    }
    available.sort(
        Comparator.comparing((MachineView machine) -> machine.status().spot())
            .thenComparing(MachineView::id));
    for (Map.Entry<String, TypeDemand> entry : demandByType.entrySet()) {
      long total =
          available.stream()
              .filter(machineView -> machineView.status().type().equals(entry.getKey()))
              .count();
      long remaining =
          Math.min(
              (long) Math.ceil(entry.getValue().averageUrgentMachines() * RESERVE_FACTOR),
              (long) (total * RESERVE_MAX_FRACTION));
      for (MachineView machineView : available) {
        if (remaining <= 0) {
          break;
        }
        if (!machineView.status().type().equals(entry.getKey())) {
          continue;
        }
        reservedForUrgent.add(machineView.id());
        remaining--;
      }
    }
  }

  /** Returns whether the machine is reserved for urgent jobs. */
  public boolean isReservedForUrgent(String machine) {
    return reservedForUrgent.contains(machine);
  }
}
