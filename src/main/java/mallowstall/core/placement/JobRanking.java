package mallowstall.core.placement;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import mallowstall.Constants;
import mallowstall.core.autoscaling.MachineDemand;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.jobs.LedJob;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.Priority;

/** The order of jobs: starving ones, then by priority, reachable deadline, slack and age. */
public final class JobRanking {
  /**
   * Fraction of the estimate that a task must still be expected to take: estimates are often high.
   */
  private static final double ESTIMATE_REMAINING_FRACTION = 0.8;

  /**
   * s per s. Slack that a second of a job's own work weighs: of equal slack the smaller job goes
   * first.
   */
  private static final double SLACK_PER_WORK_FACTOR = 3;

  /** s. The slack that a job without a deadline has when it is submitted. */
  private static final double NO_DEADLINE_SLACK_S = 600;

  private final EventClock clock;
  private final CoreSettings settings;
  private final ClusterView view;
  private final MachineTypeCatalog types;
  private final MachineDemand demand;

  /** Processors of usable machines, by machine type. */
  private final Object2DoubleOpenHashMap<String> totalCpusByType = new Object2DoubleOpenHashMap<>();

  /** The part of them that is free. */
  private final Object2DoubleOpenHashMap<String> freeCpusByType = new Object2DoubleOpenHashMap<>();

  /** Slack is measured against the machines of the view that have a job's smallest type. */
  public JobRanking(
      EventClock clock,
      CoreSettings settings,
      ClusterView view,
      MachineTypeCatalog types,
      MachineDemand demand) {
    this.clock = clock;
    this.settings = settings;
    this.view = view;
    this.types = types;
    this.demand = demand;
  }

  /** Free processors of usable machines of this type. */
  double freeCpus(String type) {
    return freeCpusByType.getDouble(type);
  }

  /**
   * Whether nothing of the job is on a machine and nothing has run for long: whatever its priority
   * and size it comes next, with a tenth of its tasks, or it would wait as long as overload lasts.
   */
  boolean isStarving(LedJob ledJob) {
    return ledJob.activeAttempts().isEmpty()
        && ledJob.pending() > 0
        && mayStarve(ledJob.entry())
        // since the last run, not the last start: a machine leader may have rejected that
        && (ledJob.lastRunningMs() == 0
            || clock.now() - ledJob.lastRunningMs() > Constants.STARVATION_MS);
  }

  /** Whether the job was submitted so long ago that it starves if it has no task running. */
  boolean mayStarve(JobEntry job) {
    return clock.wallClockMs() - job.submittedMs() > Constants.STARVATION_MS;
  }

  private double ageS(JobEntry job) {
    return (clock.wallClockMs() - job.submittedMs()) / 1000.0;
  }

  /**
   * Starving jobs first, the longest waiting before others. Then priority before deadline before
   * age. Jobs that can't meet their deadline any more come after those that can: serving them first
   * would only make more of them. Among the rest slack decides, and of like slack the smaller job,
   * since each job counts once.
   */
  public int compare(LedJob first, LedJob second) {
    int comparison = Boolean.compare(isStarving(second), isStarving(first));
    if (comparison != 0) {
      return comparison;
    }
    if (isStarving(first)) {
      return Long.compare(first.entry().submittedMs(), second.entry().submittedMs());
    }
    comparison =
        Integer.compare(second.spec().priority().ordinal(), first.spec().priority().ordinal());
    if (comparison != 0) {
      return comparison;
    }
    comparison =
        Integer.compare(
            deadlineTier(first.entry(), first.spec()), deadlineTier(second.entry(), second.spec()));
    if (comparison != 0) {
      return comparison;
    }
    comparison = Double.compare(weightedSlackS(first), weightedSlackS(second));
    return comparison != 0
        ? comparison
        : Long.compare(first.entry().submittedMs(), second.entry().submittedMs());
  }

  /** 0: the deadline can be met; 1: only the later one that operators allow; 2: neither. */
  private int deadlineTier(JobEntry job, JobSpec spec) {
    if (spec.deadlineS() == null) {
      return 0;
    }
    double expectedEndS = ageS(job) + spec.estimatedRunS() * ESTIMATE_REMAINING_FRACTION;
    if (expectedEndS <= spec.deadlineS()) {
      return 0;
    }
    double deadlineFactor = settings.deadlineFactors().getOrDefault(spec.jobClass(), 1.0);
    return expectedEndS <= spec.deadlineS() * deadlineFactor ? 1 : 2;
  }

  /** Time to spare until the deadline, in s; larger for more work per machine. */
  private double weightedSlackS(LedJob ledJob) {
    JobSpec spec = ledJob.spec();
    double slots =
        Math.max(
            1, totalCpusByType.getDouble(demand.minimalType(spec)) / Math.max(0.01, spec.cpus()));
    double workS = ledJob.pending() * spec.estimatedRunS() / slots;
    double slackS =
        spec.deadlineS() == null
            ? NO_DEADLINE_SLACK_S - ageS(ledJob.entry())
            : spec.deadlineS() - ageS(ledJob.entry()) - spec.estimatedRunS();
    return slackS + SLACK_PER_WORK_FACTOR * workS;
  }

  /** Smaller for jobs that come first, whoever leads them; 0 stands for starving ones. */
  int rank(JobEntry job, JobSpec spec) {
    return (Priority.values().length - spec.priority().ordinal()) * 4 + deadlineTier(job, spec);
  }

  /** Renews the processors of usable machines, all and free, by machine type. */
  void recomputeCapacity() {
    totalCpusByType.clear();
    freeCpusByType.clear();
    for (MachineView machine : view.machines()) {
      if (!machine.isSchedulable()) {
        continue;
      }
      MachineType type = types.find(machine.status().type());
      if (type == null) {
        continue;
      }
      totalCpusByType.addTo(type.name(), type.cpus());
      freeCpusByType.addTo(type.name(), Math.max(0, machine.freeCpus()));
    }
  }
}
