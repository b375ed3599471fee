package mallowstall.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import mallowstall.Constants;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.jobs.ActiveAttempt;
import mallowstall.core.jobs.JobLeader;
import mallowstall.core.jobs.LedJob;
import mallowstall.core.kernel.Backoff;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.Metrics;
import mallowstall.core.kernel.PlacementTrigger;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.JobSpec;
import mallowstall.core.quota.GuaranteedShares;
import mallowstall.core.quota.QuotaLedger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Places the pending tasks of the jobs held here on any allowed machine of the view. The tasks of
 * one job are alike and are decided together: cost follows jobs and machines, not tasks.
 */
public final class PlacementScheduler {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.placement");

  private final EventClock clock;
  private final Metrics metrics;
  private final ClusterView view;
  private final MachineTypeCatalog types;
  private final PlacementTrigger placementTrigger;
  private final Policy.PolicyRegistry policies;
  private final StateStore store;
  private final JobLeader jobLeader;
  private final SplittableRandom random;
  private final Map<String, Backoff> backoffs = new HashMap<>();
  private final QuotaLedger quotaLedger;
  private final JobRanking ranking;
  private final GuaranteedShares guaranteedShares;
  private final QueuedWork queuedWork;
  private final PolicyFacts policyFacts;
  private final StartSender startSender;
  private final Preemption preemption;
  private final ReplicaRelocation relocation;

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public PlacementScheduler(
      EventClock clock,
      Metrics metrics,
      StateStore store,
      ClusterView view,
      MachineTypeCatalog types,
      PlacementTrigger placementTrigger,
      Policy.PolicyRegistry policies,
      JobLeader jobLeader,
      QuotaLedger quotaLedger,
      JobRanking ranking,
      GuaranteedShares guaranteedShares,
      QueuedWork queuedWork,
      PolicyFacts policyFacts,
      StartSender startSender,
      Preemption preemption,
      ReplicaRelocation relocation,
      SplittableRandom random) {
    this.clock = clock;
    this.metrics = metrics;
    this.view = view;
    this.types = types;
    this.placementTrigger = placementTrigger;
    this.policies = policies;
    this.store = store;
    this.jobLeader = jobLeader;
    this.random = random;
    this.quotaLedger = quotaLedger;
    this.ranking = ranking;
    this.guaranteedShares = guaranteedShares;
    this.queuedWork = queuedWork;
    this.policyFacts = policyFacts;
    this.startSender = startSender;
    this.preemption = preemption;
    this.relocation = relocation;
  }

  /** Places what waits, as far as there is room. */
  public void runSchedulingPass() {
    if (!store.isSessionValid() || !store.synced() || types.isEmpty()) {
      return;
    }
    long now = clock.now();
    List<LedJob> pendingJobs = new ArrayList<>();
    boolean anyDue = false;
    for (LedJob ledJob : jobLeader.jobs()) {
      if (ledJob.spec().isService()) {
        ledJob.relocations().expire(now);
      }
      if (ledJob.recovered()
          && !ledJob.finished()
          && ledJob.pending() > 0
          && now >= ledJob.startNotBeforeMs()) {
        pendingJobs.add(ledJob);
        anyDue |= !backoffFor(ledJob).isWaiting(now, placementTrigger.capacityVersion());
      }
    }
    boolean anyService = jobLeader.anyService();
    if (!anyDue && !anyService) {
      return;
    }
    ranking.recomputeCapacity();
    guaranteedShares.recompute();
    pendingJobs.sort(ranking::compare);
    List<MachineView> machines = new ArrayList<>();
    for (MachineView machine : view.machines()) {
      if (machine.isSchedulable() && view.hasRecentUpdate(machine) && machine.freeCpus() > 0.01) {
        machines.add(machine);
      }
    }
    reserveUnconfirmedStarts();
    queuedWork.recompute();
    if (anyService) {
      relocation.runPass(machines, now);
    }
    int remainingStarts = Constants.STARTS_PER_PASS_MAX;
    for (List<LedJob> group : groupByPriority(pendingJobs)) {
      if (remainingStarts <= 0) {
        break;
      }
      remainingStarts -= placeGroup(group, machines, remainingStarts, now);
    }
    startSender.flush();
  }

  private Backoff backoffFor(LedJob ledJob) {
    if (ledJob.spec().isService()) {
      return ledJob.backoff();
    }
    String policy = policies.forJobClass(ledJob.spec().jobClass()).name();
    return backoffs.computeIfAbsent(policy, key -> new Backoff());
  }

