package mallowstall.core;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import mallowstall.Constants;
import mallowstall.core.Holder.Active;
import mallowstall.core.Holder.Held;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.MachineType;
import mallowstall.core.Model.Priority;
import mallowstall.core.Model.RosterTask;
import mallowstall.core.Model.StartOrder;
import mallowstall.core.Model.Starts;
import mallowstall.core.Model.StopOrder;
import mallowstall.core.Model.TaskRef;
import mallowstall.core.Model.TaskState;
import mallowstall.core.Model.Team;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Places the pending tasks of the jobs held here on any allowed machine of the view. The tasks of
 * one job are alike and are decided together: cost follows jobs and machines, not tasks.
 */
final class Placement {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.placement");

  private final Core core;
  private final Store store;
  private final Holder holder;
  private final SplittableRandom random;
  private final Map<String, BackOff> backOffs = new HashMap<>();
  private final Policy.Facts facts = new Policy.Facts();
  private final Map<String, List<StartOrder>> out = new LinkedHashMap<>();

  /** Waiting work of one job, as far as it matters to others. */
  private record Ahead(String job, int rank, String type, String holder, double cpus) {}

  /** Jobs that starve, whoever holds them, and since when that is known here. */
  private final Map<String, Long> starvingSince = new HashMap<>();

  private final Set<String> entitled = new HashSet<>();
  private final List<Ahead> aheads = new ArrayList<>();
  private final Object2DoubleOpenHashMap<String> roomOf = new Object2DoubleOpenHashMap<>();
  private final Object2DoubleOpenHashMap<String> freeOf = new Object2DoubleOpenHashMap<>();
  private final Object2DoubleOpenHashMap<String> waiting = new Object2DoubleOpenHashMap<>();
  private final Object2DoubleOpenHashMap<String> warm = new Object2DoubleOpenHashMap<>();

  Placement(Core core, Store store, Holder holder, SplittableRandom random) {
    this.core = core;
    this.store = store;
    this.holder = holder;
    this.random = random;
  }

  /**
   * A job of which nothing is on a machine and nothing ran for so long: whatever its priority, size
   * and hope, it is next, with a tenth of its tasks. Smaller and still hopeful jobs before it would
   * otherwise keep it waiting as long as the overload lasts.
   */
  private boolean starves(Held held) {
    return held.active.isEmpty()
        && held.pending() > 0
        && core.wall() - held.job.submittedMs() > Constants.STARVES_MS
        // not since the last try: a start that an owner refused once cost the job another wait
        && (held.lastRan == 0 || core.now() - held.lastRan > Constants.STARVES_MS);
  }

  /**
   * Starving jobs first, the longest waiting before others. Then priority before deadline before
   * age. Jobs that can't meet their deadline any more come after those that can: serving them first
   * would only make more of them. Among the rest slack decides, and of like slack the smaller job,
   * since each job counts once.
   */
  int order(Held a, Held b) {
    int c = Boolean.compare(starves(b), starves(a));
    if (c != 0) {
      return c;
    }
    if (starves(a)) {
      return Long.compare(a.job.submittedMs(), b.job.submittedMs());
    }
    c = Integer.compare(b.spec.priority().ordinal(), a.spec.priority().ordinal());
    if (c != 0) {
      return c;
    }
    c = Integer.compare(tier(a.job, a.spec), tier(b.job, b.spec));
    if (c != 0) {
      return c;
    }
    c = Double.compare(urgency(a), urgency(b));
    return c != 0 ? c : Long.compare(a.job.submittedMs(), b.job.submittedMs());
  }

  /** 0: the deadline can be met; 1: only a later one that the operators count; 2: neither. */
  private int tier(JobRec job, JobSpec spec) {
    if (spec.deadlineS() == null) {
      return 0;
    }
    double end =
        (core.wall() - job.submittedMs()) / 1000.0 + spec.estimateS() * Constants.HOPE_FACTOR;
    if (end <= spec.deadlineS()) {
      return 0;
    }
    double times = core.settings().lateTimes().getOrDefault(spec.jobClass(), 1.0);
    return end <= spec.deadlineS() * times ? 1 : 2;
  }

  private double urgency(Held held) {
    JobSpec spec = held.spec;
    double slots =
        Math.max(
            1, roomOf.getDouble(core.demand().minimalType(spec)) / Math.max(0.01, spec.cpus()));
    double work = held.pending() * spec.estimateS() / slots;
    double slack =
        spec.deadlineS() == null
            ? 600 + (held.job.submittedMs() - core.wall()) / 1000.0
            : spec.deadlineS() - (core.wall() - held.job.submittedMs()) / 1000.0 - spec.estimateS();
    return slack + Constants.WORK_WEIGHT * work;
  }

