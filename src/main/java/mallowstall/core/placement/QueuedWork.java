package mallowstall.core.placement;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mallowstall.core.autoscaling.MachineDemand;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.JobsNeedingLeader;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.jobs.LedJob;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.Capacity;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.MachineType;

/**
 * Counts the waiting tasks of all open jobs, whichever controller leads them. The counts by image
 * are facts for the policies. The counts by rank determine when a job leaves free capacity to jobs
 * of other controllers that come first. Mutable.
 */
public final class QueuedWork {
  /**
   * Time for which free capacity is left to a starving job of another controller, in milliseconds.
   * The capacity is left to the job again after three times as long.
   */
  private static final long STARVATION_YIELD_MS = 8_000;

  /**
   * Maximum time for which a job leaves free capacity to jobs of other controllers that rank before
   * it, in milliseconds.
   */
  private static final long OUTRANKED_YIELD_MS = 2_500;

  /** The waiting tasks of one job: rank, smallest type that holds one, leader, processors. */
  private record QueuedJob(
      String jobId, int rank, String smallestType, String leader, double cpus) {}

  /** A batch job without a placed task, longer after its submission than the starvation time. */
  record StarvingJob(JobEntry entry, String smallestType) {}

  private final EventClock clock;
  private final CoreSettings settings;
  private final ClusterView view;
  private final MachineTypeCatalog types;
  private final JobsNeedingLeader jobsNeedingLeader;
  private final MachineDemand demand;
  private final StateStore store;
  private final JobRanking ranking;

  /**
   * Time since which this controller has counted a job as starving, in milliseconds, by job id.
   * Includes jobs that other controllers lead.
   */
  private final Map<String, Long> starvingSinceMs = new HashMap<>();

  private final List<QueuedJob> queuedJobs = new ArrayList<>();

  private final List<StarvingJob> starvingJobs = new ArrayList<>();

  /** Estimated run time of all waiting tasks, in seconds, by image. */
  private final Object2DoubleOpenHashMap<String> queuedSecondsByImage =
      new Object2DoubleOpenHashMap<>();

  /** Number of tasks that the machines with the image can run at a time, by image. */
  private final Object2DoubleOpenHashMap<String> warmSlotsByImage =
      new Object2DoubleOpenHashMap<>();

  /** Creates counts that are empty until the first {@link #recompute}. */
  public QueuedWork(
      EventClock clock,
      CoreSettings settings,
      StateStore store,
      ClusterView view,
      MachineTypeCatalog types,
      JobsNeedingLeader jobsNeedingLeader,
      MachineDemand demand,
      JobRanking ranking) {
    this.clock = clock;
    this.settings = settings;
    this.view = view;
    this.types = types;
    this.jobsNeedingLeader = jobsNeedingLeader;
    this.demand = demand;
    this.store = store;
    this.ranking = ranking;
  }

  /**
   * Returns the time in seconds that the machines with the image need to run all tasks that wait
   * for it, or {@code NEVER_S} if no machine has the image.
   */
  double drainS(String image) {
    double slots = warmSlotsByImage.getDouble(image);
    return slots <= 0 ? Policy.Facts.NEVER_S : queuedSecondsByImage.getDouble(image) / slots;
  }

  /**
   * Returns the longest time in seconds that the machines with one of the other images need to run
   * all tasks that wait for that image, or 0 if no machine has any of the other images.
   */
  double maxOtherDrainS(String image, Collection<String> others) {
    double longestS = 0;
    for (String other : others) {
      double slots = warmSlotsByImage.getDouble(other);
      if (slots > 0 && !other.equals(image)) {
        longestS = Math.max(longestS, queuedSecondsByImage.getDouble(other) / slots);
      }
    }
    return longestS;
  }

  /** Adds the task slots of a machine that is about to fetch the job's image. */
  void addWarmMachine(MachineView machine, JobSpec spec) {
    warmSlotsByImage.mergeDouble(spec.image(), taskSlots(machine, spec), Double::sum);
  }

  /**
   * Returns whether the job must leave free capacity to jobs of other controllers that come first.
   * The job yields only for a limited time, because the other jobs may wait for another reason than
   * capacity.
   */
  boolean mustYield(LedJob ledJob, long now) {
    String type = demand.smallestType(ledJob.spec());
    if (type == null) {
      return false;
    }
    double starvingCpus = starvingCpus(type, now);
    if (starvingCpus > 0 && starvingCpus >= ranking.freeCpus(type)) {
      return true;
    }
    double aheadCpus = outrankingCpus(type, ranking.rank(ledJob.entry(), ledJob.spec()));
    if (aheadCpus <= 0 || aheadCpus < ranking.freeCpus(type)) {
      ledJob.clearOutranked();
      return false;
    }
    return ledJob.recordOutranked(now) < OUTRANKED_YIELD_MS;
  }

