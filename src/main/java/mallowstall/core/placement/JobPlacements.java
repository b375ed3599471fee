package mallowstall.core.placement;

import java.util.List;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.jobs.LedJob;
import mallowstall.core.model.JobSpec;
import mallowstall.core.quota.QuotaLedger;

/** Begins the placement of a job: how many tasks are to be placed, and what its quota covers. */
public final class JobPlacements {
  private final Policy.PolicyRegistry policies;
  private final JobRanking ranking;
  private final QuotaLedger quotaLedger;
  private final ReplicaEligibility eligibility;

  /** Uses the policy of each job's class, and the quota reservations of this controller's jobs. */
  public JobPlacements(
      Policy.PolicyRegistry policies,
      JobRanking ranking,
      QuotaLedger quotaLedger,
      ReplicaEligibility eligibility) {
    this.policies = policies;
    this.ranking = ranking;
    this.quotaLedger = quotaLedger;
    this.eligibility = eligibility;
  }

  /** The placement of a job on machines with free capacity. */
  JobPlacement begin(LedJob ledJob, List<MachineView> machines) {
    JobSpec spec = ledJob.spec();
    boolean quotaLimited = quotaLedger.hasQuota(spec);
    return new JobPlacement(
        ledJob,
        policies.forJobClass(spec.jobClass()),
        eligibility,
        pendingTasks(ledJob),
        quotaLimited ? freeQuotaTasks(ledJob) : Integer.MAX_VALUE,
        quotaLimited,
        machines);
  }

  private int pendingTasks(LedJob ledJob) {
    JobSpec spec = ledJob.spec();
    return ranking.isStarving(ledJob) && !spec.isService()
        ? Math.min(ledJob.pending(), spec.starvationTasks())
        : ledJob.pending();
  }

  /** None while a change of the reservation is under way or in doubt: its result isn't known. */
  private int freeQuotaTasks(LedJob ledJob) {
    if (ledJob.quotaWriteInFlight()
        || ledJob.writeOutcomeUnknown()
        || quotaLedger.mustReleaseQuota(ledJob)) {
      return 0;
    }
    return ledJob.entry().quotaReservedTasks() - ledJob.activeAttempts().size();
  }
}
