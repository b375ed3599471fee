package mallowstall.core.placement;

import java.util.List;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.jobs.LedJob;
import mallowstall.core.model.JobSpec;
import mallowstall.core.quota.QuotaLedger;

/**
 * Creates the placement of a job in a scheduling pass, with the number of tasks to be placed and
 * the quota that the job may use.
 */
public final class JobPlacementFactory {
  private final Policy.PolicyRegistry policies;
  private final JobRanking ranking;
  private final QuotaLedger quotaLedger;
  private final ReplicaEligibility eligibility;

  /**
   * Creates a factory of placements. The policies are found by job class. The ledger has the quota
   * reservations of led jobs.
   */
  public JobPlacementFactory(
      Policy.PolicyRegistry policies,
      JobRanking ranking,
      QuotaLedger quotaLedger,
      ReplicaEligibility eligibility) {
    this.policies = policies;
    this.ranking = ranking;
    this.quotaLedger = quotaLedger;
    this.eligibility = eligibility;
  }

  /** Creates the placement of a job on these machines, which have free capacity. */
  JobPlacement create(LedJob ledJob, List<MachineView> machines) {
    JobSpec spec = ledJob.spec();
    return new JobPlacement(
        ledJob,
        policies.forJobClass(spec.jobClass()),
        eligibility,
        pendingTasks(ledJob),
        quotaOf(ledJob),
        machines);
  }

  /**
   * Returns the number of tasks to be placed, for a starving batch job at most {@link
   * JobSpec#starvationTasks}.
   */
  private int pendingTasks(LedJob ledJob) {
    JobSpec spec = ledJob.spec();
    return ranking.isStarving(ledJob) && !spec.isService()
        ? Math.min(ledJob.pending(), spec.starvationTasks())
        : ledJob.pending();
  }

  /** Returns whether the job may start no task now or soon because of its team's quota. */
  boolean isQuotaExhausted(LedJob ledJob) {
    return quotaOf(ledJob).isExhausted();
  }

  private JobQuota quotaOf(LedJob ledJob) {
    if (!quotaLedger.hasQuota(ledJob.spec())) {
      return JobQuota.UNLIMITED;
    }
    if (quotaLedger.mustReleaseQuota(ledJob)) {
      // the unused part of the reservation is being released, so the job may start no task
      return new JobQuota(true, 0, 0);
    }
    int unused = ledJob.entry().quotaReservedTasks() - ledJob.activeAttempts().size();
    // Capacity reserved for a job whose reservation can't grow would be kept from other jobs.
    int remaining = ledJob.writes().quotaRefused() ? 0 : quotaLedger.remainingTasks(ledJob.spec());
    // While a change of the reservation is pending or has an unknown outcome, the reserved number
    // of tasks isn't known, so the job must start no task.
    boolean reservationUnknown =
        ledJob.writes().quotaInFlight() || ledJob.writes().outcomeUnknown();
    return reservationUnknown
        ? new JobQuota(true, 0, Math.max(0, unused) + remaining)
        : new JobQuota(true, unused, remaining);
  }
}