  void round() {
    if (!store.sessionGood() || !store.synced() || core.types().isEmpty()) {
      return;
    }
    long now = core.now();
    List<Held> wait = new ArrayList<>();
    for (Held held : holder.jobs()) {
      if (held.spec.service()) {
        held.moves.expire(now);
      }
      if (held.latched && !held.over() && held.pending() > 0 && now >= held.notBefore) {
        wait.add(held);
      }
    }
    boolean anyService = holder.anyService();
    if (wait.isEmpty() && !anyService) {
      return;
    }
    countRoom();
    countEntitled();
    wait.sort(this::order);
    List<View.Seen> machines = new ArrayList<>();
    for (View.Seen machine : core.view().machines.values()) {
      if (machine.takes()
          && now - core.view().heardAt(machine) < Constants.ROSTER_STALE_MS
          && machine.freeCpus() > 0.01) {
        machines.add(machine);
      }
    }
    countSent();
    countImages();
    if (anyService) {
      moveReplicas(machines, now);
    }
    int budget = Constants.STARTS_PER_ROUND;
    // one priority after the other; within one, every job tries a block before any tries the next
    for (int from = 0; from < wait.size() && budget > 0; ) {
      Priority priority = wait.get(from).spec.priority();
      boolean starving = starves(wait.get(from));
      List<Try> tries = new ArrayList<>();
      int blocks = 0;
      for (;
          from < wait.size()
              && wait.get(from).spec.priority() == priority
              && starves(wait.get(from)) == starving;
          from++) {
        Try attempt = new Try(wait.get(from), machines);
        if (attempt.backOff.waits(now, core.roomNews())) {
          continue;
        }
        if (!starving && !attempt.held.spec.service() && outranked(attempt.held, now)) {
          continue;
        }
        tries.add(attempt);
        blocks = Math.max(blocks, attempt.policy.blocks().size());
      }
      for (int i = 0; i < blocks; i++) {
        for (Try attempted : tries) {
          if (i >= attempted.policy.blocks().size() || budget <= 0) {
            continue;
          }
          budget -= attempted.block(attempted.policy.blocks().get(i), machines, budget, now);
        }
      }
      for (Try t : tries) {
        t.end(now);
      }
    }
    send();
  }

  /** A machine that a block takes; the lower score comes first. */
  private record Choice(View.Seen s, double score) {}

  /** One job's part in a placement round. Mutable. */
  private final class Try {
    final Held held;
    final Policy policy;
    final BackOff backOff;
    final boolean limited;
    final Map<String, Integer> perZone = new HashMap<>();
    final int zoneMax;

    /** Replicas of a service on each machine, which are spread as evenly as can be. */
    final Map<String, Integer> perMachine = new HashMap<>();

    String oneZone;
    int want;
    int spare;
    int placed;

    /** Pairs of a machine with room and a block that didn't take it. */
    int refused;

    /** Tasks that would have been placed if their team's grant allowed it. */
    int possible;

    Try(Held held, List<View.Seen> machines) {
      this.held = held;
      JobSpec spec = held.spec;
      policy = core.policies().forClass(spec.jobClass());
      backOff =
          spec.service()
              ? held.backOff
              : backOffs.computeIfAbsent(policy.name(), k -> new BackOff());
      want = held.pending();
      if (starves(held) && !spec.service()) {
        want = Math.min(want, Math.max(1, spec.tasks() / 10));
      }
      limited = holder.limited(spec);
      // a change of the grant that is under way or in doubt: what it will be isn't known
      spare =
          !limited
              ? Integer.MAX_VALUE
              : held.granting || held.uncertain || holder.yields(held)
                  ? 0
                  : held.job.grant() - held.active.size();
      for (Active active : held.active.values()) {
        oneZone = active.zone;
        perZone.merge(active.zone, 1, Integer::sum);
        if (spec.service()) {
          perMachine.merge(active.machine, 1, Integer::sum);
        }
      }
      if (spec.oneZone() && oneZone == null) {
        oneZone = roomiestZone(spec, machines);
      }
      zoneMax = spec.spread() ? (spec.tasks() + 1) / 2 : Integer.MAX_VALUE;
    }

