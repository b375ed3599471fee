package mallowstall.core.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mallowstall.Constants;
import mallowstall.core.cluster.OpenJobs;
import mallowstall.core.jobs.JobLeader;
import mallowstall.core.jobs.LedJob;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.PlacementTrigger;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.RetryDelay;
import mallowstall.core.kernel.TransactionResult;
import mallowstall.core.kv.JobBitmaps;
import mallowstall.core.kv.RequestPriority;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobSpec;

/**
 * Keeps the quota reservations of led jobs: before a task starts, one transaction raises the
 * reservation in its job's entry and its team's usage. Reservations are in tasks. Mutable; not
 * thread-safe.
 */
public final class QuotaLedger {
  /** Count. Most jobs whose quota reservations one transaction changes. */
  private static final int QUOTA_RESERVATIONS_PER_TRANSACTION = 10;

  /** ms. Least time between two quota transactions of one team. */
  private static final long QUOTA_TRANSACTION_INTERVAL_MIN_MS = 60;

  /** ms. A quota reservation that no task uses is released after this time. */
  private static final long QUOTA_RESERVATION_IDLE_MS = 1_500;

  private final EventClock clock;
  private final CoreSettings settings;
  private final StateStore store;
  private final JobBitmaps jobBitmaps;
  private final PlacementTrigger placementTrigger;
  private final JobLeader jobLeader;
  private final Comparator<LedJob> order;
  private final TeamQuotas teamQuotas;
  private final QuotaRelease quotaRelease;
  private final Map<String, TeamWrites> writesByTeam = new HashMap<>();

  /** Whether and when the usage of one team may be written. Mutable. */
  private static final class TeamWrites {
    private boolean inFlight;
    private long nextWriteMs;
    private final RetryDelay retry = new RetryDelay();
  }

  /**
   * Reserves nothing before its first tick.
   *
   * @param order the order in which jobs of a team get quota
   */
  public QuotaLedger(
      EventClock clock,
      CoreSettings settings,
      StateStore store,
      JobBitmaps jobBitmaps,
      OpenJobs openJobs,
      PlacementTrigger placementTrigger,
      JobLeader jobLeader,
      Comparator<LedJob> order) {
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.jobBitmaps = jobBitmaps;
    this.placementTrigger = placementTrigger;
    this.jobLeader = jobLeader;
    this.order = order;
    teamQuotas = new TeamQuotas(settings, store);
    quotaRelease = new QuotaRelease(clock, openJobs, teamQuotas);
  }

  /** Changes reservations where they should be others, by one transaction per team. */
  public void tick() {
    if (!store.synced()) {
      return;
    }
    long now = clock.now();
    quotaRelease.selectIfDue(now);
    Map<String, List<LedJob>> jobsByTeam = new LinkedHashMap<>();
    for (LedJob ledJob : jobLeader.jobs()) {
      if (canChangeReservation(ledJob, now) && reservationDelta(ledJob, now) != 0) {
        jobsByTeam.computeIfAbsent(ledJob.spec().team(), k -> new ArrayList<>()).add(ledJob);
      }
    }
    for (Map.Entry<String, List<LedJob>> entry : jobsByTeam.entrySet()) {
      TeamWrites writes = writesByTeam.computeIfAbsent(entry.getKey(), k -> new TeamWrites());
      if (!writes.inFlight && now >= writes.nextWriteMs) {
        changeReservations(entry.getKey(), writes, entry.getValue(), now);
      }
    }
  }

  /** Whether the job's team has a quota, so that its tasks need a reservation. */
  public boolean hasQuota(JobSpec spec) {
    return teamQuotas.hasQuota(spec);
  }

  /** How many more tasks of the job its team's quota has room for, by what its jobs reserve. */
  public int remainingTasks(JobSpec spec) {
    return teamQuotas.remainingTasks(spec);
  }

  /** Whether the job must release what becomes free of its reservation, for others of its team. */
  public boolean mustReleaseQuota(LedJob ledJob) {
    return quotaRelease.isReleasing(ledJob.id(), ledJob.spec().team());
  }

  private boolean canChangeReservation(LedJob ledJob, long now) {
    return teamQuotas.hasQuota(ledJob.spec())
        && ledJob.writes().mayWriteQuota(now)
        // its own next write brings the entry into its present layout first
        && !jobBitmaps.needsLayoutMigration(ledJob.entry());
  }

  /** Changes the reservations of a team's jobs; those that shrink make room for the others. */
  private void changeReservations(String team, TeamWrites writes, List<LedJob> jobs, long now) {
    jobs.sort(order);
    int maxJobs = Math.min(settings.maxTransactionOps() - 1, QUOTA_RESERVATIONS_PER_TRANSACTION);
    QuotaTransaction change = new QuotaTransaction(teamQuotas.usage(team), maxJobs);
    for (LedJob ledJob : jobs) {
      int tasks = reservationDelta(ledJob, now);
      if (tasks < 0) {
        change.add(ledJob, tasks, mustWriteAlone(ledJob));
      }
    }
    for (LedJob ledJob : jobs) {
      int tasks = reservationDelta(ledJob, now);
      if (tasks >= 0) {
        change.add(ledJob, withinQuota(change, ledJob, tasks), mustWriteAlone(ledJob));
      }
    }
    if (!change.jobs().isEmpty()) {
      send(team, writes, change, now);
    }
  }

