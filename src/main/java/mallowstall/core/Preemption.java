package mallowstall.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import mallowstall.Constants;
import mallowstall.core.Holder.Held;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.Priority;
import mallowstall.core.Model.RosterTask;
import mallowstall.core.Model.TaskRef;
import mallowstall.core.Model.TaskState;

/**
 * Finds tasks whose places a job may take: lower ones for urgent jobs, borrowed ones for jobs that
 * their team's guarantee covers.
 */
final class Preemption {
  /** A machine, the tasks to be stopped there, and the seconds of work that this costs. */
  record Exchange(View.Seen machine, List<RosterTask> victims, double cost) {
    List<TaskRef> refs() {
      return victims.stream().map(Preemption::ref).toList();
    }
  }

  private final EventClock clock;
  private final View view;
  private final MachineDemand demand;
  private final Store store;
  private final Entitlements entitlements;
  private final PolicyFacts facts;

  Preemption(
      EventClock clock,
      Store store,
      View view,
      MachineDemand demand,
      Entitlements entitlements,
      PolicyFacts facts) {
    this.clock = clock;
    this.view = view;
    this.demand = demand;
    this.store = store;
    this.entitlements = entitlements;
    this.facts = facts;
  }

  /** Whether the job may take others' places, and has waited long enough for it. */
  boolean due(Held held, long now) {
    return (urgent(held) || owed(held, now))
        && now - held.heldSince >= Constants.PREEMPT_AFTER_MS
        && now - held.lastPreempt >= Constants.PREEMPT_GAP_MS;
  }

  private static boolean urgent(Held held) {
    return held.spec.priority().ordinal() >= Priority.HIGH.ordinal();
  }

  private boolean owed(Held held, long now) {
    return entitlements.includes(held.id) && now - held.heldSince > Constants.GUARANTEE_AFTER_MS;
  }

  /**
   * Machines that a block of the job's policy takes and where stopping lower tasks makes room, the
   * least loss first. Stopping work elsewhere once freed room that nobody used, over and over.
   */
  List<Exchange> exchanges(Held held, Policy policy, String oneZone, long now) {
    JobSpec spec = held.spec;
    List<Exchange> exchanges = new ArrayList<>();
    for (View.Seen machine : view.machines.values()) {
      if (!machine.takes() || !view.heardLately(machine) || !machine.allows(spec)) {
        continue;
      }
      if (spec.oneZone() && oneZone != null && !machine.state.zone().equals(oneZone)) {
        continue;
      }
      if (demand.scarce(spec, machine.state.type())
          || held.avoid.getOrDefault(machine.id, 0L) > now) {
        continue;
      }
      List<RosterTask> victims = victims(held, machine, now);
      if (!victims.isEmpty() && facts.taken(policy, machine, held, now)) {
        double cost = facts.of(machine, held, now).fetchS;
        for (RosterTask victim : victims) {
          cost += loss(victim);
        }
        exchanges.add(new Exchange(machine, victims, cost));
      }
    }
    exchanges.sort(Comparator.comparingDouble(Exchange::cost));
    return exchanges;
  }

  /** Counts the room of what is to be stopped as free. */
  void release(Exchange exchange, long now) {
    View.Seen machine = exchange.machine;
    for (RosterTask victim : exchange.victims) {
      machine.book(store.job(victim.job()).spec(), -1);
      machine.replaced.put(ref(victim), now + Constants.PREEMPT_GAP_MS);
    }
  }

  /** The fewest lower tasks on the machine that make room for one of this job; none: empty. */
  private List<RosterTask> victims(Held held, View.Seen machine, long now) {
    boolean urgent = urgent(held);
    boolean owed = owed(held, now);
    machine.replaced.values().removeIf(until -> until <= now);
    List<RosterTask> lower = new ArrayList<>();
    for (RosterTask task : machine.state.tasks()) {
      JobRec job = task.state() == null ? null : store.job(task.job());
      if (job == null || task.state() == TaskState.EXITED || task.state() == TaskState.SAVING) {
        continue;
      }
      if (machine.replaced.containsKey(ref(task)) || spared(job)) {
        continue;
      }
      boolean below = urgent && job.spec().priority().ordinal() < held.spec.priority().ordinal();
      boolean borrowed =
          owed
              && !job.spec().team().equals(held.spec.team())
              && !entitlements.includes(job.spec().id());
      if (below || borrowed) {
        lower.add(task);
      }
    }
    lower.sort(Comparator.comparingDouble(this::loss));
    double cpus = machine.freeCpus();
    double gpus = machine.freeGpus();
    double memory = machine.freeMemory();
    for (int i = 0; i < lower.size(); i++) {
      JobSpec spec = store.job(lower.get(i).job()).spec();
      cpus += spec.cpus();
      gpus += spec.gpus();
      memory += spec.memoryGb();
      if (Capacity.tasks(cpus, gpus, memory, held.spec) > 0) {
        return lower.subList(0, i + 1);
      }
    }
    return List.of();
  }

  /** What has just begun after starving keeps its few tasks, or it would starve on. */
  private boolean spared(JobRec job) {
    return clock.wallClock() - job.submittedMs() > Constants.STARVES_MS
        && view.placed(job.spec().id()) <= Math.max(1, job.spec().tasks() / 10);
  }

  private static TaskRef ref(RosterTask task) {
    return new TaskRef(task.job(), task.task(), task.attempt());
  }

  /** Seconds of work that are about lost when the task is stopped; little while it fetches. */
  private double loss(RosterTask task) {
    if (task.state() == TaskState.FETCHING) {
      return 1;
    }
    JobSpec spec = store.job(task.job()).spec();
    if (spec.service()) {
      return Constants.REPLICA_LOSS_S;
    }
    double half = spec.estimateS() / 2;
    return spec.checkpointS() > 0 ? Math.min(half, spec.checkpointS()) : half;
  }
}
