package mallowstall.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mallowstall.Constants;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.MachineType;
import mallowstall.core.Model.Priority;
import mallowstall.core.Model.Team;

/**
 * What the open jobs need, by machine type. Every controller counts it, for placement too: which
 * types are scarce, and which machines are reserved for urgent work. Mutable.
 */
final class MachineDemand {
  private final EventClock clock;
  private final CoreSettings settings;
  private final View view;
  private final MachineTypeCatalog types;
  private final OpenJobs openJobs;
  private final Map<String, TypeDemand> demands = new HashMap<>();

  /** The smallest machine type that holds a task, by job. */
  private final Map<String, String> minimalTypes = new HashMap<>();

  /** Types that are the smallest for some open job. */
  private final Set<String> needed = new HashSet<>();

  private final Set<String> reserved = new HashSet<>();
  private long countedAt;

  MachineDemand(
      EventClock clock,
      CoreSettings settings,
      View view,
      MachineTypeCatalog types,
      OpenJobs openJobs) {
    this.clock = clock;
    this.settings = settings;
    this.view = view;
    this.types = types;
    this.openJobs = openJobs;
  }

  /** The demand for this type. */
  TypeDemand of(String type) {
    return demands.computeIfAbsent(type, k -> new TypeDemand());
  }

  /** Whether a machine of this type is larger than the job needs while others need that type. */
  boolean scarce(JobSpec spec, String type) {
    String minimal = minimalType(spec);
    return minimal != null && !minimal.equals(type) && needed.contains(type);
  }

  /** The smallest type that holds a task of the job; null: none does. */
  String minimalType(JobSpec spec) {
    String known = minimalTypes.get(spec.id());
    if (known != null) {
      return known;
    }
    if (minimalTypes.size() > Constants.NEEDS_CACHED) {
      minimalTypes.clear();
    }
    String found = smallest(spec);
    if (found != null) {
      minimalTypes.put(spec.id(), found);
    }
    return found;
  }

  /** The types have been read anew. */
  void typesChanged() {
    minimalTypes.clear();
  }

  private String smallest(JobSpec spec) {
    MachineType best = null;
    for (MachineType type : types.all()) {
      if (!spec.fits(type)) {
        continue;
      }
      if (best == null
          || type.cpus() < best.cpus()
          || (type.cpus() == best.cpus() && type.price() < best.price())) {
        best = type;
      }
    }
    return best == null ? null : best.name();
  }

  /** Counts the demand of all open jobs anew. */
  void count(long now) {
    needed.clear();
    demands.values().forEach(TypeDemand::restart);
    Map<String, Double> urgent = new HashMap<>();
    Map<String, Double> teamLeft = teamLimits();
    for (JobRec job : openJobs.all()) {
      if (!job.over()) {
        countJob(job, teamLeft, urgent);
      }
    }
    average(urgent, now);
    reserve();
  }

  private Map<String, Double> teamLimits() {
    Map<String, Double> limits = new HashMap<>();
    for (Team team : settings.teams().values()) {
      limits.put(team.name(), team.cpusMax() > 0 ? team.cpusMax() : Double.MAX_VALUE);
    }
    return limits;
  }

  private void countJob(JobRec job, Map<String, Double> teamLeft, Map<String, Double> urgent) {
    JobSpec spec = job.spec();
    String name = minimalType(spec);
    if (name == null) {
      return;
    }
    MachineType type = types.find(name);
    double tasks = spec.tasks() - job.doneCount();
    double left = teamLeft.getOrDefault(spec.team(), Double.MAX_VALUE);
    if (spec.cpus() > 0) {
      tasks = Math.min(tasks, Math.floor(left / spec.cpus()));
    }
    if (tasks <= 0) {
      return;
    }
    teamLeft.put(spec.team(), left - tasks * spec.cpus());
    needed.add(name);
    double perMachine = tasksPerMachine(spec, type);
    if (perMachine < 1) {
      return;
    }
    double machines = tasks / perMachine;
    if (spec.priority().ordinal() >= Priority.HIGH.ordinal()) {
      urgent.merge(name, machines, Double::sum);
    }
    add(of(name), job, type, machines);
  }

