package mallowstall.core.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mallowstall.Constants;
import mallowstall.core.cluster.Membership;
import mallowstall.core.cluster.OpenJobs;
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
 * Claims the leadership of jobs whose leader's session has ended. Each job is claimed first by the
 * live controller that its id hashes to, and after a while by any. Mutable; not thread-safe.
 */
final class JobFailover {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.jobs");

  /** ms. A job without a leader is left to the controller whose turn it is for so long. */
  private static final long JOB_FAILOVER_TURN_MS = 2_000;

  /**
   * Count. Most jobs taken in one scan: spreads an ended leader's jobs over the other controllers.
   */
  private static final int JOB_FAILOVER_BATCH = 4;

  private final EventClock clock;
  private final CoreSettings settings;
  private final StateStore store;
  private final JobBitmaps jobBitmaps;
  private final OpenJobs openJobs;
  private final Membership membership;

  /** Leaderless jobs by id. */
  private final Map<String, Vacancy> vacancies = new HashMap<>();

  /** When the unanswered claim of a job was sent, by job id. */
  private final Map<String, Long> claimsInFlight = new HashMap<>();

  private long nextScanMs;

  /** Since when a job has been seen without a live leader, and when it may be claimed again. */
  private record Vacancy(long sinceMs, RetryDelay claimRetry) {}

  JobFailover(
      EventClock clock,
      CoreSettings settings,
      StateStore store,
      JobBitmaps jobBitmaps,
      OpenJobs openJobs,
      Membership membership) {
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.jobBitmaps = jobBitmaps;
    this.openJobs = openJobs;
    this.membership = membership;
  }

  /** Claims leaderless jobs if a scan is due, a limited number with each scan. */
  void claimLeaderlessJobs() {
    long now = clock.now();
    if (now < nextScanMs || !store.isSessionValid()) {
      return;
    }
    nextScanMs = now + Constants.JOB_FAILOVER_SCAN_INTERVAL_MS;
    List<String> liveNodes = membership.liveNodes();
    int claims = 0;
    for (JobEntry job : new ArrayList<>(openJobs.all())) {
      String id = job.spec().id();
      if (store.isLive(job.leader(), job.incarnation())) {
        vacancies.remove(id);
        continue;
      }
      Vacancy vacancy = vacancies.computeIfAbsent(id, key -> new Vacancy(now, new RetryDelay()));
      if (!claimable(id, vacancy, liveNodes, now)) {
        continue;
      }
      if (claims == JOB_FAILOVER_BATCH) {
        break;
      }
      claims++;
      claim(job, vacancy, now);
    }
  }

  /** Whether it is this controller's turn to claim the job. */
  private boolean claimable(String id, Vacancy vacancy, List<String> liveNodes, long now) {
    String preferredNode =
        liveNodes.isEmpty()
            ? settings.node()
            : liveNodes.get(Math.floorMod(id.hashCode(), liveNodes.size()));
    if (!preferredNode.equals(settings.node()) && now - vacancy.sinceMs() < JOB_FAILOVER_TURN_MS) {
      return false;
    }
    Long claimedAtMs = claimsInFlight.get(id);
    if (claimedAtMs != null && now - claimedAtMs < 2 * Constants.STATE_TIMEOUT_MS) {
      return false;
    }
    return vacancy.claimRetry().isDue(now);
  }

  private void claim(JobEntry job, Vacancy vacancy, long now) {
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
              vacancy.claimRetry().recordResult(clock.now(), reply.code());
              if (reply.code() == ResultCode.OK) {
                LOG.info("job failover job={} epoch={} peer={}", id, claimed.epoch(), job.leader());
              }
            });
    if (!accepted) {
      claimsInFlight.remove(id);
    }
  }
}