    /** Places what this block allows; returns the number of starts. */
    int block(Policy.Block block, List<View.Seen> machines, int budget, long now) {
      JobSpec spec = held.spec;
      if (want <= 0) {
        return 0;
      }
      List<Choice> choices = choices(block, machines, now);
      if (!spec.service()) {
        return take(block, choices, Integer.MAX_VALUE, budget, now);
      }
      int started = 0;
      // one failure takes few replicas if each machine gets a second one only after all have one
      for (int most = 1; most <= spec.tasks() && want > 0 && started < budget; most++) {
        int before = want;
        started += take(block, choices, most, budget - started, now);
        if (want == before && most > mostOnOneMachine()) {
          break;
        }
      }
      return started;
    }

    private int mostOnOneMachine() {
      int most = 0;
      for (int replicas : perMachine.values()) {
        most = Math.max(most, replicas);
      }
      return most;
    }

    /** The machines that this block takes, best first. */
    private List<Choice> choices(Policy.Block block, List<View.Seen> machines, long now) {
      JobSpec spec = held.spec;
      List<Choice> choices = new ArrayList<>();
      for (View.Seen machine : machines) {
        if (!OwnedMachines.allowed(
            spec, machine.state.type(), machine.state.zone(), machine.state.spot())) {
          continue;
        }
        if (spec.oneZone() && !machine.state.zone().equals(oneZone)) {
          continue;
        }
        if (fits(machine, spec) <= 0) {
          continue;
        }
        Long avoid = held.avoid.get(machine.id);
        if (avoid != null && avoid > now) {
          continue;
        }
        fill(machine, held, now);
        if (!block.workers(facts) || block.invalidate(facts)) {
          refused++;
          continue;
        }
        double score =
            switch (block.strategy()) {
              case LOWEST -> block.score(facts);
              case HIGHEST -> -block.score(facts);
              case RANDOM -> 0;
            };
        choices.add(new Choice(machine, score + random.nextDouble() * 0.5));
      }
      choices.sort(Comparator.comparingDouble(Choice::score));
      return choices;
    }

    /** Starts tasks on these machines, at most so many of the job on each; returns how many. */
    private int take(Policy.Block block, List<Choice> choices, int most, int budget, long now) {
      JobSpec spec = held.spec;
      int started = 0;
      for (Choice choice : choices) {
        int n = Math.min(want, fits(choice.s, spec));
        if (spec.service()) {
          n = Math.min(n, most - perMachine.getOrDefault(choice.s.id, 0));
        }
        n = Math.min(n, zoneMax - perZone.getOrDefault(choice.s.state.zone(), 0));
        if (n <= 0) {
          continue;
        }
        if (!choice.s.state.images().contains(spec.image())) {
          // each cold machine adds its slots to those that will serve the image's other tasks
          fill(choice.s, held, now);
          if (block.invalidate(facts)) {
            break;
          }
          warm.mergeDouble(spec.image(), slots(choice.s, spec), Double::sum);
        }
        int go = Math.min(n, Math.min(spare, budget - started));
        for (int i = 0; i < go; i++) {
          int task = held.take();
          if (task < 0) {
            return started;
          }
          start(held, task, choice.s, List.of());
          started++;
          placed++;
          want--;
          spare--;
        }
        possible += n - go;
        want -= n - go;
        book(choice.s, spec, n - go);
        perZone.merge(choice.s.state.zone(), n, Integer::sum);
        if (spec.service()) {
          perMachine.merge(choice.s.id, n, Integer::sum);
        }
        if (want <= 0 || started >= budget) {
          break;
        }
      }
      return started;
    }

    void end(long now) {
      if (limited && possible > 0) {
        held.wantsGrant = Math.max(held.wantsGrant, possible);
      }
      if (placed > 0) {
        held.grantIdleSince = 0;
        backOff.reset();
      } else if (possible == 0) {
        // exhausted every block: wait, unless a roster tells of new room before
        LOG.debug(
            "job {} finds no room: {} wait, {} on machines, {} machines with room refused",
            held.id,
            want,
            held.active.size(),
            refused);
        core.metrics().count("backoffs");
        backOff.failed(now, core.roomNews());
        preempt(now);
      }
    }