  /** Jobs of one priority, those that starve apart; they stay in their order. */
  private List<List<LedJob>> groupByPriority(List<LedJob> pendingJobs) {
    List<List<LedJob>> groups = new ArrayList<>();
    LedJob previous = null;
    for (LedJob ledJob : pendingJobs) {
      boolean sameGroup =
          previous != null
              && previous.spec().priority() == ledJob.spec().priority()
              && ranking.isStarving(previous) == ranking.isStarving(ledJob);
      if (!sameGroup) {
        groups.add(new ArrayList<>());
      }
      groups.get(groups.size() - 1).add(ledJob);
      previous = ledJob;
    }
    return groups;
  }

  /** Every job tries a block before any tries the next; returns the number of starts. */
  private int placeGroup(List<LedJob> group, List<MachineView> machines, int maxStarts, long now) {
    List<Try> jobPlacements = new ArrayList<>();
    int blockCount = 0;
    for (LedJob ledJob : group) {
      Try jobPlacement = new Try(ledJob, machines);
      boolean mayYield = !ranking.isStarving(ledJob) && !ledJob.spec().isService();
      if (jobPlacement.backoff.isWaiting(now, placementTrigger.capacityVersion())
          || mayYield && queuedWork.mustYield(ledJob, now)) {
        continue;
      }
      jobPlacements.add(jobPlacement);
      blockCount = Math.max(blockCount, jobPlacement.policy.blocks().size());
    }
    int started = 0;
    for (int i = 0; i < blockCount; i++) {
      for (Try jobPlacement : jobPlacements) {
        if (i < jobPlacement.policy.blocks().size() && started < maxStarts) {
          Policy.Block block = jobPlacement.policy.blocks().get(i);
          started += jobPlacement.tryBlock(block, machines, maxStarts - started, now);
        }
      }
    }
    for (Try jobPlacement : jobPlacements) {
      jobPlacement.finish(now);
    }
    return started;
  }

  /** A machine that a block takes; the lower score comes first. */
  private record MachineCandidate(MachineView machine, double score) {}

  /** One job's part in a placement round. Mutable. */
  private final class Try {
    final LedJob ledJob;
    final Policy policy;
    final Backoff backoff;
    final boolean quotaLimited;
    final Map<String, Integer> tasksByZone = new HashMap<>();
    final int maxTasksPerZone;

    /** Replicas of a service on each machine, which are spread as evenly as can be. */
    final Map<String, Integer> replicasByMachine = new HashMap<>();

    String chosenZone;
    int pendingTasks;
    int freeQuotaTasks;
    int placedTasks;

    /** Pairs of a machine with room and a block that didn't take it. */
    int rejectedCandidates;

    /** Tasks that would have been placed if their team's grant allowed it. */
    int quotaBlockedTasks;

    Try(LedJob ledJob, List<MachineView> machines) {
      this.ledJob = ledJob;
      JobSpec spec = ledJob.spec();
      policy = policies.forJobClass(spec.jobClass());
      backoff = backoffFor(ledJob);
      pendingTasks = ledJob.pending();
      if (ranking.isStarving(ledJob) && !spec.isService()) {
        pendingTasks = Math.min(pendingTasks, Math.max(1, spec.tasks() / 10));
      }
      quotaLimited = quotaLedger.hasQuota(spec);
      // a change of the grant that is under way or in doubt: what it will be isn't known
      freeQuotaTasks =
          !quotaLimited
              ? Integer.MAX_VALUE
              : ledJob.quotaWriteInFlight()
                      || ledJob.writeOutcomeUnknown()
                      || quotaLedger.mustReleaseQuota(ledJob)
                  ? 0
                  : ledJob.entry().quotaReservedTasks() - ledJob.activeAttempts().size();
      for (ActiveAttempt active : ledJob.activeAttempts().values()) {
        chosenZone = active.zone();
        tasksByZone.merge(active.zone(), 1, Integer::sum);
        if (spec.isService()) {
          replicasByMachine.merge(active.machine(), 1, Integer::sum);
        }
      }
      if (spec.singleZone() && chosenZone == null) {
        chosenZone = zoneWithMostCapacity(spec, machines);
      }
      maxTasksPerZone = spec.spread() ? (spec.tasks() + 1) / 2 : Integer.MAX_VALUE;
    }

