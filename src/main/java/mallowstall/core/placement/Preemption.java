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
 * Finds tasks that a job may preempt. An urgent job may preempt tasks of lower priority. A job
 * covered by its team's guaranteed share may preempt tasks of other teams' jobs that are not
 * covered. {@link PreemptionOrder} decides between two jobs.
 */
public final class Preemption {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.placement");

  /**
   * Time after which a job covered by its team's guaranteed share may preempt tasks of other teams,
   * in milliseconds since this controller became the job's leader.
   */
  private static final long GUARANTEE_PREEMPTION_DELAY_MS = 6_000;

  /**
   * Minimum time between two preemptions for one job, in milliseconds. A victim is not selected
   * again within this time.
   */
  private static final long PREEMPTION_INTERVAL_MIN_MS = 3_000;

  /**
   * Work that counts as lost when a replica is preempted, in seconds. It exceeds the run time of
   * any task, because a service is always in use.
   */
  private static final double REPLICA_PREEMPTION_COST_S = 100_000;

  /** A machine, its tasks to preempt, and the image fetch time plus the lost work in seconds. */
  record PreemptionCandidate(MachineView machine, List<TaskStatus> victims, double costS) {
    /** Returns the attempts that a start request names as victims. */
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

  /**
   * Creates a finder of victims.
   *
   * @param guaranteedShares determines which jobs may claim capacity from other teams
   * @param policyFacts determines which machines the job's policy accepts
   */
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

  /** Returns whether the job may preempt others and has waited long enough to do so now. */
  boolean mayPreempt(LedJob ledJob, long now) {
    return (isUrgent(ledJob) || mayClaimGuaranteedShare(ledJob, now))
        && now - ledJob.leaderSinceMs() >= Constants.PREEMPTION_DELAY_MS
        && now - ledJob.lastPreemptionMs() >= PREEMPTION_INTERVAL_MIN_MS;
  }

  private static boolean isUrgent(LedJob ledJob) {
    return ledJob.spec().priority().isUrgent();
  }

  private boolean mayClaimGuaranteedShare(LedJob ledJob, long now) {
    return guaranteedShares.includes(ledJob.id())
        && now - ledJob.leaderSinceMs() > GUARANTEE_PREEMPTION_DELAY_MS;
  }

  /**
   * Returns the machines where preemption makes room for a task of the job, in ascending order of
   * cost. A machine is left out unless a block of the job's policy accepts it, because capacity
   * freed on a rejected machine would stay unused.
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

  /**
   * Counts the victims' capacity on the machine as free until reservations are next recomputed, and
   * records that the victims are being preempted.
   */
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
        order.ground(spec, mayClaimGuaranteedShare(preemptor, now), victimSpec).orElse(null),
        machine.freeCpus());
  }

  /**
   * Returns as many preemptible tasks, those with the least lost work first, as make room for one
   * task of the job. Returns an empty list if all of them together make too little room.
   */
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

  /** Returns the tasks on the machine that the job may preempt. */
  private List<TaskStatus> preemptibleTasks(LedJob ledJob, MachineView machine, long now) {
    boolean claimsShare = mayClaimGuaranteedShare(ledJob, now);
    machine.removeExpiredPreemptions(now);
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
      if (order.ground(ledJob.spec(), claimsShare, job.spec()).isPresent()) {
        preemptible.add(task);
      }
    }
    return preemptible;
  }

  /**
   * Returns whether the job was submitted longer ago than the starvation time and has only the few
   * tasks placed that a starving job gets first. The job would starve again without these tasks.
   */
  private boolean isProtected(JobEntry job) {
    return ranking.mayStarve(job)
        && view.placedTasks(job.spec().id()) <= job.spec().starvationTasks();
  }

  /**
   * Returns the estimated work lost when the task is stopped, in seconds. The loss counts as 1
   * second while the task fetches its image.
   */
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