    /**
     * Starts tasks in the place of lower work where the job has waited for room in vain. Only on
     * machines that a block of its policy takes, with that room free: stopping work elsewhere once
     * freed room that nobody used, over and over.
     */
    private void preempt(long now) {
      JobSpec spec = held.spec;
      boolean urgent = spec.priority().ordinal() >= Priority.HIGH.ordinal();
      boolean owed =
          entitled.contains(held.id) && now - held.heldSince > Constants.GUARANTEE_AFTER_MS;
      if (!urgent && !owed) {
        return;
      }
      if (now - held.heldSince < Constants.PREEMPT_AFTER_MS
          || now - held.lastPreempt < Constants.PREEMPT_GAP_MS) {
        return;
      }
      if (spare <= 0) {
        held.wantsGrant = Math.max(held.wantsGrant, Math.min(want, Constants.PREEMPT_MOST));
        return;
      }
      held.lastPreempt = now;
      record Exchange(View.Seen s, List<RosterTask> victims, double cost) {}
      List<Exchange> choices = new ArrayList<>();
      for (View.Seen machine : core.view().machines.values()) {
        if (!machine.takes() || now - core.view().heardAt(machine) >= Constants.ROSTER_STALE_MS) {
          continue;
        }
        if (!OwnedMachines.allowed(
            spec, machine.state.type(), machine.state.zone(), machine.state.spot())) {
          continue;
        }
        if (spec.oneZone() && oneZone != null && !machine.state.zone().equals(oneZone)) {
          continue;
        }
        if (core.demand().scarce(spec, machine.state.type())
            || held.avoid.getOrDefault(machine.id, 0L) > now) {
          continue;
        }
        List<RosterTask> victims = victims(machine, urgent, owed, now);
        if (victims.isEmpty()) {
          continue;
        }
        fill(machine, held, now);
        boolean taken = false;
        for (Policy.Block block : policy.blocks()) {
          taken |= block.workers(facts) && !block.invalidate(facts);
        }
        if (!taken) {
          continue;
        }
        double cost = facts.fetchS;
        for (RosterTask rosterTask : victims) {
          cost += loss(rosterTask);
        }
        choices.add(new Exchange(machine, victims, cost));
      }
      choices.sort(Comparator.comparingDouble(Exchange::cost));
      int left = Constants.PREEMPT_MOST;
      for (Exchange exchange : choices) {
        // with no room anywhere the first start names the zone: two zones were once taken
        if (spec.oneZone() && oneZone != null && !exchange.s.state.zone().equals(oneZone)) {
          continue;
        }
        if (zoneMax <= perZone.getOrDefault(exchange.s.state.zone(), 0)) {
          continue;
        }
        for (RosterTask t : exchange.victims) {
          JobSpec jobSpec = store.job(t.job()).spec();
          book(exchange.s, jobSpec, -1);
          exchange.s.replaced.put(ref(t), now + Constants.PREEMPT_GAP_MS);
        }
        int n = Math.min(Math.min(want, fits(exchange.s, spec)), Math.min(spare, left));
        n = Math.min(n, zoneMax - perZone.getOrDefault(exchange.s.state.zone(), 0));
        for (int i = 0; i < n; i++) {
          int task = held.take();
          if (task < 0) {
            return;
          }
          List<TaskRef> instead = new ArrayList<>();
          if (i == 0) {
            for (RosterTask t : exchange.victims) {
              instead.add(ref(t));
            }
          }
          start(held, task, exchange.s, instead);
          perZone.merge(exchange.s.state.zone(), 1, Integer::sum);
          oneZone = exchange.s.state.zone();
          want--;
          spare--;
          left--;
        }
        if (want <= 0 || spare <= 0 || left <= 0) {
          return;
        }
      }
    }

    /** The fewest lower tasks on the machine that make room for one of this job; none: empty. */
    private List<RosterTask> victims(View.Seen machine, boolean urgent, boolean owed, long now) {
      machine.replaced.values().removeIf(until -> until <= now);
      List<RosterTask> lower = new ArrayList<>();
      for (RosterTask task : machine.state.tasks()) {
        JobRec job = task.state() == null ? null : store.job(task.job());
        if (job == null || task.state() == TaskState.EXITED || task.state() == TaskState.SAVING) {
          continue;
        }
        if (machine.replaced.containsKey(ref(task)) || spared(job)) {
          continue;
        }
        boolean below = urgent && job.spec().priority().ordinal() < held.spec.priority().ordinal();
        boolean borrowed =
            owed
                && !job.spec().team().equals(held.spec.team())
                && !entitled.contains(job.spec().id());
        if (below || borrowed) {
          lower.add(task);
        }
      }
      lower.sort(Comparator.comparingDouble(Placement.this::loss));
      double cpus = machine.freeCpus();
      double gpus = machine.freeGpus();
      double memory = machine.freeMemory();
      for (int i = 0; i < lower.size(); i++) {
        JobSpec spec = store.job(lower.get(i).job()).spec();
        cpus += spec.cpus();
        gpus += spec.gpus();
        memory += spec.memoryGb();
        if (howMany(cpus, gpus, memory, held.spec) > 0) {
          return lower.subList(0, i + 1);
        }
      }
      return List.of();
    }
  }

