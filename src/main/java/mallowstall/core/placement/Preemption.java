package mallowstall.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import mallowstall.Constants;
import mallowstall.core.autoscaling.MachineDemand;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.jobs.LedJob;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.Capacity;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.Priority;
import mallowstall.core.model.TaskRef;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.TaskStatus;
import mallowstall.core.quota.GuaranteedShares;

/**
 * Finds tasks whose places a job may take: lower ones for urgent jobs, borrowed ones for jobs that
 * their team's guarantee covers.
 */
public final class Preemption {
  /** A machine, the tasks to be stopped there, and the seconds of work that this costs. */
  record PreemptionCandidate(MachineView machine, List<TaskStatus> victims, double costS) {
    List<TaskRef> victimRefs() {
      return victims.stream().map(Preemption::taskRef).toList();
    }
  }

  private final EventClock clock;
  private final ClusterView view;
  private final MachineDemand demand;
  private final StateStore store;
  private final GuaranteedShares guaranteedShares;
  private final PolicyFacts policyFacts;

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public Preemption(
      EventClock clock,
      StateStore store,
      ClusterView view,
      MachineDemand demand,
      GuaranteedShares guaranteedShares,
      PolicyFacts policyFacts) {
    this.clock = clock;
    this.view = view;
    this.demand = demand;
    this.store = store;
    this.guaranteedShares = guaranteedShares;
    this.policyFacts = policyFacts;
  }

  /** Whether the job may take others' places, and has waited long enough for it. */
  boolean mayPreempt(LedJob ledJob, long now) {
    return (isUrgent(ledJob) || isOwedGuaranteedShare(ledJob, now))
        && now - ledJob.leaderSinceMs() >= Constants.PREEMPTION_DELAY_MS
        && now - ledJob.lastPreemptionMs() >= Constants.PREEMPTION_INTERVAL_MIN_MS;
  }

  private static boolean isUrgent(LedJob ledJob) {
    return ledJob.spec().priority().ordinal() >= Priority.HIGH.ordinal();
  }

  private boolean isOwedGuaranteedShare(LedJob ledJob, long now) {
    return guaranteedShares.includes(ledJob.id())
        && now - ledJob.leaderSinceMs() > Constants.GUARANTEE_PREEMPTION_DELAY_MS;
  }

  /**
   * Machines that a block of the job's policy takes and where stopping lower tasks makes room, the
   * least loss first. Stopping work elsewhere once freed room that nobody used, over and over.
   */
  List<PreemptionCandidate> findCandidates(
      LedJob ledJob, Policy policy, String chosenZone, long now) {
    JobSpec spec = ledJob.spec();
    List<PreemptionCandidate> candidates = new ArrayList<>();
    for (MachineView machine : view.machines()) {
      if (!machine.isSchedulable() || !view.hasRecentUpdate(machine) || !machine.allows(spec)) {
        continue;
      }
      if (spec.singleZone() && chosenZone != null && !machine.status().zone().equals(chosenZone)) {
        continue;
      }
      if (demand.isScarce(spec, machine.status().type())
          || ledJob.machineCooldownUntilMs().getOrDefault(machine.id(), 0L) > now) {
        continue;
      }
      List<TaskStatus> victims = selectVictims(ledJob, machine, now);
      if (!victims.isEmpty() && policyFacts.accepts(policy, machine, ledJob, now)) {
        double costS = policyFacts.evaluate(machine, ledJob, now).fetchS;
        for (TaskStatus victim : victims) {
          costS += lostWorkS(victim);
        }
        candidates.add(new PreemptionCandidate(machine, victims, costS));
      }
    }
    candidates.sort(Comparator.comparingDouble(PreemptionCandidate::costS));
    return candidates;
  }

  /** Counts the room of what is to be stopped as free. */
  void reserveVictimCapacity(PreemptionCandidate candidate, long now) {
    MachineView machine = candidate.machine;
    for (TaskStatus victim : candidate.victims) {
      machine.reserve(store.job(victim.job()).spec(), -1);
      machine.recordPreemption(taskRef(victim), now + Constants.PREEMPTION_INTERVAL_MIN_MS);
    }
  }

  /** The fewest lower tasks on the machine that make room for one of this job; none: empty. */
  private List<TaskStatus> selectVictims(LedJob ledJob, MachineView machine, long now) {
    boolean urgent = isUrgent(ledJob);
    boolean owedShare = isOwedGuaranteedShare(ledJob, now);
    machine.forgetPreemptions(now);
    List<TaskStatus> preemptible = new ArrayList<>();
    for (TaskStatus task : machine.status().tasks()) {
      JobEntry job = task.state() == null ? null : store.job(task.job());
      if (job == null
          || task.state() == TaskState.EXITED
          || task.state() == TaskState.CHECKPOINTING) {
        continue;
      }
      if (machine.isPreempted(taskRef(task)) || isProtected(job)) {
        continue;
      }
      boolean lowerPriority =
          urgent && job.spec().priority().ordinal() < ledJob.spec().priority().ordinal();
      boolean borrowed =
          owedShare
              && !job.spec().team().equals(ledJob.spec().team())
              && !guaranteedShares.includes(job.spec().id());
      if (lowerPriority || borrowed) {
        preemptible.add(task);
      }
    }
    preemptible.sort(Comparator.comparingDouble(this::lostWorkS));
    double cpus = machine.freeCpus();
    double gpus = machine.freeGpus();
    double memoryGb = machine.freeMemoryGb();
    for (int i = 0; i < preemptible.size(); i++) {
      JobSpec spec = store.job(preemptible.get(i).job()).spec();
      cpus += spec.cpus();
      gpus += spec.gpus();
      memoryGb += spec.memoryGb();
      if (Capacity.fittingTasks(cpus, gpus, memoryGb, ledJob.spec()) > 0) {
        return preemptible.subList(0, i + 1);
      }
    }
    return List.of();
  }

  /** What has just begun after starving keeps its few tasks, or it would starve on. */
  private boolean isProtected(JobEntry job) {
    return clock.wallClockMs() - job.submittedMs() > Constants.STARVATION_MS
        && view.placedTasks(job.spec().id()) <= Math.max(1, job.spec().tasks() / 10);
  }

  private static TaskRef taskRef(TaskStatus task) {
    return new TaskRef(task.job(), task.task(), task.attempt());
  }

  /** Seconds of work that are about lost when the task is stopped; little while it fetches. */
  private double lostWorkS(TaskStatus task) {
    if (task.state() == TaskState.FETCHING) {
      return 1;
    }
    JobSpec spec = store.job(task.job()).spec();
    if (spec.isService()) {
      return Constants.REPLICA_PREEMPTION_COST_S;
    }
    double halfEstimateS = spec.estimatedRunS() / 2;
    return spec.checkpointIntervalS() > 0
        ? Math.min(halfEstimateS, spec.checkpointIntervalS())
        : halfEstimateS;
  }
}
