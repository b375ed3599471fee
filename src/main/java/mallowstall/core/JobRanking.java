package mallowstall.core;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import mallowstall.Constants;
import mallowstall.core.Holder.Held;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.MachineType;
import mallowstall.core.Model.Priority;

/** In which order jobs are served: by starving, priority, hope of their deadline, slack and age. */
final class JobRanking {
  private final EventClock clock;
  private final CoreSettings settings;
  private final View view;
  private final MachineTypeCatalog types;
  private final MachineDemand demand;

  /** Processors of usable machines, by machine type. */
  private final Object2DoubleOpenHashMap<String> roomOf = new Object2DoubleOpenHashMap<>();

  /** The part of them that is free. */
  private final Object2DoubleOpenHashMap<String> freeOf = new Object2DoubleOpenHashMap<>();

  JobRanking(
      EventClock clock,
      CoreSettings settings,
      View view,
      MachineTypeCatalog types,
      MachineDemand demand) {
    this.clock = clock;
    this.settings = settings;
    this.view = view;
    this.types = types;
    this.demand = demand;
  }

  /** Free processors of usable machines of this type. */
  double free(String type) {
    return freeOf.getDouble(type);
  }

  /**
   * A job of which nothing is on a machine and nothing ran for so long: whatever its priority, size
   * and hope, it is next, with a tenth of its tasks. Smaller and still hopeful jobs before it would
   * otherwise keep it waiting as long as the overload lasts.
   */
  boolean starves(Held held) {
    return held.active.isEmpty()
        && held.pending() > 0
        && clock.wallClock() - held.job.submittedMs() > Constants.STARVES_MS
        // not since the last try: a start that an owner refused once cost the job another wait
        && (held.lastRan == 0 || clock.now() - held.lastRan > Constants.STARVES_MS);
  }

  /**
   * Starving jobs first, the longest waiting before others. Then priority before deadline before
   * age. Jobs that can't meet their deadline any more come after those that can: serving them first
   * would only make more of them. Among the rest slack decides, and of like slack the smaller job,
   * since each job counts once.
   */
  int order(Held a, Held b) {
    int c = Boolean.compare(starves(b), starves(a));
    if (c != 0) {
      return c;
    }
    if (starves(a)) {
      return Long.compare(a.job.submittedMs(), b.job.submittedMs());
    }
    c = Integer.compare(b.spec.priority().ordinal(), a.spec.priority().ordinal());
    if (c != 0) {
      return c;
    }
    c = Integer.compare(tier(a.job, a.spec), tier(b.job, b.spec));
    if (c != 0) {
      return c;
    }
    c = Double.compare(urgency(a), urgency(b));
    return c != 0 ? c : Long.compare(a.job.submittedMs(), b.job.submittedMs());
  }

  /** 0: the deadline can be met; 1: only a later one that the operators count; 2: neither. */
  private int tier(JobRec job, JobSpec spec) {
    if (spec.deadlineS() == null) {
      return 0;
    }
    double end =
        (clock.wallClock() - job.submittedMs()) / 1000.0 + spec.estimateS() * Constants.HOPE_FACTOR;
    if (end <= spec.deadlineS()) {
      return 0;
    }
    double times = settings.lateTimes().getOrDefault(spec.jobClass(), 1.0);
    return end <= spec.deadlineS() * times ? 1 : 2;
  }

  private double urgency(Held held) {
    JobSpec spec = held.spec;
    double slots =
        Math.max(1, roomOf.getDouble(demand.minimalType(spec)) / Math.max(0.01, spec.cpus()));
    double work = held.pending() * spec.estimateS() / slots;
    double slack =
        spec.deadlineS() == null
            ? 600 + (held.job.submittedMs() - clock.wallClock()) / 1000.0
            : spec.deadlineS()
                - (clock.wallClock() - held.job.submittedMs()) / 1000.0
                - spec.estimateS();
    return slack + Constants.WORK_WEIGHT * work;
  }

  /** Smaller for jobs that come first, whoever holds them; those that starve have 0. */
  int rank(JobRec job, JobSpec spec) {
    return (Priority.values().length - spec.priority().ordinal()) * 4 + tier(job, spec);
  }

  /** Processors of usable machines, all and free, by machine type. */
  void countRoom() {
    roomOf.clear();
    freeOf.clear();
    for (View.Seen machine : view.machines.values()) {
      if (!machine.takes()) {
        continue;
      }
      MachineType type = types.find(machine.state.type());
      if (type == null) {
        continue;
      }
      roomOf.addTo(type.name(), type.cpus());
      freeOf.addTo(type.name(), Math.max(0, machine.freeCpus()));
    }
  }
}