  /** What has just begun after starving keeps its few tasks, or it would starve on. */
  private boolean spared(JobRec job) {
    return core.wall() - job.submittedMs() > Constants.STARVES_MS
        && core.view().placed(job.spec().id()) <= Math.max(1, job.spec().tasks() / 10);
  }

  private static TaskRef ref(RosterTask task) {
    return new TaskRef(task.job(), task.task(), task.attempt());
  }

  /** Seconds of work that are about lost when the task is stopped; little while it fetches. */
  private double loss(RosterTask task) {
    if (task.state() == TaskState.FETCHING) {
      return 1;
    }
    JobSpec spec = store.job(task.job()).spec();
    if (spec.service()) {
      return Constants.REPLICA_LOSS_S;
    }
    double half = spec.estimateS() / 2;
    return spec.checkpointS() > 0 ? Math.min(half, spec.checkpointS()) : half;
  }

  /**
   * The jobs that fit into their team's guarantee together with the team's earlier unfinished ones:
   * they need not wait for other teams. Counted only where several teams share.
   */
  private void countEntitled() {
    entitled.clear();
    if (core.settings().teams().size() < 2) {
      return; // nobody to borrow from
    }
    List<JobRec> open = new ArrayList<>();
    for (JobRec job : core.openJobs()) {
      if (!job.over()) {
        open.add(job);
      }
    }
    open.sort(
        Comparator.comparingLong(JobRec::submittedMs)
            .thenComparing(jobRecord -> jobRecord.spec().id()));
    Object2DoubleOpenHashMap<String> cpus = new Object2DoubleOpenHashMap<>();
    Object2DoubleOpenHashMap<String> gpus = new Object2DoubleOpenHashMap<>();
    for (JobRec record : open) {
      JobSpec spec = record.spec();
      Team team = core.settings().teams().get(spec.team());
      if (team == null) {
        continue;
      }
      int left = spec.tasks() - record.doneCount();
      cpus.addTo(spec.team(), left * spec.cpus());
      gpus.addTo(spec.team(), left * spec.gpus());
      boolean fits =
          cpus.getDouble(spec.team()) <= team.cpus() + 1e-9
              && gpus.getDouble(spec.team()) <= team.gpus() + 1e-9;
      if (fits) {
        entitled.add(spec.id());
      }
    }
  }

  /** Processors of usable machines, all and free, by machine type. */
  private void countRoom() {
    roomOf.clear();
    freeOf.clear();
    for (View.Seen machine : core.view().machines.values()) {
      if (!machine.takes()) {
        continue;
      }
      MachineType type = core.types().get(machine.state.type());
      if (type == null) {
        continue;
      }
      roomOf.addTo(type.name(), type.cpus());
      freeOf.addTo(type.name(), Math.max(0, machine.freeCpus()));
    }
  }

  /**
   * Whether the free room is owed to waiting tasks of other controllers' jobs that come first. It
   * holds a job back only for a while, since those may have reasons of their own to wait.
   */
  private boolean outranked(Held held, long now) {
    String type = core.demand().minimalType(held.spec);
    if (type == null) {
      return false;
    }
    int mine = rank(held.job, held.spec);
    // by turns, since it may have reasons of its own to wait
    double starving = 0;
    for (Ahead waitingWork : aheads) {
      long since = waitingWork.rank > 0 ? now : starvingSince.getOrDefault(waitingWork.job, now);
      boolean turn = (now - since) % (4 * Constants.YIELD_MS) < Constants.YIELD_MS;
      if (waitingWork.rank == 0
          && turn
          && type.equals(waitingWork.type)
          && !core.node().equals(waitingWork.holder)) {
        starving += waitingWork.cpus;
      }
    }
    if (starving > 0 && starving >= freeOf.getDouble(type)) {
      return true;
    }
    double ahead = 0;
    for (Ahead a : aheads) {
      if (a.rank < mine && type.equals(a.type) && !core.node().equals(a.holder)) {
        ahead += a.cpus;
      }
    }
    if (ahead <= 0 || ahead < freeOf.getDouble(type)) {
      held.outrankedSince = 0;
      return false;
    }
    if (held.outrankedSince == 0) {
      held.outrankedSince = now;
    }
    return now - held.outrankedSince < Constants.OUTRANKED_MS;
  }

