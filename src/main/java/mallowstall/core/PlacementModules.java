package mallowstall.core;

import java.util.SplittableRandom;
import mallowstall.core.autoscaling.MachineDemand;
import mallowstall.core.jobs.JobLeader;
import mallowstall.core.placement.JobRanking;
import mallowstall.core.placement.PlacementScheduler;
import mallowstall.core.placement.Policy;
import mallowstall.core.placement.PolicyFacts;
import mallowstall.core.placement.Preemption;
import mallowstall.core.placement.QueuedWork;
import mallowstall.core.placement.ReplicaRelocation;
import mallowstall.core.placement.StartSender;
import mallowstall.core.quota.GuaranteedShares;
import mallowstall.core.quota.QuotaLedger;

/** The modules that decide which queued task starts on which machine. Thread: the event loop's. */
final class PlacementModules {
  final QuotaLedger quotaLedger;
  final PlacementScheduler scheduler;

  private final ClusterModules cluster;
  private final MachineDemand machineDemand;
  private final JobLeader jobLeader;
  private final JobRanking ranking;

  /**
   * Builds the modules; none of them does anything before its first event.
   *
   * @param seed seed of the choices among equal machines
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
            cluster.openJobs,
            cluster.placementTrigger,
            jobLeader,
            ranking::compare);
    scheduler = newScheduler(policies, new SplittableRandom(seed));
  }

  private PlacementScheduler newScheduler(Policy.PolicyRegistry policies, SplittableRandom random) {
    GuaranteedShares guaranteedShares = new GuaranteedShares(cluster.settings, cluster.openJobs);
    QueuedWork queuedWork = newQueuedWork();
    PolicyFacts policyFacts = newPolicyFacts(queuedWork);
    StartSender startSender = newStartSender();
    Preemption preemption =
        new Preemption(
            cluster.clock,
            cluster.store,
            cluster.view,
            machineDemand,
            guaranteedShares,
            policyFacts);
    ReplicaRelocation relocation = newRelocation(policies, policyFacts, startSender);
    return new PlacementScheduler(
        cluster.clock,
        cluster.metrics,
        cluster.store,
        cluster.view,
        cluster.machineTypes,
        cluster.placementTrigger,
        policies,
        jobLeader,
        quotaLedger,
        ranking,
        guaranteedShares,
        queuedWork,
        policyFacts,
        startSender,
        preemption,
        relocation,
        random);
  }

  private QueuedWork newQueuedWork() {
    return new QueuedWork(
        cluster.clock,
        cluster.settings,
        cluster.store,
        cluster.view,
        cluster.machineTypes,
        cluster.openJobs,
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
      Policy.PolicyRegistry policies, PolicyFacts policyFacts, StartSender startSender) {
    return new ReplicaRelocation(
        cluster.view,
        cluster.messenger,
        policies,
        jobLeader,
        quotaLedger,
        policyFacts,
        startSender);
  }
}
