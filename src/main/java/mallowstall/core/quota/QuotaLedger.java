package mallowstall.core.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mallowstall.Constants;
import mallowstall.core.cluster.OpenJobs;
import mallowstall.core.jobs.JobLeader;
import mallowstall.core.jobs.LedJob;
import mallowstall.core.kernel.Condition;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.PlacementTrigger;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.RetryDelay;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kernel.TransactionResult;
import mallowstall.core.kv.JobBitmaps;
import mallowstall.core.kv.RequestPriority;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.kv.StoredValue;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.Team;
import mallowstall.core.model.TeamUsageEntry;

/**
 * The running tasks that jobs held here may have within their teams' limits: before a task starts,
 * one transaction raises its job's grant and the team's sum. Mutable.
 */
public final class QuotaLedger {
  private final EventClock clock;
  private final CoreSettings settings;
  private final JobBitmaps jobBitmaps;
  private final OpenJobs openJobs;
  private final PlacementTrigger placementTrigger;
  private final Comparator<LedJob> order;
  private final StateStore store;
  private final JobLeader jobLeader;

  private long nextYielding;

  /** Teams whose change is unanswered. */
  private final Set<String> teamsInFlight = new HashSet<>();

  /** When the next change of a team may be tried. */
  private final Map<String, Long> nextChangeMs = new HashMap<>();

  private final Map<String, RetryDelay> teamRetries = new HashMap<>();

  /** Per team, the job that must give up grants. */
  private final Map<String, String> releasingJobs = new HashMap<>();

  /** What one change does: the jobs, their new entries and the team's new sum. Mutable. */
  private static final class Change {
    final List<LedJob> jobs = new ArrayList<>();
    final List<Condition> conditions = new ArrayList<>();
    final List<PutOperation> puts = new ArrayList<>();
    double cpus;
    double gpus;

    /** How many jobs it may name. */
    int maxJobs;

    Change(TeamUsageEntry usage, int maxJobs) {
      cpus = usage.reservedCpus();
      gpus = usage.reservedGpus();
      this.maxJobs = maxJobs;
    }

