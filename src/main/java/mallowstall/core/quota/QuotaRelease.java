package mallowstall.core.quota;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import mallowstall.Constants;
import mallowstall.core.cluster.JobsNeedingLeader;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.model.JobEntry;

/**
 * Selects, for each team at its quota with a job starved of quota, the batch job with the largest
 * reservation as the job that must release quota. Otherwise a large job with pending tasks would
 * reuse its reservation without end, and no other job of the team would get quota. Mutable; not
 * thread-safe.
 */
final class QuotaRelease {
  /** Weight of one GPU, in processors, in the comparison of two jobs' reservations. */
  private static final double GPU_WEIGHT = 1e-3;

  private final EventClock clock;
  private final JobsNeedingLeader jobsNeedingLeader;
  private final TeamQuotas teamQuotas;

  /** Id of the job that must release quota, by team. */
  private final Map<String, String> releasingJobs = new HashMap<>();

  private long nextSelectionMs;

  QuotaRelease(EventClock clock, JobsNeedingLeader jobsNeedingLeader, TeamQuotas teamQuotas) {
    this.clock = clock;
    this.jobsNeedingLeader = jobsNeedingLeader;
    this.teamQuotas = teamQuotas;
  }

  /** Returns whether the job must release the unused part of its reservation. */
  boolean isReleasing(String job, String team) {
    return job.equals(releasingJobs.get(team));
  }

  /** Selects the jobs that must release quota, if the next selection is due. */
  void selectIfDue(long now) {
    if (now < nextSelectionMs) {
      return;
    }
    nextSelectionMs = now + Constants.JOB_FAILOVER_SCAN_INTERVAL_MS;
    releasingJobs.clear();
    Map<String, JobEntry> largestByTeam = new HashMap<>();
    Set<String> starvedTeams = new HashSet<>();
    for (JobEntry job : jobsNeedingLeader.all()) {
      if (job.isTerminal() || !teamQuotas.hasQuota(job.spec())) {
        continue;
      }
      if (lacksQuota(job)) {
        if (isStarved(job)) {
          starvedTeams.add(job.spec().team());
        }
      } else if (!job.spec().isService()) {
        largestByTeam.merge(
            job.spec().team(), job, (a, b) -> reservedWeight(a) >= reservedWeight(b) ? a : b);
      }
    }
    for (String team : starvedTeams) {
      if (largestByTeam.containsKey(team)) {
        releasingJobs.put(team, largestByTeam.get(team).spec().id());
      }
    }
  }

  private static boolean lacksQuota(JobEntry job) {
    return job.spec().isService()
        ? job.quotaReservedTasks() < job.spec().tasks()
        : job.quotaReservedTasks() == 0;
  }

  /** Returns whether the job, which lacks quota, has waited too long for quota. */
  private boolean isStarved(JobEntry job) {
    long starvationMs =
        job.spec().isService() ? Constants.PREEMPTION_DELAY_MS : Constants.STARVATION_MS;
    return teamQuotas.isExhausted(job.spec())
        && clock.wallClockMs() - job.submittedMs() > starvationMs;
  }

  private static double reservedWeight(JobEntry job) {
    return job.quotaReservedTasks() * (job.spec().cpus() + GPU_WEIGHT * job.spec().gpus());
  }
}