  private boolean mustWriteAlone(LedJob ledJob) {
    return !jobBitmaps.fitsAsStored(ledJob.entry());
  }

  /** As many of the tasks as the team's quota leaves to the job. */
  private int withinQuota(QuotaTransaction change, LedJob ledJob, int requested) {
    if (requested <= 0) {
      return requested;
    }
    JobSpec spec = ledJob.spec();
    int tasks = requested;
    if (!spec.isService()) {
      // what placement didn't request must leave the team far from its quota: near it, such a
      // reservation would be given and taken back by turns and serve no job
      int unrequested =
          Math.min(tasks, remainingTasks(change, spec, Constants.QUOTA_UNCONTENDED_FRACTION));
      tasks = Math.max(unrequested, Math.min(tasks, ledJob.requestedQuota()));
    }
    return tasks > 0 ? Math.min(tasks, remainingTasks(change, spec, 1)) : tasks;
  }

  private int remainingTasks(QuotaTransaction change, JobSpec spec, double fraction) {
    return teamQuotas.remainingTasks(spec, change.reservedCpus(), change.reservedGpus(), fraction);
  }

  private void send(String team, TeamWrites writes, QuotaTransaction change, long now) {
    String key = StateKeys.team(team);
    for (LedJob ledJob : change.jobs()) {
      ledJob.writes().beginQuotaWrite();
    }
    writes.inFlight = true;
    writes.nextWriteMs = now + QUOTA_TRANSACTION_INTERVAL_MIN_MS;
    boolean accepted =
        store.transact(
            RequestPriority.JOB,
            change.build(key, store.modRevision(key)),
            reply -> handleResult(key, writes, change, reply));
    if (!accepted) {
      writes.inFlight = false;
      for (LedJob ledJob : change.jobs()) {
        ledJob.writes().withdrawQuotaWrite();
      }
    }
  }

  private void handleResult(
      String teamKey, TeamWrites writes, QuotaTransaction change, TransactionResult reply) {
    writes.inFlight = false;
    // an invalid write is the fault of a job's entry and delays that job alone
    if (reply.code() != ResultCode.INVALID) {
      writes.retry.recordResult(clock.now(), reply.code());
    }
    for (LedJob ledJob : change.jobs()) {
      ledJob.endQuotaWrite(clock.now(), reply.code());
      if (reply.code() == ResultCode.CONFLICT && reply.revision() > store.revision()) {
        jobLeader.refreshEntry(ledJob);
      }
    }
    if (reply.code() == ResultCode.CONFLICT) {
      refreshUsage(teamKey, writes);
    } else if (reply.code() != ResultCode.OK) {
      writes.nextWriteMs =
          Math.max(clock.now() + Constants.STATE_RETRY_MS, writes.retry.retryAtMs());
    }
    placementTrigger.request();
  }

  /** Reads the team's usage after a conflict; it isn't written before the answer. */
  private void refreshUsage(String teamKey, TeamWrites writes) {
    writes.inFlight = true;
    boolean accepted = store.read(RequestPriority.JOB, teamKey, read -> writes.inFlight = false);
    if (!accepted) {
      writes.inFlight = false;
    }
  }

  /**
   * By how many tasks the job's reservation should change; never below what may be on machines.
   * While its team is far from its quota a job reserves at once for all its tasks and keeps that:
   * small changes would load the state service and delay starts.
   */
  private int reservationDelta(LedJob ledJob, long now) {
    if (!ledJob.recovered()) {
      return 0;
    }
    int reserved = ledJob.entry().quotaReservedTasks();
    int unused = reserved - ledJob.activeAttempts().size();
    // replicas start again and again: their reservation stays until the job is cancelled
    if (ledJob.spec().isService() && !ledJob.finished()) {
      return Math.max(0, ledJob.spec().tasks() - reserved);
    }
    if (ledJob.finished() || mustReleaseQuota(ledJob)) {
      return -Math.max(0, unused);
    }
    int pending = ledJob.pending();
    boolean headroom = teamQuotas.hasHeadroom(ledJob.spec().team());
    if (unused - pending > (headroom ? reserved / 2 : 0)) {
      return -(unused - pending);
    }
    int requested = headroom ? pending : ledJob.requestedQuota();
    if (requested > 0) {
      return Math.min(requested, Math.max(0, pending - unused));
    }
    boolean idle =
        !headroom && unused > 0 && ledJob.quotaIdleLongerThan(QUOTA_RESERVATION_IDLE_MS, now);
    return idle ? -unused : 0;
  }
}
