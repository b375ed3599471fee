package mallowstall.core;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mallowstall.Constants;
import mallowstall.core.Holder.Held;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.MachineType;

/**
 * The waiting tasks of all open jobs, whoever holds them: by image, for the policies, and by rank,
 * so that free room is left to those that come first. Mutable.
 */
final class WaitingWork {
  /** Waiting work of one job, as far as it matters to others. */
  private record Ahead(String job, int rank, String type, String holder, double cpus) {}

  private final EventClock clock;
  private final CoreSettings settings;
  private final View view;
  private final MachineTypeCatalog types;
  private final OpenJobs openJobs;
  private final MachineDemand demand;
  private final Store store;
  private final JobRanking ranking;

  /** Jobs that starve, whoever holds them, and since when that is known here. */
  private final Map<String, Long> starvingSince = new HashMap<>();

  private final List<Ahead> aheads = new ArrayList<>();

  /** Seconds of work that wait, by image. */
  private final Object2DoubleOpenHashMap<String> waiting = new Object2DoubleOpenHashMap<>();

  /** Tasks that machines with the image can run at a time, by image. */
  private final Object2DoubleOpenHashMap<String> warm = new Object2DoubleOpenHashMap<>();

  WaitingWork(
      EventClock clock,
      CoreSettings settings,
      Store store,
      View view,
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
    double slots = warm.getDouble(image);
    return slots <= 0 ? Policy.Facts.NEVER_S : waiting.getDouble(image) / slots;
  }

  /** The longest such time of the other images among these, if any of them is on a machine. */
  double otherDrainS(String image, Collection<String> others) {
    double longest = 0;
    for (String other : others) {
      double slots = warm.getDouble(other);
      if (slots > 0 && !other.equals(image)) {
        longest = Math.max(longest, waiting.getDouble(other) / slots);
      }
    }
    return longest;
  }

  /** One more machine will have the image. */
  void warmUp(View.Seen machine, JobSpec spec) {
    warm.mergeDouble(spec.image(), slots(machine, spec), Double::sum);
  }

  /**
   * Whether the free room is owed to waiting tasks of other controllers' jobs that come first. It
   * holds a job back only for a while, since those may have reasons of their own to wait.
   */
  boolean outranked(Held held, long now) {
    String type = demand.minimalType(held.spec);
    if (type == null) {
      return false;
    }
    int mine = ranking.rank(held.job, held.spec);
    // by turns, since it may have reasons of its own to wait
    double starving = 0;
    for (Ahead waitingWork : aheads) {
      long since = waitingWork.rank > 0 ? now : starvingSince.getOrDefault(waitingWork.job, now);
      boolean turn = (now - since) % (4 * Constants.YIELD_MS) < Constants.YIELD_MS;
      if (waitingWork.rank == 0
          && turn
          && type.equals(waitingWork.type)
          && !settings.node().equals(waitingWork.holder)) {
        starving += waitingWork.cpus;
      }
    }
    if (starving > 0 && starving >= ranking.free(type)) {
      return true;
    }
    double ahead = 0;
    for (Ahead a : aheads) {
      if (a.rank < mine && type.equals(a.type) && !settings.node().equals(a.holder)) {
        ahead += a.cpus;
      }
    }
    if (ahead <= 0 || ahead < ranking.free(type)) {
      held.outrankedSince = 0;
      return false;
    }
    if (held.outrankedSince == 0) {
      held.outrankedSince = now;
    }
    return now - held.outrankedSince < Constants.OUTRANKED_MS;
  }

  /**
   * Per image: tasks waiting for a machine, over all holders, and slots on machines that have it.
   */
  void count() {
    waiting.clear();
    aheads.clear();
    warm.clear();
    starvingSince.keySet().removeIf(id -> store.job(id) == null || store.job(id).over());
    Map<String, JobSpec> sample = new HashMap<>();
    for (JobRec job : openJobs.all()) {
      if (!job.over()) {
        sample.put(job.spec().image(), job.spec());
        countWaiting(job);
      }
    }
    for (View.Seen machine : view.machines.values()) {
      if (machine.takes()) {
        countWarm(machine, sample);
      }
    }
  }

  private void countWaiting(JobRec job) {
    JobSpec spec = job.spec();
    int placed = view.placed(spec.id());
    int tasks = Math.max(0, spec.tasks() - job.doneCount() - placed);
    if (tasks == 0) {
      return;
    }
    if (spec.estimateS() > 0) {
      waiting.addTo(spec.image(), tasks * spec.estimateS());
    }
    if (!store.live(job.holder(), job.incarnation())) {
      return;
    }
    boolean starves = placed == 0 && clock.wallClock() - job.submittedMs() > Constants.STARVES_MS;
    if (starves) {
      starvingSince.putIfAbsent(spec.id(), clock.now());
    } else {
      starvingSince.remove(spec.id());
    }
    int rank = starves ? 0 : ranking.rank(job, spec);
    double cpus = (starves ? Math.max(1, spec.tasks() / 10) : tasks) * spec.cpus();
    aheads.add(new Ahead(spec.id(), rank, demand.minimalType(spec), job.holder(), cpus));
  }

  /** A machine with several images that are waited for serves each of them only in part. */
  private void countWarm(View.Seen machine, Map<String, JobSpec> sample) {
    view.derive(machine);
    int wanted = 0;
    for (String image : machine.images) {
      if (waiting.containsKey(image)) {
        wanted++;
      }
    }
    if (wanted == 0) {
      return;
    }
    for (String image : machine.images) {
      JobSpec spec = waiting.containsKey(image) ? sample.get(image) : null;
      if (spec != null && machine.allows(spec)) {
        warm.addTo(image, slots(machine, spec) / wanted);
      }
    }
  }

  /** How many tasks like this one an empty machine would hold. */
  private double slots(View.Seen machine, JobSpec spec) {
    MachineType type = types.find(machine.state.type());
    if (type == null) {
      return 0;
    }
    return Capacity.tasks(type.cpus(), type.gpus(), type.memoryGb(), spec);
  }
}