  private int rank(JobRec job, JobSpec spec) {
    return (Priority.values().length - spec.priority().ordinal()) * 4 + tier(job, spec);
  }

  /**
   * Per image: tasks waiting for a machine, over all holders, and slots on machines that have it.
   */
  private void countImages() {
    waiting.clear();
    aheads.clear();
    warm.clear();
    starvingSince.keySet().removeIf(id -> store.job(id) == null || store.job(id).over());
    Map<String, JobSpec> sample = new HashMap<>();
    for (JobRec job : core.openJobs()) {
      if (job.over()) {
        continue;
      }
      JobSpec spec = job.spec();
      sample.put(spec.image(), spec);
      int n = Math.max(0, spec.tasks() - job.doneCount() - core.view().placed(spec.id()));
      if (n > 0 && store.live(job.holder(), job.incarnation())) {
        boolean starves =
            core.view().placed(spec.id()) == 0
                && core.wall() - job.submittedMs() > Constants.STARVES_MS;
        if (starves) {
          starvingSince.putIfAbsent(spec.id(), core.now());
        } else {
          starvingSince.remove(spec.id());
        }
        double cpus = (starves ? Math.max(1, spec.tasks() / 10) : n) * spec.cpus();
        aheads.add(
            new Ahead(
                spec.id(),
                starves ? 0 : rank(job, spec),
                core.demand().minimalType(spec),
                job.holder(),
                cpus));
      }
      if (n > 0 && spec.estimateS() > 0) {
        waiting.addTo(spec.image(), n * spec.estimateS());
      }
    }
    for (View.Seen machine : core.view().machines.values()) {
      if (!machine.takes()) {
        continue;
      }
      core.view().derive(machine);
      // a machine with several images that are waited for serves each of them only in part
      int wanted = 0;
      for (String image : machine.images) {
        if (waiting.containsKey(image)) {
          wanted++;
        }
      }
      if (wanted == 0) {
        continue;
      }
      for (String image : machine.images) {
        JobSpec jobSpec = waiting.containsKey(image) ? sample.get(image) : null;
        if (jobSpec != null
            && OwnedMachines.allowed(
                jobSpec, machine.state.type(), machine.state.zone(), machine.state.spot())) {
          warm.addTo(image, slots(machine, jobSpec) / wanted);
        }
      }
    }
  }

  /** How many tasks like this one an empty machine would hold. */
  private double slots(View.Seen machine, JobSpec spec) {
    MachineType type = core.types().get(machine.state.type());
    if (type == null) {
      return 0;
    }
    return howMany(type.cpus(), type.gpus(), type.memoryGb(), spec);
  }

  /**
   * Moves replicas off machines that won't last: the place is chosen first and its room kept, then
   * the replica is stopped, and it starts there as soon as its end is proven.
   */
  private void moveReplicas(List<View.Seen> machines, long now) {
    for (Held held : holder.jobs()) {
      if (!held.spec.service() || !held.latched || held.over()) {
        continue;
      }
      for (int replica : held.moves.replicas()) {
        startMoved(held, replica, now);
      }
      if (held.uncertain) {
        continue;
      }
      for (Active active : new ArrayList<>(held.active.values())) {
        if (!active.seen || held.moves.underWay(active.task)) {
          continue;
        }
        View.Seen from = core.view().machines.get(active.machine);
        if (from == null || !from.leaves()) {
          continue;
        }
        View.Seen machine = placeToMove(held, active, machines, now);
        if (machine == null) {
          continue;
        }
        LOG.info(
            "replica {}/{} moves from {} to {}", held.id, active.task, active.machine, machine.id);
        held.moves.begin(active.task, machine.id, now);
        book(machine, held.spec, 1);
        core.stop(
            from.owner,
            new StopOrder(
                active.machine, held.id, active.task, active.attempt, held.spec.saveS() + 1));
      }
    }
  }

