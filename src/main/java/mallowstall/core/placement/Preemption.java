package mallowstall.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import mallowstall.Constants;
import mallowstall.core.autoscaling.MachineDemand;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.jobs.LedJob;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.Capacity;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.TaskAttempt;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.TaskStatus;
import mallowstall.core.quota.GuaranteedShares;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds tasks that a job may preempt: lower ones for urgent jobs, and for jobs covered by their
 * team's guaranteed share those of other teams that aren't.
 */
public final class Preemption {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.placement");

  /**
   * ms. A job within its team's guaranteed share may preempt what other teams borrow after this
   * time.
   */
  private static final long GUARANTEE_PREEMPTION_DELAY_MS = 6_000;

  /** ms. Least time between two preemptions for one job. */
  private static final long PREEMPTION_INTERVAL_MIN_MS = 3_000;

  /**
   * s. Work that counts as lost when a replica is preempted: more than any task's run time, since a
   * service is in use at every moment.
   */
  private static final double REPLICA_PREEMPTION_COST_S = 100_000;

  /** A machine, the tasks to be preempted there, and the seconds of work that this costs. */
  record PreemptionCandidate(MachineView machine, List<TaskStatus> victims, double costS) {
    /** The attempts that a start request names as victims. */
    List<TaskAttempt> victimAttempts() {
      return victims.stream().map(TaskAttempt::of).toList();
    }
  }

  private final ClusterView view;
  private final MachineDemand demand;
  private final JobRanking ranking;
  private final StateStore store;
  private final GuaranteedShares guaranteedShares;
  private final PolicyFacts policyFacts;
  private final PreemptionOrder order;

  /** Guaranteed shares say who is owed capacity; the policy's facts say where it would be used. */
  public Preemption(
      StateStore store,
      ClusterView view,
      MachineDemand demand,
      JobRanking ranking,
      GuaranteedShares guaranteedShares,
      PolicyFacts policyFacts) {
    this.view = view;
    this.demand = demand;
    this.ranking = ranking;
    this.store = store;
    this.guaranteedShares = guaranteedShares;
    this.policyFacts = policyFacts;
    this.order = new PreemptionOrder(guaranteedShares);
  }

  /** Whether the job may preempt others, and has waited long enough for it. */
  boolean mayPreempt(LedJob ledJob, long now) {
    return (isUrgent(ledJob) || isOwedGuaranteedShare(ledJob, now))
        && now - ledJob.leaderSinceMs() >= Constants.PREEMPTION_DELAY_MS
        && now - ledJob.lastPreemptionMs() >= PREEMPTION_INTERVAL_MIN_MS;
  }

  private static boolean isUrgent(LedJob ledJob) {
    return ledJob.spec().priority().isUrgent();
  }

  private boolean isOwedGuaranteedShare(LedJob ledJob, long now) {
    return guaranteedShares.includes(ledJob.id())
        && now - ledJob.leaderSinceMs() > GUARANTEE_PREEMPTION_DELAY_MS;
  }

  /**
   * Machines that a block of the job's policy accepts and where preempting lower tasks makes room,
   * the least loss first. Capacity freed on a machine that the policy rejects would go unused.
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
          || ledJob.isOnCooldown(machine.id(), now)) {
        continue;
      }
      List<TaskStatus> victims = selectVictims(ledJob, machine, now);
      if (victims.isEmpty()) {
        continue;
      }
      double costS = policyFacts.acceptedFetchS(policy, machine, ledJob, now);
      if (costS != PolicyFacts.REJECTED) {
        for (TaskStatus victim : victims) {
          costS += lostWorkS(victim);
        }
        candidates.add(new PreemptionCandidate(machine, victims, costS));
      }
    }
    candidates.sort(Comparator.comparingDouble(PreemptionCandidate::costS));
    return candidates;
  }

  /** Counts the capacity of the victims as free until they have stopped. */
  void releaseVictimCapacity(LedJob preemptor, PreemptionCandidate candidate, long now) {
    MachineView machine = candidate.machine;
    for (TaskStatus victim : candidate.victims) {
      logPreemption(preemptor, machine, victim, now);
      machine.reserve(store.job(victim.job()).spec(), -1);
      machine.recordPreemption(TaskAttempt.of(victim), now + PREEMPTION_INTERVAL_MIN_MS);
    }
  }

  private void logPreemption(LedJob preemptor, MachineView machine, TaskStatus victim, long now) {
    if (!LOG.isDebugEnabled()) {
      return;
    }
    JobSpec spec = preemptor.spec();
    JobSpec victimSpec = store.job(victim.job()).spec();
    LOG.debug(
        "preemption chosen job={} priority={} victim={} victimTask={} victimPriority={} machine={}"
            + " ground={} freeCpus={}",
        spec.id(),
        spec.priority(),
        victim.job(),
        victim.task(),
        victimSpec.priority(),
        machine.id(),
        order.ground(spec, isOwedGuaranteedShare(preemptor, now), victimSpec).orElse(null),
        machine.freeCpus());
  }

  /** The fewest lower tasks on the machine that make room for one of the job; empty: none do. */
  private List<TaskStatus> selectVictims(LedJob ledJob, MachineView machine, long now) {
    List<TaskStatus> preemptible = preemptibleTasks(ledJob, machine, now);
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

  /** Tasks on the machine that the job may preempt. */
  private List<TaskStatus> preemptibleTasks(LedJob ledJob, MachineView machine, long now) {
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
      if (machine.isPreempted(TaskAttempt.of(task)) || isProtected(job)) {
        continue;
      }
      if (order.ground(ledJob.spec(), owedShare, job.spec()).isPresent()) {
        preemptible.add(task);
      }
    }
    return preemptible;
  }

  /** A job that has just begun after starving keeps its few tasks, or it would starve again. */
  private boolean isProtected(JobEntry job) {
    return ranking.mayStarve(job)
        && view.placedTasks(job.spec().id()) <= job.spec().starvationTasks();
  }

  /** Estimated work lost when the task is stopped, in s; little while it fetches its image. */
  private double lostWorkS(TaskStatus task) {
    if (task.state() == TaskState.FETCHING) {
      return 1;
    }
    JobSpec spec = store.job(task.job()).spec();
    if (spec.isService()) {
      return REPLICA_PREEMPTION_COST_S;
    }
    double halfEstimateS = spec.estimatedRunS() / 2;
    return spec.checkpointIntervalS() > 0
        ? Math.min(halfEstimateS, spec.checkpointIntervalS())
        : halfEstimateS;
  }
}
