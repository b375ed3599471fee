package mallowstall.core.placement;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mallowstall.core.autoscaling.MachineDemand;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.cluster.OpenJobs;
import mallowstall.core.jobs.LedJob;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.Capacity;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.MachineType;

/**
 * The tasks of all open jobs that wait for a machine, whoever leads them: by image, for the
 * policies, and by rank, so that free capacity is left to those that come first. Mutable.
 */
public final class QueuedWork {
  /**
   * ms. Free capacity is left to starving jobs for so long, and again after three times as long.
   */
  private static final long STARVATION_YIELD_MS = 8_000;

  /** ms. A job leaves free capacity for so long to other controllers' jobs that rank before it. */
  private static final long OUTRANKED_YIELD_MS = 2_500;

  /** Waiting work of one job, as far as it matters to others. */
  private record QueuedJob(
      String jobId, int rank, String minimalType, String leader, double cpus) {}

  /** A batch job of which nothing is on a machine, long after it was submitted. */
  record StarvingJob(JobEntry entry, String minimalType) {}

  private final EventClock clock;
  private final CoreSettings settings;
  private final ClusterView view;
  private final MachineTypeCatalog types;
  private final OpenJobs openJobs;
  private final MachineDemand demand;
  private final StateStore store;
  private final JobRanking ranking;

  /** Starving jobs, whoever leads them, and since when that is known here. */
  private final Map<String, Long> starvingSinceMs = new HashMap<>();

  private final List<QueuedJob> queuedJobs = new ArrayList<>();

  private final List<StarvingJob> starvingJobs = new ArrayList<>();

  /** Seconds of work that wait, by image. */
  private final Object2DoubleOpenHashMap<String> queuedSecondsByImage =
      new Object2DoubleOpenHashMap<>();

  /** Tasks that machines with the image can run at a time, by image. */
  private final Object2DoubleOpenHashMap<String> warmSlotsByImage =
      new Object2DoubleOpenHashMap<>();

  /** Nothing waits until it is counted first. */
  public QueuedWork(
      EventClock clock,
      CoreSettings settings,
      StateStore store,
      ClusterView view,
      MachineTypeCatalog types,
      OpenJobs openJobs,
      MachineDemand demand,
      JobRanking ranking) {
    this.clock = clock;
    this.settings = settings;
    this.view = view;
    this.types = types;
    this.openJobs = openJobs;
    this.demand = demand;
    this.store = store;
    this.ranking = ranking;
  }

  /** Seconds in which the machines that have the image could serve all tasks that wait for it. */
  double drainS(String image) {
    double slots = warmSlotsByImage.getDouble(image);
    return slots <= 0 ? Policy.Facts.NEVER_S : queuedSecondsByImage.getDouble(image) / slots;
  }

  /** The longest such time of the other images among these, if any of them is on a machine. */
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

  /** One more machine will have the image. */
  void addWarmMachine(MachineView machine, JobSpec spec) {
    warmSlotsByImage.mergeDouble(spec.image(), taskSlots(machine, spec), Double::sum);
  }

  /**
   * Whether free capacity is owed to other controllers' jobs that come first. It holds a job back
   * only for a while, since those may have reasons of their own to wait.
   */
  boolean mustYield(LedJob ledJob, long now) {
    String type = demand.minimalType(ledJob.spec());
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

  /** What other controllers' starving jobs wait for; they have their turns. */
  private double starvingCpus(String type, long now) {
    double cpus = 0;
    for (QueuedJob starvingJob : queuedJobs) {
      if (starvingJob.rank == 0 && isOthers(starvingJob, type) && hasTurn(starvingJob, now)) {
        cpus += starvingJob.cpus;
      }
    }
    return cpus;
  }

  /** A quarter of the time, since a starving job may have reasons of its own to wait. */
  private boolean hasTurn(QueuedJob starvingJob, long now) {
    long sinceMs = starvingSinceMs.getOrDefault(starvingJob.jobId, now);
    return (now - sinceMs) % (4 * STARVATION_YIELD_MS) < STARVATION_YIELD_MS;
  }

  /** What other controllers' jobs of a smaller rank wait for. */
  private double outrankingCpus(String type, int ownRank) {
    double cpus = 0;
    for (QueuedJob queuedJob : queuedJobs) {
      if (queuedJob.rank < ownRank && isOthers(queuedJob, type)) {
        cpus += queuedJob.cpus;
      }
    }
    return cpus;
  }

  /** Whether another controller leads the job, and it waits for machines of the type. */
  private boolean isOthers(QueuedJob queuedJob, String type) {
    return type.equals(queuedJob.minimalType) && !settings.node().equals(queuedJob.leader);
  }

  /** Counts anew, by image, the work that waits and the slots on machines that have the image. */
  void recompute() {
    queuedSecondsByImage.clear();
    queuedJobs.clear();
    starvingJobs.clear();
    warmSlotsByImage.clear();
    starvingSinceMs.keySet().removeIf(id -> store.job(id) == null || store.job(id).isTerminal());
    Map<String, JobSpec> specByImage = new HashMap<>();
    for (JobEntry job : openJobs.all()) {
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
    String minimalType = demand.minimalType(spec);
    queuedJobs.add(new QueuedJob(spec.id(), rank, minimalType, job.leader(), cpus));
    if (starves && !spec.isService() && minimalType != null) {
      starvingJobs.add(new StarvingJob(job, minimalType));
    }
  }

  /** Starving jobs of all live controllers, as of the last count. */
  List<StarvingJob> starvingJobs() {
    return starvingJobs;
  }

  /** A machine with several images that are waited for serves each of them only in part. */
  private void addWarmSlots(MachineView machine, Map<String, JobSpec> specByImage) {
    view.updateDerivedState(machine);
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

  /** How many tasks like this one an empty machine would hold. */
  private double taskSlots(MachineView machine, JobSpec spec) {
    MachineType type = types.find(machine.status().type());
    if (type == null) {
      return 0;
    }
    return Capacity.fittingTasks(type.cpus(), type.gpus(), type.memoryGb(), spec);
  }
}
