package mallowstall.core;

import java.util.SplittableRandom;
import mallowstall.core.autoscaling.MachineDemand;
import mallowstall.core.jobs.JobLeader;
import mallowstall.core.placement.BlockPlacer;
import mallowstall.core.placement.CapacityRefresher;
import mallowstall.core.placement.GroupPlacer;
import mallowstall.core.placement.JobPlacementFactory;
import mallowstall.core.placement.JobRanking;
import mallowstall.core.placement.MachineScoring;
import mallowstall.core.placement.PendingJobs;
import mallowstall.core.placement.PlacementBackoffs;
import mallowstall.core.placement.PlacementScheduler;
import mallowstall.core.placement.Policy;
import mallowstall.core.placement.PolicyFacts;
import mallowstall.core.placement.PreemptingPlacer;
import mallowstall.core.placement.Preemption;
import mallowstall.core.placement.QueuedWork;
import mallowstall.core.placement.ReplicaEligibility;
import mallowstall.core.placement.ReplicaRelocation;
import mallowstall.core.placement.StartSender;
import mallowstall.core.placement.StarvationReservations;
import mallowstall.core.quota.GuaranteedShares;
import mallowstall.core.quota.QuotaLedger;

/**
 * The modules that decide which queued task starts on which machine. Used on the event loop only.
 */
final class PlacementModules {
  final QuotaLedger quotaLedger;
  final PlacementScheduler scheduler;

  private final ClusterModules cluster;
  private final MachineDemand machineDemand;
  private final JobLeader jobLeader;
  private final JobRanking ranking;

  /**
   * Builds the modules. No module acts before its first event.
   *
   * @param seed seed of the random choices among equal machines
   */
  PlacementModules(
      ClusterModules cluster,
      MachineDemand machineDemand,
      JobLeader jobLeader,
      Policy.PolicyRegistry policies,
      long seed) {
    this.cluster = cluster;
    this.machineDemand = machineDemand;
    this.jobLeader = jobLeader;
    ranking =
        new JobRanking(
            cluster.clock, cluster.settings, cluster.view, cluster.machineTypes, machineDemand);
    quotaLedger =
        new QuotaLedger(
            cluster.clock,
            cluster.settings,
            cluster.store,
            cluster.jobBitmaps,
            cluster.jobsNeedingLeader,
            cluster.placementTrigger,
            jobLeader,
            ranking::compare);
    scheduler = newScheduler(policies, new SplittableRandom(seed));
  }

  private PlacementScheduler newScheduler(Policy.PolicyRegistry policies, SplittableRandom random) {
    GuaranteedShares guaranteedShares =
        new GuaranteedShares(cluster.settings, cluster.jobsNeedingLeader);
    QueuedWork queuedWork = newQueuedWork();
    PolicyFacts policyFacts = newPolicyFacts(queuedWork);
    StartSender startSender = newStartSender();
    Preemption preemption =
        new Preemption(
            cluster.store, cluster.view, machineDemand, ranking, guaranteedShares, policyFacts);
    ReplicaEligibility eligibility = new ReplicaEligibility(cluster.view.keptResults());
    ReplicaRelocation relocation = newRelocation(policies, policyFacts, startSender, eligibility);
    PlacementBackoffs backoffs =
        new PlacementBackoffs(cluster.metrics, cluster.placementTrigger, policies);
    GroupPlacer groupPlacer =
        new GroupPlacer(
            ranking,
            queuedWork,
            backoffs,
            new JobPlacementFactory(policies, ranking, quotaLedger, eligibility),
            new BlockPlacer(new MachineScoring(policyFacts, random), queuedWork, startSender),
            new PreemptingPlacer(preemption, startSender));
    return new PlacementScheduler(
        cluster.clock,
        cluster.store,
        cluster.machineTypes,
        jobLeader,
        new CapacityRefresher(cluster.view, jobLeader, ranking, guaranteedShares, queuedWork),
        new PendingJobs(jobLeader, ranking, backoffs),
        backoffs,
        relocation,
        groupPlacer,
        new StarvationReservations(cluster.clock, queuedWork, quotaLedger),
        startSender);
  }

  private QueuedWork newQueuedWork() {
    return new QueuedWork(
        cluster.clock,
        cluster.settings,
        cluster.store,
        cluster.view,
        cluster.machineTypes,
        cluster.jobsNeedingLeader,
        machineDemand,
        ranking);
  }

  private PolicyFacts newPolicyFacts(QueuedWork queuedWork) {
    return new PolicyFacts(
        cluster.clock,
        cluster.settings,
        cluster.view,
        cluster.machineTypes,
        machineDemand,
        queuedWork);
  }

  private StartSender newStartSender() {
    return new StartSender(
        cluster.clock,
        cluster.settings,
        cluster.metrics,
        cluster.store,
        cluster.view,
        cluster.messenger,
        jobLeader);
  }

  private ReplicaRelocation newRelocation(
      Policy.PolicyRegistry policies,
      PolicyFacts policyFacts,
      StartSender startSender,
      ReplicaEligibility eligibility) {
    return new ReplicaRelocation(
        cluster.view,
        cluster.messenger,
        policies,
        jobLeader,
        quotaLedger,
        policyFacts,
        startSender,
        eligibility);
  }
}
