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

/**
 * Orders jobs: starving jobs first, then by priority, by whether the deadline can be met, by slack
 * and by age.
 */
public final class JobRanking {
  /**
   * Fraction of the estimated run time that a task is expected to take when the deadline is
   * checked. It is below 1 because estimates are often too high.
   */
  private static final double ESTIMATE_REMAINING_FRACTION = 0.8;

  /**
   * Seconds of slack added for each second of a job's own work, so that of two jobs with equal
   * slack the smaller one comes first.
   */
  private static final double SLACK_PER_WORK_FACTOR = 3;

  /** Slack in seconds that a job without a deadline has when it is submitted. */
  private static final double NO_DEADLINE_SLACK_S = 600;

  private final EventClock clock;
  private final CoreSettings settings;
  private final ClusterView view;
  private final MachineTypeCatalog types;
  private final MachineDemand demand;

  /** Number of processors of the machines that accept starts, by machine type. */
  private final Object2DoubleOpenHashMap<String> totalCpusByType = new Object2DoubleOpenHashMap<>();

  /** Number of free processors of the machines that accept starts, by machine type. */
  private final Object2DoubleOpenHashMap<String> freeCpusByType = new Object2DoubleOpenHashMap<>();

  /**
   * The slack of a job depends on the machines of the view that have the smallest type on which the
   * job's tasks fit.
   */
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

  /** Returns the number of free processors of the machines of this type that accept starts. */
  double freeCpus(String type) {
    return freeCpusByType.getDouble(type);
  }

  /**
   * Returns whether the job was submitted more than {@link Constants#STARVATION_MS} ago, has
   * pending tasks, has none that is or may be on a machine, and none that has run within that time.
   * A starving job is placed before all others, whatever its priority and size, with a tenth of its
   * tasks. Otherwise it would wait as long as an overload lasts.
   */
  boolean isStarving(LedJob ledJob) {
    return ledJob.activeAttempts().isEmpty()
        && ledJob.pending() > 0
        && mayStarve(ledJob.entry())
        // The time counts from the last run, not from the last start, because the machine leader
        // may have rejected the start.
        && (ledJob.lastRunningMs() == 0
            || clock.now() - ledJob.lastRunningMs() > Constants.STARVATION_MS);
  }

  /** Returns whether the job was submitted so long ago that it starves if no task of it runs. */
  boolean mayStarve(JobEntry job) {
    return clock.wallClockMs() - job.submittedMs() > Constants.STARVATION_MS;
  }

  private double ageS(JobEntry job) {
    return (clock.wallClockMs() - job.submittedMs()) / 1000.0;
  }

  /**
   * Compares two jobs; the smaller one is placed first. Starving jobs come first, the earliest
   * submitted one before the others. Other jobs are compared by priority, then by deadline tier,
   * then by slack, then by age. Jobs that can't meet their deadline any more come after those that
   * can, since serving them first would only make more jobs miss their deadlines. Of two jobs with
   * equal slack the smaller one comes first, since each job counts once, whatever its size.
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

  /**
   * Returns 0 if the job can meet its deadline or has none, 1 if it can only meet the later
   * deadline that the operators allow, 2 if it can meet neither.
   */
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

  /**
   * Returns the job's slack in seconds, plus an amount that grows with the job's work per slot on
   * machines of its smallest type. The slack is the time left until the deadline less the estimated
   * run time. A job without a deadline has a slack of {@link #NO_DEADLINE_SLACK_S} less its age.
   */
  private double weightedSlackS(LedJob ledJob) {
    JobSpec spec = ledJob.spec();
    double slots =
        Math.max(
            1, totalCpusByType.getDouble(demand.smallestType(spec)) / Math.max(0.01, spec.cpus()));
    double workS = ledJob.pending() * spec.estimatedRunS() / slots;
    double slackS =
        spec.deadlineS() == null
            ? NO_DEADLINE_SLACK_S - ageS(ledJob.entry())
            : spec.deadlineS() - ageS(ledJob.entry()) - spec.estimatedRunS();
    return slackS + SLACK_PER_WORK_FACTOR * workS;
  }

  /**
   * Returns a number that is smaller for jobs that come first, whichever controller leads them. It
   * is above 0, which {@link QueuedWork} uses for starving jobs.
   */
  int rank(JobEntry job, JobSpec spec) {
    return (Priority.values().length - spec.priority().ordinal()) * 4 + deadlineTier(job, spec);
  }

  /**
   * Recomputes the total and free processors of the machines that accept starts, by machine type.
   */
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
