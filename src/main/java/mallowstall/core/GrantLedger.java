package mallowstall.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mallowstall.Constants;
import mallowstall.core.Effects.Code;
import mallowstall.core.Effects.Cond;
import mallowstall.core.Effects.Put;
import mallowstall.core.Effects.Txn;
import mallowstall.core.Effects.TxnReply;
import mallowstall.core.Holder.Held;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.Team;
import mallowstall.core.Model.TeamRec;

/**
 * The running tasks that jobs held here may have within their teams' limits: before a task starts,
 * one transaction raises its job's grant and the team's sum. Mutable.
 */
final class GrantLedger {
  private final EventClock clock;
  private final CoreSettings settings;
  private final JobEntries jobEntries;
  private final OpenJobs openJobs;
  private final PlacementTrigger placementTrigger;
  private final Comparator<Held> order;
  private final Store store;
  private final Holder holder;

  private long nextYielding;

  /** Teams whose change is unanswered. */
  private final Set<String> busy = new HashSet<>();

  /** When the next change of a team may be tried. */
  private final Map<String, Long> next = new HashMap<>();

  private final Map<String, RetryDelay> retries = new HashMap<>();

  /** Per team, the job that must give up grants. */
  private final Map<String, String> yielding = new HashMap<>();

  /** What one change does: the jobs, their new entries and the team's new sum. Mutable. */
  private static final class Change {
    final List<Held> jobs = new ArrayList<>();
    final List<Cond> conditions = new ArrayList<>();
    final List<Put> puts = new ArrayList<>();
    double cpus;
    double gpus;

    /** How many jobs it may name. */
    int room;

    Change(TeamRec sum, int room) {
      cpus = sum.cpus();
      gpus = sum.gpus();
      this.room = room;
    }

    void add(Held held, int tasks) {
      cpus += tasks * held.spec.cpus();
      gpus += tasks * held.spec.gpus();
      String key = Store.JOBS + held.id;
      conditions.add(new Cond(key, held.version));
      puts.add(new Put(key, held.job.withGrant(held.job.grant() + tasks), 0));
      jobs.add(held);
    }
  }

  GrantLedger(
      EventClock clock,
      CoreSettings settings,
      Store store,
      JobEntries jobEntries,
      OpenJobs openJobs,
      PlacementTrigger placementTrigger,
      Holder holder,
      Comparator<Held> order) {
    this.clock = clock;
    this.settings = settings;
    this.jobEntries = jobEntries;
    this.openJobs = openJobs;
    this.placementTrigger = placementTrigger;
    this.order = order;
    this.store = store;
    this.holder = holder;
  }

  /** Changes grants where they should be others; one transaction per team. */
  void tick() {
    if (!store.synced()) {
      return;
    }
    long now = clock.now();
    if (now >= nextYielding) {
      nextYielding = now + Constants.ADOPT_EVERY_MS;
      findYielding();
    }
    changeGrants(now);
  }

  private void changeGrants(long now) {
    Map<String, List<Held>> byTeam = new LinkedHashMap<>();
    for (Held held : holder.jobs()) {
      if (changeable(held, now) && delta(held, now) != 0) {
        byTeam.computeIfAbsent(held.spec.team(), k -> new ArrayList<>()).add(held);
      }
    }
    byTeam.forEach(
        (team, jobs) -> {
          if (!busy.contains(team) && now >= next.getOrDefault(team, 0L)) {
            change(team, jobs, now);
          }
        });
  }

  private boolean changeable(Held held, long now) {
    return limited(held.spec)
        && !held.writing
        && !held.granting
        && !held.uncertain
        && held.grantRetry.due(now)
        // its own next write brings the entry into its present layout first
        && !jobEntries.outOfPlace(held.job);
  }

