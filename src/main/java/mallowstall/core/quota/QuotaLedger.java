package mallowstall.core.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mallowstall.Constants;
import mallowstall.core.cluster.JobsNeedingLeader;
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
 * Maintains the quota reservations of led jobs. Before a task starts, one transaction raises both
 * the reservation in the job's entry and the usage of the job's team. A reservation is a number of
 * tasks. Mutable; not thread-safe.
 */
public final class QuotaLedger {
  /** Maximum number of jobs whose quota reservations one transaction changes. */
  private static final int QUOTA_RESERVATIONS_PER_TRANSACTION = 10;

  /** Minimum time between two quota transactions of one team, in milliseconds. */
  private static final long QUOTA_TRANSACTION_INTERVAL_MIN_MS = 60;

  /** Time after which an unused quota reservation is released, in milliseconds. */
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

  /** Determines whether and when the usage of one team may be written. Mutable. */
  private static final class TeamWrites {
    private boolean inFlight;
    private long nextWriteMs;

    /** Whether the latest transaction left out a job that must be written alone. */
    private boolean aloneJobLeftOut;

    private final RetryDelay retry = new RetryDelay();
  }

  /**
   * Creates a ledger that reserves nothing before its first tick.
   *
   * @param order the order in which jobs of a team get quota
   */
  public QuotaLedger(
      EventClock clock,
      CoreSettings settings,
      StateStore store,
      JobBitmaps jobBitmaps,
      JobsNeedingLeader jobsNeedingLeader,
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
    quotaRelease = new QuotaRelease(clock, jobsNeedingLeader, teamQuotas);
  }

  /** Adjusts the reservations that need a change, by at most one transaction per team. */
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

  /** Returns whether the job's team has a quota, so that the job's tasks need a reservation. */
  public boolean hasQuota(JobSpec spec) {
    return teamQuotas.hasQuota(spec);
  }

  /**
   * Returns how many more tasks of the job fit into its team's quota, given the reservations of the
   * team's jobs.
   */
  public int remainingTasks(JobSpec spec) {
    return teamQuotas.remainingTasks(spec);
  }

  /**
   * Returns whether the job must release the unused part of its reservation so that other jobs of
   * its team can use the quota.
   */
  public boolean mustReleaseQuota(LedJob ledJob) {
    return quotaRelease.isReleasing(ledJob.id(), ledJob.spec().team());
  }

  private boolean canChangeReservation(LedJob ledJob, long now) {
    return teamQuotas.hasQuota(ledJob.spec())
        && ledJob.writes().mayWriteQuota(now)
        // the write that migrates the job's entry to the present layout must come first
        && !jobBitmaps.needsLayoutMigration(ledJob.entry());
  }

  /**
   * Changes the reservations of a team's jobs. A job that must be written alone and was left out of
   * one transaction comes before all others in the next, so that it isn't left out time after time.
   */
  private void changeReservations(String team, TeamWrites writes, List<LedJob> jobs, long now) {
    jobs.sort(order);
    QuotaTransaction change = newTransaction(team);
    if (writes.aloneJobLeftOut) {
      writes.aloneJobLeftOut = false;
      addChanges(change, jobs.stream().filter(this::mustWriteAlone).toList(), now);
    }
    if (change.jobs().isEmpty()) {
      writes.aloneJobLeftOut = addChanges(change, jobs, now);
    }
    if (!change.jobs().isEmpty()) {
      send(team, writes, change, now);
    }
  }

  private QuotaTransaction newTransaction(String team) {
    int maxJobs = Math.min(settings.maxTransactionOps() - 1, QUOTA_RESERVATIONS_PER_TRANSACTION);
    return new QuotaTransaction(
        StateKeys.team(team), teamQuotas.usage(team), maxJobs, jobBitmaps::entryBytes);
  }

  /**
   * Adds changes until the transaction is full. Reservations that shrink come first, so that they
   * make room for those that grow. Returns whether a job that must be written alone was left out.
   */
  private boolean addChanges(QuotaTransaction change, List<LedJob> jobs, long now) {
    boolean aloneJobLeftOut = false;
    for (LedJob ledJob : jobs) {
      int tasks = reservationDelta(ledJob, now);
      if (tasks < 0) {
        aloneJobLeftOut |= addChange(change, ledJob, tasks);
      }
    }
    for (LedJob ledJob : jobs) {
      int tasks = reservationDelta(ledJob, now);
      if (tasks >= 0) {
        aloneJobLeftOut |= addChange(change, ledJob, withinQuota(change, ledJob, tasks));
      }
    }
    return aloneJobLeftOut;
  }

  /** Adds one change; returns whether it was left out because it must be written alone. */
  private boolean addChange(QuotaTransaction change, LedJob ledJob, int tasks) {
    if (tasks == 0 || change.isFull()) {
      return false;
    }
    boolean alone = mustWriteAlone(ledJob);
    boolean leftOut = alone && !change.jobs().isEmpty();
    change.add(ledJob, tasks, alone);
    return leftOut;
  }

  private boolean mustWriteAlone(LedJob ledJob) {
    return ledJob.writes().quotaRefused() || !jobBitmaps.fitsAsStored(ledJob.entry());
  }

  /** Returns how many of the requested tasks the team's quota allows to reserve. */
  private int withinQuota(QuotaTransaction change, LedJob ledJob, int requested) {
    if (requested <= 0) {
      return requested;
    }
    JobSpec spec = ledJob.spec();
    int tasks = requested;
    if (!spec.isService()) {
      // tasks that placement did not request are reserved only while the team is far below its
      // quota: near the quota, the reservation would be granted and released in turn without use
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
            change.build(store.modRevision(key)),
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
    boolean alone = change.jobs().size() == 1;
    for (LedJob ledJob : change.jobs()) {
      ledJob.endQuotaWrite(clock.now(), reply.code(), alone);
      if (reply.code() == ResultCode.CONFLICT && reply.revision() > store.revision()) {
        jobLeader.refreshEntry(ledJob);
      }
    }
    // the entry of a job causes INVALID, so only the next write of that job is delayed
    if (reply.code() != ResultCode.INVALID) {
      delayNextWrite(teamKey, writes, reply.code());
    }
    placementTrigger.request();
  }

  private void delayNextWrite(String teamKey, TeamWrites writes, ResultCode code) {
    writes.retry.recordResult(clock.now(), code);
    if (code == ResultCode.CONFLICT) {
      refreshUsage(teamKey, writes);
    } else if (code != ResultCode.OK) {
      writes.nextWriteMs =
          Math.max(clock.now() + Constants.STATE_RETRY_MS, writes.retry.retryAtMs());
    }
  }

  /** Reads the team's usage after a conflict; the usage is not written before the response. */
  private void refreshUsage(String teamKey, TeamWrites writes) {
    writes.inFlight = true;
    boolean accepted = store.read(RequestPriority.JOB, teamKey, read -> writes.inFlight = false);
    if (!accepted) {
      writes.inFlight = false;
    }
  }

  /**
   * Returns by how many tasks the job's reservation should change. The reservation never falls
   * below the number of attempts that may be on machines. While the team is far below its quota, a
   * job reserves for all its tasks at once and keeps the reservation, because frequent small
   * changes would load the state service and delay starts.
   */
  private int reservationDelta(LedJob ledJob, long now) {
    if (!ledJob.recovered()) {
      return 0;
    }
    int reserved = ledJob.entry().quotaReservedTasks();
    int unused = reserved - ledJob.activeAttempts().size();
    // replicas are restarted, so a service keeps its reservation until it is cancelled
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