    /** Places what this block allows; returns the number of starts. */
    int tryBlock(Policy.Block block, List<MachineView> machines, int maxStarts, long now) {
      JobSpec spec = ledJob.spec();
      if (pendingTasks <= 0) {
        return 0;
      }
      List<MachineCandidate> candidates = rankCandidates(block, machines, now);
      if (!spec.isService()) {
        return startOnCandidates(block, candidates, Integer.MAX_VALUE, maxStarts, now);
      }
      int started = 0;
      // one failure takes few replicas if each machine gets a second one only after all have one
      for (int maxPerMachine = 1;
          maxPerMachine <= spec.tasks() && pendingTasks > 0 && started < maxStarts;
          maxPerMachine++) {
        int pendingBefore = pendingTasks;
        started += startOnCandidates(block, candidates, maxPerMachine, maxStarts - started, now);
        if (pendingTasks == pendingBefore && maxPerMachine > maxReplicasPerMachine()) {
          break;
        }
      }
      return started;
    }

    private int maxReplicasPerMachine() {
      int max = 0;
      for (int replicas : replicasByMachine.values()) {
        max = Math.max(max, replicas);
      }
      return max;
    }

    /** The machines that this block takes, best first. */
    private List<MachineCandidate> rankCandidates(
        Policy.Block block, List<MachineView> machines, long now) {
      JobSpec spec = ledJob.spec();
      List<MachineCandidate> candidates = new ArrayList<>();
      for (MachineView machine : machines) {
        if (!machine.allows(spec)) {
          continue;
        }
        if (spec.singleZone() && !machine.status().zone().equals(chosenZone)) {
          continue;
        }
        if (machine.fittingTasks(spec) <= 0) {
          continue;
        }
        Long cooldownUntilMs = ledJob.machineCooldownUntilMs().get(machine.id());
        if (cooldownUntilMs != null && cooldownUntilMs > now) {
          continue;
        }
        Policy.Facts pairFacts = policyFacts.evaluate(machine, ledJob, now);
        if (!block.workers(pairFacts) || block.invalidate(pairFacts)) {
          rejectedCandidates++;
          continue;
        }
        double score =
            switch (block.strategy()) {
              case LOWEST -> block.score(pairFacts);
              case HIGHEST -> -block.score(pairFacts);
              case RANDOM -> 0;
            };
        candidates.add(new MachineCandidate(machine, score + random.nextDouble() * 0.5));
      }
      candidates.sort(Comparator.comparingDouble(MachineCandidate::score));
      return candidates;
    }

    /** Starts tasks on these machines, at most so many of the job on each; returns how many. */
    private int startOnCandidates(
        Policy.Block block,
        List<MachineCandidate> candidates,
        int maxPerMachine,
        int maxStarts,
        long now) {
      JobSpec spec = ledJob.spec();
      int started = 0;
      for (MachineCandidate candidate : candidates) {
        int fitting = Math.min(pendingTasks, candidate.machine.fittingTasks(spec));
        if (spec.isService()) {
          fitting =
              Math.min(
                  fitting,
                  maxPerMachine - replicasByMachine.getOrDefault(candidate.machine.id(), 0));
        }
        fitting =
            Math.min(
                fitting,
                maxTasksPerZone - tasksByZone.getOrDefault(candidate.machine.status().zone(), 0));
        if (fitting <= 0) {
          continue;
        }
        if (!candidate.machine.status().images().contains(spec.image())) {
          // each cold machine adds its slots to those that will serve the image's other tasks
          if (block.invalidate(policyFacts.evaluate(candidate.machine, ledJob, now))) {
            break;
          }
          queuedWork.addWarmMachine(candidate.machine, spec);
        }
        int startable = Math.min(fitting, Math.min(freeQuotaTasks, maxStarts - started));
        for (int i = 0; i < startable; i++) {
          int task = ledJob.pollTask();
          if (task < 0) {
            return started;
          }
          startSender.enqueue(ledJob, task, candidate.machine, List.of());
          started++;
          placedTasks++;
          pendingTasks--;
          freeQuotaTasks--;
        }
        quotaBlockedTasks += fitting - startable;
        pendingTasks -= fitting - startable;
        candidate.machine.reserve(spec, fitting - startable);
        tasksByZone.merge(candidate.machine.status().zone(), fitting, Integer::sum);
        if (spec.isService()) {
          replicasByMachine.merge(candidate.machine.id(), fitting, Integer::sum);
        }
        if (pendingTasks <= 0 || started >= maxStarts) {
          break;
        }
      }
      return started;
    }