  /** Lowers grants before it raises others. */
  private void change(String team, List<Held> jobs, long now) {
    jobs.sort(order);
    int most = Math.min(settings.txnOps() - 1, Constants.GRANTS_PER_CHANGE);
    Change change = new Change(teamSum(team), most);
    for (Held held : jobs) {
      int tasks = delta(held, now);
      if (tasks < 0) {
        add(change, held, tasks);
      }
    }
    for (Held held : jobs) {
      int tasks = delta(held, now);
      if (tasks >= 0) {
        add(change, held, allowed(change, held, tasks));
      }
    }
    if (!change.jobs.isEmpty()) {
      send(team, change, now);
    }
  }

  private void add(Change change, Held held, int tasks) {
    // one that may be refused for its size is tried alone, so that it delays no other job
    boolean alone = !jobEntries.fitsNow(held.job);
    if (tasks == 0 || change.jobs.size() >= change.room || alone && !change.jobs.isEmpty()) {
      return;
    }
    change.add(held, tasks);
    if (alone) {
      change.room = 1;
    }
  }

  /** As many more tasks as the team's limit leaves to the job. */
  private int allowed(Change change, Held held, int wanted) {
    Team team = settings.teams().get(held.spec.team());
    int tasks = wanted;
    if (tasks > 0 && !held.spec.service()) {
      // what isn't asked for by placement must leave the team far from its limit: else it was
      // given and taken back by turns, with every change, and served nobody
      int early = Math.min(tasks, room(team, held.spec, change.cpus, change.gpus, Constants.ROOMY));
      tasks = Math.max(early, Math.min(tasks, held.wantsGrant));
    }
    return tasks > 0 ? Math.min(tasks, room(team, held.spec, change.cpus, change.gpus, 1)) : tasks;
  }

  private void send(String team, Change change, long now) {
    String key = Store.TEAMS + team;
    change.conditions.add(new Cond(key, store.version(key)));
    TeamRec sum = new TeamRec(Math.max(0, change.cpus), Math.max(0, change.gpus));
    change.puts.add(new Put(key, sum, 0));
    for (Held held : change.jobs) {
      held.granting = true;
    }
    busy.add(team);
    next.put(team, now + Constants.GRANT_GAP_MS);
    boolean asked =
        store.transact(
            Store.Urgency.JOB,
            new Txn(change.conditions, change.puts, List.of()),
            reply -> answered(team, change, reply));
    if (!asked) {
      busy.remove(team);
      for (Held held : change.jobs) {
        held.granting = false;
      }
    }
  }

  private void answered(String team, Change change, TxnReply reply) {
    busy.remove(team);
    RetryDelay retry = retries.computeIfAbsent(team, k -> new RetryDelay());
    if (reply.code() != Code.MALFORMED) {
      retry.answered(clock.now(), reply.code());
    }
    for (Held held : change.jobs) {
      answered(held, reply);
    }
    if (reply.code() == Code.CONFLICT) {
      busy.add(team);
      String key = Store.TEAMS + team;
      if (!store.read(Store.Urgency.JOB, key, read -> busy.remove(team))) {
        busy.remove(team);
      }
    } else if (reply.code() != Code.OK) {
      next.put(team, Math.max(clock.now() + Constants.STATE_RETRY_MS, retry.until()));
    }
    placementTrigger.request();
  }

  private void answered(Held held, TxnReply reply) {
    held.granting = false;
    if (reply.code() != Code.REFUSED) {
      held.grantRetry.answered(clock.now(), reply.code());
    }
    if (reply.code() == Code.OK) {
      held.wantsGrant = 0;
    } else if (reply.code() == Code.UNKNOWN) {
      held.uncertain = true;
    } else if (reply.code() == Code.CONFLICT && reply.revision() > store.revision()) {
      holder.reread(held);
    }
  }

  /** Whether the job's team has a limit, so that its tasks need grants. */
  boolean limited(JobSpec spec) {
    Team team = settings.teams().get(spec.team());
    return team != null && team.limited();
  }

