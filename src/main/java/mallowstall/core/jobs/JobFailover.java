package mallowstall.core.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mallowstall.Constants;
import mallowstall.core.cluster.JobsNeedingLeader;
import mallowstall.core.cluster.Membership;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.RetryDelay;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kv.JobBitmaps;
import mallowstall.core.kv.RequestPriority;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Claims the leadership of jobs whose leader's session has ended. At first, only the preferred
 * controller claims a job: the live one to which the job's id hashes. After a delay, any controller
 * claims it. Mutable; not thread-safe.
 */
final class JobFailover {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.jobs");

  /** Time in milliseconds during which only the preferred controller may claim a leaderless job. */
  private static final long JOB_FAILOVER_PREFERRED_NODE_MS = 2_000;

  /**
   * Maximum number of jobs claimed in one scan. The limit spreads the jobs of an ended leader over
   * the other controllers.
   */
  private static final int JOB_FAILOVER_BATCH = 4;

  private final EventClock clock;
  private final CoreSettings settings;
  private final StateStore store;
  private final JobBitmaps jobBitmaps;
  private final JobsNeedingLeader jobsNeedingLeader;
  private final Membership membership;

  /** The jobs without a live leader, by job id. */
  private final Map<String, LeaderlessJob> leaderlessJobs = new HashMap<>();

  /** The time at which the unanswered claim of a job was sent, by job id. */
  private final Map<String, Long> claimsInFlight = new HashMap<>();

  private long nextScanMs;

  /**
   * A job without a live leader.
   *
   * @param sinceMs the time at which this controller first found the job without a live leader
   * @param claimRetry the delay before the job may be claimed again after a rejected claim
   */
  private record LeaderlessJob(long sinceMs, RetryDelay claimRetry) {}

  JobFailover(
      EventClock clock,
      CoreSettings settings,
      StateStore store,
      JobBitmaps jobBitmaps,
      JobsNeedingLeader jobsNeedingLeader,
      Membership membership) {
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.jobBitmaps = jobBitmaps;
    this.jobsNeedingLeader = jobsNeedingLeader;
    this.membership = membership;
  }

  /** Claims leaderless jobs if a scan is due, at most {@link #JOB_FAILOVER_BATCH} per scan. */
  void claimLeaderlessJobs() {
    long now = clock.now();
    if (now < nextScanMs || !store.isSessionValid()) {
      return;
    }
    nextScanMs = now + Constants.JOB_FAILOVER_SCAN_INTERVAL_MS;
    List<String> liveNodes = membership.liveNodes();
    int claims = 0;
    for (JobEntry job : new ArrayList<>(jobsNeedingLeader.all())) {
      String id = job.spec().id();
      if (store.isLive(job.leader(), job.incarnation())) {
        leaderlessJobs.remove(id);
        continue;
      }
      LeaderlessJob leaderlessJob =
          leaderlessJobs.computeIfAbsent(id, key -> new LeaderlessJob(now, new RetryDelay()));
      if (!claimable(id, leaderlessJob, liveNodes, now)) {
        continue;
      }
      if (claims == JOB_FAILOVER_BATCH) {
        break;
      }
      claims++;
      claim(job, leaderlessJob, now);
    }
  }

  /**
   * Returns whether this controller may claim the job now: it is the preferred controller or the
   * preferred controller's time is over, no recent claim is unanswered, and no retry delay runs.
   */
  private boolean claimable(
      String id, LeaderlessJob leaderlessJob, List<String> liveNodes, long now) {
    String preferredNode =
        liveNodes.isEmpty()
            ? settings.node()
            : liveNodes.get(Math.floorMod(id.hashCode(), liveNodes.size()));
    if (!preferredNode.equals(settings.node())
        && now - leaderlessJob.sinceMs() < JOB_FAILOVER_PREFERRED_NODE_MS) {
      return false;
    }
    Long claimedAtMs = claimsInFlight.get(id);
    if (claimedAtMs != null && now - claimedAtMs < 2 * Constants.STATE_TIMEOUT_MS) {
      return false;
    }
    return leaderlessJob.claimRetry().isDue(now);
  }

  private void claim(JobEntry job, LeaderlessJob leaderlessJob, long now) {
    String id = job.spec().id();
    claimsInFlight.put(id, now);
    JobEntry claimed = job.withLeader(settings.node(), store.incarnation());
    JobBitmaps.Write claim =
        jobBitmaps.writePreservingBits(claimed, store.modRevision(StateKeys.job(id)));
    boolean accepted =
        store.transact(
            RequestPriority.JOB,
            new Transaction(claim.conditions(), claim.puts(), List.of()),
            reply -> {
              claimsInFlight.remove(id);
              leaderlessJob.claimRetry().recordResult(clock.now(), reply.code());
              if (reply.code() == ResultCode.OK) {
                LOG.info("job failover job={} epoch={} peer={}", id, claimed.epoch(), job.leader());
              }
            });
    if (!accepted) {
      claimsInFlight.remove(id);
    }
  }
}