  /** Starts a replica where its move leads, once it is proven to run nowhere. */
  private void startMoved(Held held, int replica, long now) {
    if (held.active.containsKey(replica) || held.granting || held.uncertain) {
      return;
    }
    View.Seen machine = core.view().machines.get(held.moves.target(replica));
    held.moves.end(replica);
    if (machine == null) {
      return;
    }
    book(machine, held.spec, -1);
    boolean granted = !holder.limited(held.spec) || held.job.grant() > held.active.size();
    boolean heard =
        machine.takes() && now - core.view().heardAt(machine) < Constants.ROSTER_STALE_MS;
    if (granted && heard && allowsMove(held, replica, machine)) {
      start(held, replica, machine, List.of());
    }
  }

  private View.Seen placeToMove(Held held, Active moving, List<View.Seen> machines, long now) {
    Map<String, Integer> perMachine = new HashMap<>();
    for (Active active : held.active.values()) {
      perMachine.merge(active.machine, 1, Integer::sum);
    }
    Policy policy = core.policies().forClass(held.spec.jobClass());
    View.Seen best = null;
    double bestCost = Double.MAX_VALUE;
    for (View.Seen machine : machines) {
      if (held.avoid.getOrDefault(machine.id, 0L) > now
          || !allowsMove(held, moving.task, machine)) {
        continue;
      }
      fill(machine, held, now);
      boolean taken = false;
      for (Policy.Block block : policy.blocks()) {
        taken |= block.workers(facts) && !block.invalidate(facts);
      }
      double cost = facts.fetchS + perMachine.getOrDefault(machine.id, 0);
      if (!taken || cost >= bestCost) {
        continue;
      }
      best = machine;
      bestCost = cost;
    }
    return best;
  }

  /** Whether the replica may run there, given where the job's others are. */
  private boolean allowsMove(Held held, int replica, View.Seen machine) {
    JobSpec spec = held.spec;
    if (!OwnedMachines.allowed(
            spec, machine.state.type(), machine.state.zone(), machine.state.spot())
        || fits(machine, spec) <= 0) {
      return false;
    }
    int there = 1;
    for (Active active : held.active.values()) {
      if (active.task == replica) {
        continue;
      }
      if (spec.oneZone() && !active.zone.equals(machine.state.zone())) {
        return false;
      }
      if (active.zone.equals(machine.state.zone())) {
        there++;
      }
    }
    return !spec.spread() || there <= (spec.tasks() + 1) / 2;
  }

  private void countSent() {
    for (View.Seen machine : core.view().machines.values()) {
      machine.sentCpus = machine.sentGpus = machine.sentMemory = 0;
    }
    for (Held held : holder.jobs()) {
      for (Map.Entry<String, Integer> entry : held.moves.targets().entrySet()) {
        View.Seen seen = core.view().machines.get(entry.getKey());
        if (seen != null) {
          book(seen, held.spec, entry.getValue());
        }
      }
      for (Active active : held.active.values()) {
        if (active.seen || active.listed) {
          continue;
        }
        View.Seen candidate = core.view().machines.get(active.machine);
        if (candidate != null) {
          book(candidate, held.spec, 1);
        }
      }
    }
  }

  private static void book(View.Seen machine, JobSpec spec, int n) {
    machine.sentCpus += n * spec.cpus();
    machine.sentGpus += n * spec.gpus();
    machine.sentMemory += n * spec.memoryGb();
  }

  private String roomiestZone(JobSpec spec, List<View.Seen> machines) {
    Map<String, Integer> room = new HashMap<>();
    for (View.Seen machine : machines) {
      if (OwnedMachines.allowed(
          spec, machine.state.type(), machine.state.zone(), machine.state.spot())) {
        room.merge(machine.state.zone(), fits(machine, spec), Integer::sum);
      }
    }
    String best = null;
    for (Map.Entry<String, Integer> entry : room.entrySet()) {
      if (best == null || entry.getValue() > room.get(best)) {
        best = entry.getKey();
      }
    }
    return best;
  }

  static int fits(View.Seen machine, JobSpec spec) {
    return howMany(machine.freeCpus(), machine.freeGpus(), machine.freeMemory(), spec);
  }

  private static int howMany(double cpus, double gpus, double memoryGb, JobSpec spec) {
    double n = 1000;
    if (spec.cpus() > 0) {
      n = Math.min(n, cpus / spec.cpus());
    }
    if (spec.gpus() > 0) {
      n = Math.min(n, gpus / spec.gpus());
    }
    if (spec.memoryGb() > 0) {
      n = Math.min(n, memoryGb / spec.memoryGb());
    }
    return (int) Math.floor(n + 1e-9);
  }

