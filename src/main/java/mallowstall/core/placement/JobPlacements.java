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
    return new JobPlacement(
        ledJob,
        policies.forJobClass(spec.jobClass()),
        eligibility,
        pendingTasks(ledJob),
        quotaOf(ledJob),
        machines);
  }

  private int pendingTasks(LedJob ledJob) {
    JobSpec spec = ledJob.spec();
    return ranking.isStarving(ledJob) && !spec.isService()
        ? Math.min(ledJob.pending(), spec.starvationTasks())
        : ledJob.pending();
  }

  /** Whether the quota of the job's team allows none of its pending tasks now or soon. */
  boolean isQuotaExhausted(LedJob ledJob) {
    return quotaOf(ledJob).isExhausted();
  }

  private JobQuota quotaOf(LedJob ledJob) {
    if (!quotaLedger.hasQuota(ledJob.spec())) {
      return JobQuota.UNLIMITED;
    }
    if (quotaLedger.mustReleaseQuota(ledJob)) {
      return new JobQuota(true, 0, 0);
    }
    int unused = ledJob.entry().quotaReservedTasks() - ledJob.activeAttempts().size();
    int remaining = quotaLedger.remainingTasks(ledJob.spec());
    // none while a change of the reservation is under way or in doubt: its result isn't known
    boolean inDoubt = ledJob.quotaWriteInFlight() || ledJob.writeOutcomeUnknown();
    return inDoubt
        ? new JobQuota(true, 0, Math.max(0, unused) + remaining)
        : new JobQuota(true, unused, remaining);
  }
}