  /**
   * Whether the job must give up what of its grant becomes free: its team is at its limit, a job of
   * the team has had none for long, and of those that have some this one has most. A large job with
   * tasks waiting would otherwise use its grant again and again, and nobody else get any.
   */
  boolean yields(Held held) {
    return held.id.equals(yielding.get(held.spec.team()));
  }

  /** Finds the jobs that must give up grants. */
  private void findYielding() {
    yielding.clear();
    Map<String, JobRec> most = new HashMap<>();
    Set<String> starved = new HashSet<>();
    for (JobRec job : openJobs.all()) {
      if (job.over() || !limited(job.spec())) {
        continue;
      }
      String team = job.spec().team();
      boolean service = job.spec().service();
      if (service ? job.grant() < job.spec().tasks() : job.grant() == 0) {
        TeamRec sum = teamSum(team);
        boolean full = room(settings.teams().get(team), job.spec(), sum.cpus(), sum.gpus(), 1) == 0;
        long patience = service ? Constants.PREEMPT_AFTER_MS : Constants.STARVES_MS;
        if (full && clock.wallClock() - job.submittedMs() > patience) {
          starved.add(team);
        }
      } else if (!service) {
        most.merge(team, job, (a, b) -> weight(a) >= weight(b) ? a : b);
      }
    }
    for (String team : starved) {
      if (most.containsKey(team)) {
        yielding.put(team, most.get(team).spec().id());
      }
    }
  }

  private static double weight(JobRec job) {
    return job.grant() * (job.spec().cpus() + 1e-3 * job.spec().gpus());
  }

  /**
   * By how much the job's grant should change; never below what may be on machines. While the team
   * is far from its limit a job gets at once what all its tasks need and keeps it: changing the
   * grant with every few tasks took a third of the state service's changes, and starts waited.
   */
  private int delta(Held held, long now) {
    int spare = held.job.grant() - held.active.size();
    if (!held.rebuilt) {
      return 0;
    }
    // replicas start again and again: what they need stays granted until the job is cancelled
    if (held.spec.service() && !held.over()) {
      return Math.max(0, held.spec.tasks() - held.job.grant());
    }
    if (held.over() || yields(held)) {
      return -Math.max(0, spare);
    }
    int pending = held.pending();
    boolean roomy = roomy(held.spec.team());
    if (spare - pending > (roomy ? held.job.grant() / 2 : 0)) {
      return -(spare - pending);
    }
    int wanted = roomy ? pending : held.wantsGrant;
    if (wanted > 0) {
      return Math.min(wanted, Math.max(0, pending - spare));
    }
    if (!roomy
        && spare > 0
        && held.grantIdleSince > 0
        && now - held.grantIdleSince > Constants.GRANT_IDLE_MS) {
      return -spare;
    }
    return 0;
  }

  private TeamRec teamSum(String team) {
    Store.Held held = store.held(Store.TEAMS + team);
    return held == null ? new TeamRec(0, 0) : (TeamRec) held.value();
  }

  /** How many more tasks like these keep the team's sums within this fraction of its limits. */
  private static int room(Team team, JobSpec spec, double cpus, double gpus, double fraction) {
    double n = Integer.MAX_VALUE;
    if (team.cpusMax() > 0 && spec.cpus() > 0) {
      n = (team.cpusMax() * fraction - cpus) / spec.cpus();
    }
    if (team.gpusMax() > 0 && spec.gpus() > 0) {
      n = Math.min(n, (team.gpusMax() * fraction - gpus) / spec.gpus());
    }
    return (int) Math.max(0, Math.floor(n + 1e-9));
  }

  /** Whether all running grants of the team are at most half of what it may use. */
  private boolean roomy(String team) {
    Team jobTeam = settings.teams().get(team);
    TeamRec sum = teamSum(team);
    return (jobTeam.cpusMax() <= 0 || sum.cpus() <= jobTeam.cpusMax() * Constants.ROOMY)
        && (jobTeam.gpusMax() <= 0 || sum.gpus() <= jobTeam.gpusMax() * Constants.ROOMY);
  }
}