  private void fill(View.Seen machine, Held held, long now) {
    JobSpec spec = held.spec;
    MachineType type = core.types().get(machine.state.type());
    Policy.Facts pair = facts;
    pair.zone = machine.state.zone();
    pair.type = machine.state.type();
    pair.image = spec.image();
    pair.spot = machine.state.spot();
    pair.own = core.node().equals(machine.owner);
    pair.freeCpus = machine.freeCpus();
    pair.freeGpus = machine.freeGpus();
    pair.freeMemory = machine.freeMemory();
    pair.used = type == null || type.cpus() <= 0 ? 0 : 1 - machine.freeCpus() / type.cpus();
    pair.imagePresent = machine.state.images().contains(spec.image());
    int fetching = 0;
    boolean same = false;
    core.view().derive(machine);
    for (String other : machine.fetching) {
      if (other.equals(spec.image())) {
        same = true;
      } else if (!machine.state.images().contains(other)) {
        fetching++;
      }
    }
    pair.fetches = fetching;
    double rate = type == null ? 1 : Math.max(1e-3, type.fetchGbPerS());
    pair.fetchS = pair.imagePresent ? 0 : spec.imageGb() / rate * (same ? 0.6 : 1 + fetching);
    double w = warm.getDouble(spec.image());
    pair.drainS = w <= 0 ? 1e9 : waiting.getDouble(spec.image()) / w;
    pair.otherDrainS = 0;
    for (String other : machine.state.images()) {
      double ow = warm.getDouble(other);
      if (ow > 0 && !other.equals(spec.image())) {
        pair.otherDrainS = Math.max(pair.otherDrainS, waiting.getDouble(other) / ow);
      }
    }
    pair.reserved = core.demand().reserved(machine.id);
    pair.scarce = core.demand().scarce(spec, machine.state.type());
    pair.taskCpus = spec.cpus();
    pair.taskGpus = spec.gpus();
    pair.taskMemory = spec.memoryGb();
    pair.waitedS = waitedS(held, now);
    pair.slackS =
        spec.deadlineS() == null
            ? 1e9
            : spec.deadlineS() - spec.estimateS() - (core.wall() - held.job.submittedMs()) / 1000.0;
    pair.estimateS = spec.estimateS();
    pair.priority = spec.priority().ordinal();
    pair.pending = held.pending();
    pair.service = spec.service();
    pair.price = type == null ? 0 : machine.state.spot() ? type.spotPrice() : type.price();
  }

  /**
   * Since the job was submitted, or since a task of it was started last: what is being served,
   * however slowly, doesn't starve.
   */
  private double waitedS(Held held, long now) {
    double age = (core.wall() - held.job.submittedMs()) / 1000.0;
    return held.lastStart == 0 ? age : Math.min(age, (now - held.lastStart) / 1000.0);
  }

  private void start(Held held, int task, View.Seen machine, List<TaskRef> instead) {
    View.Peer peer = core.view().peer(machine.owner);
    long attempt = (held.job.epoch() << Constants.ATTEMPT_BITS) + ++held.counter;
    long life = Math.min(Constants.START_LIFE_MS, store.sessionLeft());
    long expiry = core.wall() + life - 2 * core.settings().skewMs();
    if (held.active.isEmpty() && held.doneCount == 0) {
      core.metrics().time("job_wait", core.wall() - held.job.submittedMs());
    }
    holder.place(
        new Active(
            held,
            task,
            attempt,
            machine.id,
            machine.state.zone(),
            machine.state.type(),
            machine.owner,
            machine.ownerIncarnation,
            peer.connection,
            peer.nextSeq));
    held.lastStart = core.now();
    book(machine, held.spec, 1);
    out.computeIfAbsent(machine.owner, k -> new ArrayList<>())
        .add(new StartOrder(machine.id, held.id, task, attempt, held.job.epoch(), expiry, instead));
    LOG.debug(
        "start {}/{} attempt {} on {} through {}, image {}",
        held.id,
        task,
        attempt,
        machine.id,
        machine.owner,
        machine.state.images().contains(held.spec.image()) ? "there" : "missing");
  }

  private void send() {
    for (Map.Entry<String, List<StartOrder>> entry : out.entrySet()) {
      View.Peer peer = core.view().peer(entry.getKey());
      core.sendStarts(
          entry.getKey(),
          new Starts(
              core.node(), store.incarnation(), peer.connection, peer.nextSeq++, entry.getValue()));
    }
    out.clear();
  }
}