  private void add(TypeDemand demand, JobRec job, MachineType type, double machines) {
    JobSpec spec = job.spec();
    demand.machines += machines * shareOfBoot(spec, type) / waves(job, type);
    demand.spotAllowed |= spec.spot();
    if (!spec.spot()) {
      demand.ordinary += machines;
    }
    Map<String, Double> pinned = spec.spot() ? demand.pinned : demand.pinnedOrdinary;
    if (spec.zone() != null) {
      pinned.merge(spec.zone(), machines, Double::sum);
    }
    // at most half of a spread job may be in one zone: it needs another
    if (spec.spread()) {
      for (String zone : type.zones()) {
        pinned.merge(zone, Constants.DEMAND_TRACE, Double::sum);
      }
    }
  }

  private static double tasksPerMachine(JobSpec spec, MachineType type) {
    double byCpus =
        spec.cpus() > 0 ? Math.floor(type.cpus() / spec.cpus()) : Constants.TASKS_UNLIMITED;
    double byMemory =
        spec.memoryGb() > 0
            ? Math.floor(type.memoryGb() / spec.memoryGb())
            : Constants.TASKS_UNLIMITED;
    double byGpus =
        spec.gpus() > 0 ? Math.floor(type.gpus() / spec.gpus()) : Constants.TASKS_UNLIMITED;
    return Math.min(byCpus, Math.min(byMemory, byGpus));
  }

  private void average(Map<String, Double> urgent, long now) {
    double weight = countedAt == 0 ? 1 : 1 - Math.exp(-(now - countedAt) / Constants.USAGE_TAU_MS);
    countedAt = now;
    demands.forEach(
        (type, demand) -> {
          demand.average += (demand.machines - demand.average) * weight;
          demand.urgent += (urgent.getOrDefault(type, 0.0) - demand.urgent) * weight;
        });
  }

  /**
   * The part of its own machines that a task is worth: what is over before one has booted needs
   * none. A service has no estimate and stands for good.
   */
  private static double shareOfBoot(JobSpec spec, MachineType type) {
    if (spec.service()) {
      return 1;
    }
    double life = spec.estimateS() + spec.imageGb() / Math.max(1e-3, type.fetchGbPerS());
    return Math.min(
        1, life / Math.max(Constants.SHORT_LIFE_LEAST_S, Constants.SHORT_LIFE * type.bootS()));
  }

  /**
   * How many of the job's tasks may run one after the other in one place and still be on time, on a
   * machine that must first be rented and fetch the image. A machine for every two tasks of a job
   * with minutes to spare cost more than it was worth. Whole ones only: a wave and a half rented
   * too few machines for jobs of which only one wave is on time.
   */
  private double waves(JobRec job, MachineType type) {
    JobSpec spec = job.spec();
    if (spec.deadlineS() == null || spec.priority().ordinal() >= Priority.HIGH.ordinal()) {
      return 1;
    }
    double left = spec.deadlineS() - (clock.wallClock() - job.submittedMs()) / 1000.0;
    double ready = type.bootS() + spec.imageGb() / Math.max(1e-3, type.fetchGbPerS());
    double each = Math.max(1, spec.estimateS() * Constants.ESTIMATE_MARGIN);
    return Math.max(1, Math.min(Constants.WAVES_MOST, Math.floor((left - ready) / each)));
  }

  /**
   * Keeps as many machines from lower work as urgent jobs use on average, so that these needn't
   * stop anybody. The oldest ordinary ones: they are not taken back, and every controller names the
   * same.
   */
  private void reserve() {
    reserved.clear();
    List<View.Seen> up = new ArrayList<>();
    for (View.Seen machine : view.machines.values()) {
      if (machine.takes()) {
        up.add(machine);
      }
    }
    up.sort(
        Comparator.comparing((View.Seen seen) -> seen.state.spot())
            .thenComparing(candidate -> candidate.id));
    for (Map.Entry<String, TypeDemand> entry : demands.entrySet()) {
      long all = up.stream().filter(s -> s.state.type().equals(entry.getKey())).count();
      long n =
          Math.min(
              (long) Math.ceil(entry.getValue().urgent * Constants.RESERVE_FACTOR),
              (long) (all * Constants.RESERVE_MOST));
      for (View.Seen s : up) {
        if (n <= 0) {
          break;
        }
        if (!s.state.type().equals(entry.getKey())) {
          continue;
        }
        reserved.add(s.id);
        n--;
      }
    }
  }

  /** Whether the machine is kept for urgent work. */
  boolean reserved(String machine) {
    return reserved.contains(machine);
  }
}