    void finish(long now) {
      if (quotaLimited && quotaBlockedTasks > 0) {
        ledJob.setRequestedQuota(Math.max(ledJob.requestedQuota(), quotaBlockedTasks));
      }
      if (placedTasks > 0) {
        ledJob.setQuotaIdleSinceMs(0);
        backoff.reset();
      } else if (quotaBlockedTasks == 0) {
        // exhausted every block: wait, unless a roster tells of new room before
        LOG.debug(
            "job {} finds no room: {} wait, {} on machines, {} machines with room refused",
            ledJob.id(),
            pendingTasks,
            ledJob.activeAttempts().size(),
            rejectedCandidates);
        metrics.increment("backoffs");
        backoff.recordFailure(now, placementTrigger.capacityVersion());
        tryPreemption(now);
      }
    }

    /** Starts tasks in the place of lower work where the job has waited for room in vain. */
    private void tryPreemption(long now) {
      if (!preemption.mayPreempt(ledJob, now)) {
        return;
      }
      if (freeQuotaTasks <= 0) {
        ledJob.setRequestedQuota(
            Math.max(
                ledJob.requestedQuota(),
                Math.min(pendingTasks, Constants.PREEMPTIONS_PER_PASS_MAX)));
        return;
      }
      ledJob.setLastPreemptionMs(now);
      int remainingStarts = Constants.PREEMPTIONS_PER_PASS_MAX;
      for (Preemption.PreemptionCandidate candidate :
          preemption.findCandidates(ledJob, policy, chosenZone, now)) {
        remainingStarts -= startPreempting(candidate, remainingStarts, now);
        if (pendingTasks <= 0 || freeQuotaTasks <= 0 || remainingStarts <= 0) {
          return;
        }
      }
    }

    /** Starts at most so many tasks in the place of others; returns how many. */
    private int startPreempting(Preemption.PreemptionCandidate candidate, int maxStarts, long now) {
      JobSpec spec = ledJob.spec();
      MachineView machine = candidate.machine();
      String zone = machine.status().zone();
      // with no room anywhere the first start names the zone: two zones were once taken
      if (spec.singleZone() && chosenZone != null && !zone.equals(chosenZone)) {
        return 0;
      }
      int remainingInZone = maxTasksPerZone - tasksByZone.getOrDefault(zone, 0);
      if (remainingInZone <= 0) {
        return 0;
      }
      preemption.reserveVictimCapacity(candidate, now);
      int startable =
          Math.min(
              Math.min(pendingTasks, machine.fittingTasks(spec)),
              Math.min(freeQuotaTasks, maxStarts));
      int started = 0;
      while (started < Math.min(startable, remainingInZone)) {
        int task = ledJob.pollTask();
        if (task < 0) {
          return started;
        }
        startSender.enqueue(
            ledJob, task, machine, started == 0 ? candidate.victimRefs() : List.of());
        tasksByZone.merge(zone, 1, Integer::sum);
        chosenZone = zone;
        pendingTasks--;
        freeQuotaTasks--;
        started++;
      }
      return started;
    }
  }

  private void reserveUnconfirmedStarts() {
    for (MachineView machine : view.machines()) {
      machine.clearReservations();
    }
    for (LedJob ledJob : jobLeader.jobs()) {
      for (Map.Entry<String, Integer> entry : ledJob.relocations().replicasByTarget().entrySet()) {
        MachineView target = view.machine(entry.getKey());
        if (target != null) {
          target.reserve(ledJob.spec(), entry.getValue());
        }
      }
      for (ActiveAttempt active : ledJob.activeAttempts().values()) {
        if (active.observedOnMachine() || active.inLatestStatus()) {
          continue;
        }
        MachineView reportedMachine = view.machine(active.machine());
        if (reportedMachine != null) {
          reportedMachine.reserve(ledJob.spec(), 1);
        }
      }
    }
  }

  private String zoneWithMostCapacity(JobSpec spec, List<MachineView> machines) {
    Map<String, Integer> slotsByZone = new HashMap<>();
    for (MachineView machine : machines) {
      if (machine.allows(spec)) {
        slotsByZone.merge(machine.status().zone(), machine.fittingTasks(spec), Integer::sum);
      }
    }
    String best = null;
    for (Map.Entry<String, Integer> entry : slotsByZone.entrySet()) {
      if (best == null || entry.getValue() > slotsByZone.get(best)) {
        best = entry.getKey();
      }
    }
    return best;
  }
}