    void add(LedJob ledJob, int tasks) {
      cpus += tasks * ledJob.spec().cpus();
      gpus += tasks * ledJob.spec().gpus();
      String key = StateKeys.job(ledJob.id());
      conditions.add(new Condition(key, ledJob.modRevision()));
      puts.add(
          new PutOperation(
              key,
              ledJob.entry().withQuotaReservation(ledJob.entry().quotaReservedTasks() + tasks),
              0));
      jobs.add(ledJob);
    }
  }

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
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
    this.jobBitmaps = jobBitmaps;
    this.openJobs = openJobs;
    this.placementTrigger = placementTrigger;
    this.order = order;
    this.store = store;
    this.jobLeader = jobLeader;
  }

  /** Changes grants where they should be others; one transaction per team. */
  public void tick() {
    if (!store.synced()) {
      return;
    }
    long now = clock.now();
    if (now >= nextYielding) {
      nextYielding = now + Constants.JOB_FAILOVER_SCAN_INTERVAL_MS;
      selectReleasingJobs();
    }
    changeGrants(now);
  }

  private void changeGrants(long now) {
    Map<String, List<LedJob>> byTeam = new LinkedHashMap<>();
    for (LedJob ledJob : jobLeader.jobs()) {
      if (canChangeQuota(ledJob, now) && quotaDelta(ledJob, now) != 0) {
        byTeam.computeIfAbsent(ledJob.spec().team(), k -> new ArrayList<>()).add(ledJob);
      }
    }
    byTeam.forEach(
        (team, jobs) -> {
          if (!teamsInFlight.contains(team) && now >= nextChangeMs.getOrDefault(team, 0L)) {
            changeTeamQuota(team, jobs, now);
          }
        });
  }

  private boolean canChangeQuota(LedJob ledJob, long now) {
    return hasQuota(ledJob.spec())
        && !ledJob.writeInFlight()
        && !ledJob.quotaWriteInFlight()
        && !ledJob.writeOutcomeUnknown()
        && ledJob.quotaRetry().isDue(now)
        // its own next write brings the entry into its present layout first
        && !jobBitmaps.needsLayoutMigration(ledJob.entry());
  }

  /** Lowers grants before it raises others. */
  private void changeTeamQuota(String team, List<LedJob> jobs, long now) {
    jobs.sort(order);
    int maxJobs =
        Math.min(settings.maxTransactionOps() - 1, Constants.QUOTA_RESERVATIONS_PER_TRANSACTION);
    Change change = new Change(teamUsage(team), maxJobs);
    for (LedJob ledJob : jobs) {
      int tasks = quotaDelta(ledJob, now);
      if (tasks < 0) {
        add(change, ledJob, tasks);
      }
    }
    for (LedJob ledJob : jobs) {
      int tasks = quotaDelta(ledJob, now);
      if (tasks >= 0) {
        add(change, ledJob, tasksWithinQuota(change, ledJob, tasks));
      }
    }
    if (!change.jobs.isEmpty()) {
      send(team, change, now);
    }
  }

  private void add(Change change, LedJob ledJob, int tasks) {
    // one that may be refused for its size is tried alone, so that it delays no other job
    boolean writeAlone = !jobBitmaps.fitsAsStored(ledJob.entry());
    if (tasks == 0
        || change.jobs.size() >= change.maxJobs
        || writeAlone && !change.jobs.isEmpty()) {
      return;
    }
    change.add(ledJob, tasks);
    if (writeAlone) {
      change.maxJobs = 1;
    }
  }

  /** As many more tasks as the team's limit leaves to the job. */
  private int tasksWithinQuota(Change change, LedJob ledJob, int requested) {
    Team team = settings.teams().get(ledJob.spec().team());
    int tasks = requested;
    if (tasks > 0 && !ledJob.spec().isService()) {
      // what isn't asked for by placement must leave the team far from its limit: else it was
      // given and taken back by turns, with every change, and served nobody
      int unrequested =
          Math.min(
              tasks,
              remainingTasks(
                  team,
                  ledJob.spec(),
                  change.cpus,
                  change.gpus,
                  Constants.QUOTA_UNCONTENDED_FRACTION));
      tasks = Math.max(unrequested, Math.min(tasks, ledJob.requestedQuota()));
    }
    return tasks > 0
        ? Math.min(tasks, remainingTasks(team, ledJob.spec(), change.cpus, change.gpus, 1))
        : tasks;
  }

  private void send(String team, Change change, long now) {
    String key = StateKeys.team(team);
    change.conditions.add(new Condition(key, store.modRevision(key)));
    TeamUsageEntry usage = new TeamUsageEntry(Math.max(0, change.cpus), Math.max(0, change.gpus));
    change.puts.add(new PutOperation(key, usage, 0));
    for (LedJob ledJob : change.jobs) {
      ledJob.setQuotaWriteInFlight(true);
    }
    teamsInFlight.add(team);
    nextChangeMs.put(team, now + Constants.QUOTA_TRANSACTION_INTERVAL_MIN_MS);
    boolean accepted =
        store.transact(
            RequestPriority.JOB,
            new Transaction(change.conditions, change.puts, List.of()),
            reply -> handleResult(team, change, reply));
    if (!accepted) {
      teamsInFlight.remove(team);
      for (LedJob ledJob : change.jobs) {
        ledJob.setQuotaWriteInFlight(false);
      }
    }
  }

  private void handleResult(String team, Change change, TransactionResult reply) {
    teamsInFlight.remove(team);
    RetryDelay retry = teamRetries.computeIfAbsent(team, k -> new RetryDelay());
    if (reply.code() != ResultCode.INVALID) {
      retry.recordResult(clock.now(), reply.code());
    }
    for (LedJob ledJob : change.jobs) {
      handleResult(ledJob, reply);
    }
    if (reply.code() == ResultCode.CONFLICT) {
      teamsInFlight.add(team);
      String key = StateKeys.team(team);
      if (!store.read(RequestPriority.JOB, key, read -> teamsInFlight.remove(team))) {
        teamsInFlight.remove(team);
      }
    } else if (reply.code() != ResultCode.OK) {
      nextChangeMs.put(team, Math.max(clock.now() + Constants.STATE_RETRY_MS, retry.retryAtMs()));
    }
    placementTrigger.request();
  }

  private void handleResult(LedJob ledJob, TransactionResult reply) {
    ledJob.setQuotaWriteInFlight(false);
    if (reply.code() != ResultCode.REJECTED) {
      ledJob.quotaRetry().recordResult(clock.now(), reply.code());
    }
    if (reply.code() == ResultCode.OK) {
      ledJob.setRequestedQuota(0);
    } else if (reply.code() == ResultCode.OUTCOME_UNKNOWN) {
      ledJob.setWriteOutcomeUnknown(true);
    } else if (reply.code() == ResultCode.CONFLICT && reply.revision() > store.revision()) {
      jobLeader.refreshEntry(ledJob);
    }
  }

  /** Whether the job's team has a limit, so that its tasks need grants. */
  public boolean hasQuota(JobSpec spec) {
    Team team = settings.teams().get(spec.team());
    return team != null && team.hasQuota();
  }

  /**
   * Whether the job must give up what of its grant becomes free: its team is at its limit, a job of
   * the team has had none for long, and of those that have some this one has most. A large job with
   * tasks waiting would otherwise use its grant again and again, and nobody else get any.
   */
  public boolean mustReleaseQuota(LedJob ledJob) {
    return ledJob.id().equals(releasingJobs.get(ledJob.spec().team()));
  }

  /** Finds the jobs that must give up grants. */
  private void selectReleasingJobs() {
    releasingJobs.clear();
    Map<String, JobEntry> largestByTeam = new HashMap<>();
    Set<String> starved = new HashSet<>();
    for (JobEntry job : openJobs.all()) {
      if (job.isTerminal() || !hasQuota(job.spec())) {
        continue;
      }
      String team = job.spec().team();
      boolean service = job.spec().isService();
      if (service ? job.quotaReservedTasks() < job.spec().tasks() : job.quotaReservedTasks() == 0) {
        TeamUsageEntry usage = teamUsage(team);
        boolean quotaExhausted =
            remainingTasks(
                    settings.teams().get(team),
                    job.spec(),
                    usage.reservedCpus(),
                    usage.reservedGpus(),
                    1)
                == 0;
        long starvationMs = service ? Constants.PREEMPTION_DELAY_MS : Constants.STARVATION_MS;
        if (quotaExhausted && clock.wallClockMs() - job.submittedMs() > starvationMs) {
          starved.add(team);
        }
      } else if (!service) {
        largestByTeam.merge(team, job, (a, b) -> quotaWeight(a) >= quotaWeight(b) ? a : b);
      }
    }
    for (String team : starved) {
      if (largestByTeam.containsKey(team)) {
        releasingJobs.put(team, largestByTeam.get(team).spec().id());
      }
    }
  }

  private static double quotaWeight(JobEntry job) {
    return job.quotaReservedTasks() * (job.spec().cpus() + 1e-3 * job.spec().gpus());
  }

  /**
   * By how much the job's grant should change; never below what may be on machines. While the team
   * is far from its limit a job gets at once what all its tasks need and keeps it: changing the
   * grant with every few tasks took a third of the state service's changes, and starts waited.
   */
  private int quotaDelta(LedJob ledJob, long now) {
    int unused = ledJob.entry().quotaReservedTasks() - ledJob.activeAttempts().size();
    if (!ledJob.recovered()) {
      return 0;
    }
    // replicas start again and again: what they need stays granted until the job is cancelled
    if (ledJob.spec().isService() && !ledJob.finished()) {
      return Math.max(0, ledJob.spec().tasks() - ledJob.entry().quotaReservedTasks());
    }
    if (ledJob.finished() || mustReleaseQuota(ledJob)) {
      return -Math.max(0, unused);
    }
    int pending = ledJob.pending();
    boolean headroom = hasHeadroom(ledJob.spec().team());
    if (unused - pending > (headroom ? ledJob.entry().quotaReservedTasks() / 2 : 0)) {
      return -(unused - pending);
    }
    int requested = headroom ? pending : ledJob.requestedQuota();
    if (requested > 0) {
      return Math.min(requested, Math.max(0, pending - unused));
    }
    if (!headroom
        && unused > 0
        && ledJob.quotaIdleSinceMs() > 0
        && now - ledJob.quotaIdleSinceMs() > Constants.QUOTA_RESERVATION_IDLE_MS) {
      return -unused;
    }
    return 0;
  }

  private TeamUsageEntry teamUsage(String team) {
    StoredValue stored = store.entry(StateKeys.team(team));
    return stored == null ? new TeamUsageEntry(0, 0) : (TeamUsageEntry) stored.value();
  }

  /** How many more tasks like these keep the team's sums within this fraction of its limits. */
  private static int remainingTasks(
      Team team, JobSpec spec, double cpus, double gpus, double fraction) {
    double tasks = Integer.MAX_VALUE;
    if (team.cpuQuota() > 0 && spec.cpus() > 0) {
      tasks = (team.cpuQuota() * fraction - cpus) / spec.cpus();
    }
    if (team.gpuQuota() > 0 && spec.gpus() > 0) {
      tasks = Math.min(tasks, (team.gpuQuota() * fraction - gpus) / spec.gpus());
    }
    return (int) Math.max(0, Math.floor(tasks + 1e-9));
  }

  /** Whether all running grants of the team are at most half of what it may use. */
  private boolean hasHeadroom(String team) {
    Team jobTeam = settings.teams().get(team);
    TeamUsageEntry usage = teamUsage(team);
    return (jobTeam.cpuQuota() <= 0
            || usage.reservedCpus() <= jobTeam.cpuQuota() * Constants.QUOTA_UNCONTENDED_FRACTION)
        && (jobTeam.gpuQuota() <= 0
            || usage.reservedGpus() <= jobTeam.gpuQuota() * Constants.QUOTA_UNCONTENDED_FRACTION);
  }
}