  /** Returns the processors that other controllers' starving jobs in a yield window wait for. */
  private double starvingCpus(String type, long now) {
    double cpus = 0;
    for (QueuedJob starvingJob : queuedJobs) {
      if (starvingJob.rank == 0
          && isOtherLeadersJob(starvingJob, type)
          && isInYieldWindow(starvingJob, now)) {
        cpus += starvingJob.cpus;
      }
    }
    return cpus;
  }

  /**
   * Returns whether free capacity is left to the starving job now. This is so only for a quarter of
   * the time, because the starving job may wait for another reason than capacity.
   */
  private boolean isInYieldWindow(QueuedJob starvingJob, long now) {
    long sinceMs = starvingSinceMs.getOrDefault(starvingJob.jobId, now);
    return (now - sinceMs) % (4 * STARVATION_YIELD_MS) < STARVATION_YIELD_MS;
  }

  /** Returns the processors that other controllers' jobs of a smaller rank wait for. */
  private double outrankingCpus(String type, int ownRank) {
    double cpus = 0;
    for (QueuedJob queuedJob : queuedJobs) {
      if (queuedJob.rank < ownRank && isOtherLeadersJob(queuedJob, type)) {
        cpus += queuedJob.cpus;
      }
    }
    return cpus;
  }

  /** Returns whether another controller leads the job and the job waits for the machine type. */
  private boolean isOtherLeadersJob(QueuedJob queuedJob, String type) {
    return type.equals(queuedJob.smallestType) && !settings.node().equals(queuedJob.leader);
  }

  /** Recomputes the waiting work and, by image, the slots of the machines that have the image. */
  void recompute() {
    queuedSecondsByImage.clear();
    queuedJobs.clear();
    starvingJobs.clear();
    warmSlotsByImage.clear();
    starvingSinceMs.keySet().removeIf(id -> store.job(id) == null || store.job(id).isTerminal());
    Map<String, JobSpec> specByImage = new HashMap<>();
    for (JobEntry job : jobsNeedingLeader.all()) {
      if (!job.isTerminal()) {
        specByImage.put(job.spec().image(), job.spec());
        addQueuedJob(job);
      }
    }
    for (MachineView machine : view.machines()) {
      if (machine.isSchedulable()) {
        addWarmSlots(machine, specByImage);
      }
    }
  }

  private void addQueuedJob(JobEntry job) {
    JobSpec spec = job.spec();
    int placed = view.placedTasks(spec.id());
    int tasks = Math.max(0, spec.tasks() - job.completedTaskCount() - placed);
    if (tasks == 0) {
      return;
    }
    if (spec.estimatedRunS() > 0) {
      queuedSecondsByImage.addTo(spec.image(), tasks * spec.estimatedRunS());
    }
    if (!store.isLive(job.leader(), job.incarnation())) {
      return;
    }
    boolean starves = placed == 0 && ranking.mayStarve(job);
    if (starves) {
      starvingSinceMs.putIfAbsent(spec.id(), clock.now());
    } else {
      starvingSinceMs.remove(spec.id());
    }
    int rank = starves ? 0 : ranking.rank(job, spec);
    double cpus = (starves ? spec.starvationTasks() : tasks) * spec.cpus();
    String smallestType = demand.smallestType(spec);
    queuedJobs.add(new QueuedJob(spec.id(), rank, smallestType, job.leader(), cpus));
    if (starves && !spec.isService() && smallestType != null) {
      starvingJobs.add(new StarvingJob(job, smallestType));
    }
  }

  /** Returns the starving batch jobs of all live controllers as of the last {@link #recompute}. */
  List<StarvingJob> starvingJobs() {
    return starvingJobs;
  }

  /** Adds the machine's task slots, divided evenly among its images that tasks wait for. */
  private void addWarmSlots(MachineView machine, Map<String, JobSpec> specByImage) {
    view.refreshImages(machine);
    int queuedImages = 0;
    for (String image : machine.images()) {
      if (queuedSecondsByImage.containsKey(image)) {
        queuedImages++;
      }
    }
    if (queuedImages == 0) {
      return;
    }
    for (String image : machine.images()) {
      JobSpec spec = queuedSecondsByImage.containsKey(image) ? specByImage.get(image) : null;
      if (spec != null && machine.allows(spec)) {
        warmSlotsByImage.addTo(image, taskSlots(machine, spec) / queuedImages);
      }
    }
  }

  /** Returns how many tasks of the job fit on the empty machine, or 0 if its type is unknown. */
  private double taskSlots(MachineView machine, JobSpec spec) {
    MachineType type = types.find(machine.status().type());
    if (type == null) {
      return 0;
    }
    return Capacity.fittingTasks(type.cpus(), type.gpus(), type.memoryGb(), spec);
  }
}
