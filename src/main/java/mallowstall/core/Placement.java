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
  private boolean starves(Held h) {
    return h.active.isEmpty()
        && h.pending() > 0
        && core.wall() - h.rec.submittedMs() > Constants.STARVES_MS
        // not since the last try: a start that an owner refused once cost the job another wait
        && (h.lastRan == 0 || core.now() - h.lastRan > Constants.STARVES_MS);
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
      return Long.compare(a.rec.submittedMs(), b.rec.submittedMs());
    }
    c = Integer.compare(b.spec.priority().ordinal(), a.spec.priority().ordinal());
    if (c != 0) {
      return c;
    }
    c = Integer.compare(tier(a.rec, a.spec), tier(b.rec, b.spec));
    if (c != 0) {
      return c;
    }
    c = Double.compare(urgency(a), urgency(b));
    return c != 0 ? c : Long.compare(a.rec.submittedMs(), b.rec.submittedMs());
  }

  /** 0: the deadline can be met; 1: only a later one that the operators count; 2: neither. */
  private int tier(JobRec rec, JobSpec j) {
    if (j.deadlineS() == null) {
      return 0;
    }
    double end = (core.wall() - rec.submittedMs()) / 1000.0 + j.estimateS() * Constants.HOPE_FACTOR;
    if (end <= j.deadlineS()) {
      return 0;
    }
    double times = core.settings().lateTimes().getOrDefault(j.jobClass(), 1.0);
    return end <= j.deadlineS() * times ? 1 : 2;
  }

  private double urgency(Held h) {
    JobSpec j = h.spec;
    double slots =
        Math.max(1, roomOf.getDouble(core.fleet().minimalType(j)) / Math.max(0.01, j.cpus()));
    double work = h.pending() * j.estimateS() / slots;
    double slack =
        j.deadlineS() == null
            ? 600 + (h.rec.submittedMs() - core.wall()) / 1000.0
            : j.deadlineS() - (core.wall() - h.rec.submittedMs()) / 1000.0 - j.estimateS();
    return slack + Constants.WORK_WEIGHT * work;
  }

  void round() {
    if (!store.sessionGood() || !store.synced() || core.types().isEmpty()) {
      return;
    }
    long now = core.now();
    List<Held> wait = new ArrayList<>();
    for (Held h : holder.jobs()) {
      if (h.spec.service()) {
        h.moves.expire(now);
      }
      if (h.latched && !h.over() && h.pending() > 0 && now >= h.notBefore) {
        wait.add(h);
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
    for (View.Seen s : core.view().machines.values()) {
      if (s.takes()
          && now - core.view().heardAt(s) < Constants.ROSTER_STALE_MS
          && s.freeCpus() > 0.01) {
        machines.add(s);
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
        Try t = new Try(wait.get(from), machines);
        if (t.backOff.waits(now, core.roomNews())) {
          continue;
        }
        if (!starving && !t.h.spec.service() && outranked(t.h, now)) {
          continue;
        }
        tries.add(t);
        blocks = Math.max(blocks, t.policy.blocks().size());
      }
      for (int i = 0; i < blocks; i++) {
        for (Try t : tries) {
          if (i >= t.policy.blocks().size() || budget <= 0) {
            continue;
          }
          budget -= t.block(t.policy.blocks().get(i), machines, budget, now);
        }
      }
      for (Try t : tries) t.end(now);
    }
    send();
  }

  /** A machine that a block takes; the lower score comes first. */
  private record Choice(View.Seen s, double score) {}

  /** One job's part in a placement round. Mutable. */
  private final class Try {
    final Held h;
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

    Try(Held h, List<View.Seen> machines) {
      this.h = h;
      JobSpec j = h.spec;
      policy = core.policies().forClass(j.jobClass());
      backOff =
          j.service() ? h.backOff : backOffs.computeIfAbsent(policy.name(), k -> new BackOff());
      want = h.pending();
      if (starves(h) && !j.service()) {
        want = Math.min(want, Math.max(1, j.tasks() / 10));
      }
      limited = holder.limited(j);
      // a change of the grant that is under way or in doubt: what it will be isn't known
      spare =
          !limited
              ? Integer.MAX_VALUE
              : h.granting || h.uncertain || holder.yields(h) ? 0 : h.rec.grant() - h.active.size();
      for (Active a : h.active.values()) {
        oneZone = a.zone;
        perZone.merge(a.zone, 1, Integer::sum);
        if (j.service()) {
          perMachine.merge(a.machine, 1, Integer::sum);
        }
      }
      if (j.oneZone() && oneZone == null) {
        oneZone = roomiestZone(j, machines);
      }
      zoneMax = j.spread() ? (j.tasks() + 1) / 2 : Integer.MAX_VALUE;
    }

    /** Places what this block allows; returns the number of starts. */
    int block(Policy.Block b, List<View.Seen> machines, int budget, long now) {
      JobSpec j = h.spec;
      if (want <= 0) {
        return 0;
      }
      List<Choice> choices = choices(b, machines, now);
      if (!j.service()) {
        return take(b, choices, Integer.MAX_VALUE, budget, now);
      }
      int started = 0;
      // one failure takes few replicas if each machine gets a second one only after all have one
      for (int most = 1; most <= j.tasks() && want > 0 && started < budget; most++) {
        int before = want;
        started += take(b, choices, most, budget - started, now);
        if (want == before && most > mostOnOneMachine()) {
          break;
        }
      }
      return started;
    }

    private int mostOnOneMachine() {
      int most = 0;
      for (int replicas : perMachine.values()) most = Math.max(most, replicas);
      return most;
    }

    /** The machines that this block takes, best first. */
    private List<Choice> choices(Policy.Block b, List<View.Seen> machines, long now) {
      JobSpec j = h.spec;
      List<Choice> choices = new ArrayList<>();
      for (View.Seen s : machines) {
        if (!Owner.allowed(j, s.m.type(), s.m.zone(), s.m.spot())) {
          continue;
        }
        if (j.oneZone() && !s.m.zone().equals(oneZone)) {
          continue;
        }
        if (fits(s, j) <= 0) {
          continue;
        }
        Long avoid = h.avoid.get(s.id);
        if (avoid != null && avoid > now) {
          continue;
        }
        fill(s, h, now);
        if (!b.workers(facts) || b.invalidate(facts)) {
          refused++;
          continue;
        }
        double score =
            switch (b.strategy()) {
              case LOWEST -> b.score(facts);
              case HIGHEST -> -b.score(facts);
              case RANDOM -> 0;
            };
        choices.add(new Choice(s, score + random.nextDouble() * 0.5));
      }
      choices.sort(Comparator.comparingDouble(Choice::score));
      return choices;
    }

    /** Starts tasks on these machines, at most so many of the job on each; returns how many. */
    private int take(Policy.Block b, List<Choice> choices, int most, int budget, long now) {
      JobSpec j = h.spec;
      int started = 0;
      for (Choice c : choices) {
        int n = Math.min(want, fits(c.s, j));
        if (j.service()) {
          n = Math.min(n, most - perMachine.getOrDefault(c.s.id, 0));
        }
        n = Math.min(n, zoneMax - perZone.getOrDefault(c.s.m.zone(), 0));
        if (n <= 0) {
          continue;
        }
        if (!c.s.m.images().contains(j.image())) {
          // each cold machine adds its slots to those that will serve the image's other tasks
          fill(c.s, h, now);
          if (b.invalidate(facts)) {
            break;
          }
          warm.mergeDouble(j.image(), slots(c.s, j), Double::sum);
        }
        int go = Math.min(n, Math.min(spare, budget - started));
        for (int i = 0; i < go; i++) {
          int task = h.take();
          if (task < 0) {
            return started;
          }
          start(h, task, c.s, List.of());
          started++;
          placed++;
          want--;
          spare--;
        }
        possible += n - go;
        want -= n - go;
        book(c.s, j, n - go);
        perZone.merge(c.s.m.zone(), n, Integer::sum);
        if (j.service()) {
          perMachine.merge(c.s.id, n, Integer::sum);
        }
        if (want <= 0 || started >= budget) {
          break;
        }
      }
      return started;
    }

    void end(long now) {
      if (limited && possible > 0) {
        h.wantsGrant = Math.max(h.wantsGrant, possible);
      }
      if (placed > 0) {
        h.grantIdleSince = 0;
        backOff.reset();
      } else if (possible == 0) {
        // exhausted every block: wait, unless a roster tells of new room before
        LOG.debug(
            "job {} finds no room: {} wait, {} on machines, {} machines with room refused",
            h.id,
            want,
            h.active.size(),
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
      JobSpec j = h.spec;
      boolean urgent = j.priority().ordinal() >= Priority.HIGH.ordinal();
      boolean owed = entitled.contains(h.id) && now - h.heldSince > Constants.GUARANTEE_AFTER_MS;
      if (!urgent && !owed) {
        return;
      }
      if (now - h.heldSince < Constants.PREEMPT_AFTER_MS
          || now - h.lastPreempt < Constants.PREEMPT_GAP_MS) {
        return;
      }
      if (spare <= 0) {
        h.wantsGrant = Math.max(h.wantsGrant, Math.min(want, Constants.PREEMPT_MOST));
        return;
      }
      h.lastPreempt = now;
      record Exchange(View.Seen s, List<RosterTask> victims, double cost) {}
      List<Exchange> choices = new ArrayList<>();
      for (View.Seen s : core.view().machines.values()) {
        if (!s.takes() || now - core.view().heardAt(s) >= Constants.ROSTER_STALE_MS) {
          continue;
        }
        if (!Owner.allowed(j, s.m.type(), s.m.zone(), s.m.spot())) {
          continue;
        }
        if (j.oneZone() && oneZone != null && !s.m.zone().equals(oneZone)) {
          continue;
        }
        if (core.fleet().scarce(j, s.m.type()) || h.avoid.getOrDefault(s.id, 0L) > now) {
          continue;
        }
        List<RosterTask> victims = victims(s, urgent, owed, now);
        if (victims.isEmpty()) {
          continue;
        }
        fill(s, h, now);
        boolean taken = false;
        for (Policy.Block b : policy.blocks()) taken |= b.workers(facts) && !b.invalidate(facts);
        if (!taken) {
          continue;
        }
        double cost = facts.fetchS;
        for (RosterTask t : victims) cost += loss(t);
        choices.add(new Exchange(s, victims, cost));
      }
      choices.sort(Comparator.comparingDouble(Exchange::cost));
      int left = Constants.PREEMPT_MOST;
      for (Exchange c : choices) {
        // with no room anywhere the first start names the zone: two zones were once taken
        if (j.oneZone() && oneZone != null && !c.s.m.zone().equals(oneZone)) {
          continue;
        }
        if (zoneMax <= perZone.getOrDefault(c.s.m.zone(), 0)) {
          continue;
        }
        for (RosterTask t : c.victims) {
          JobSpec o = store.job(t.job()).spec();
          book(c.s, o, -1);
          c.s.replaced.put(ref(t), now + Constants.PREEMPT_GAP_MS);
        }
        int n = Math.min(Math.min(want, fits(c.s, j)), Math.min(spare, left));
        n = Math.min(n, zoneMax - perZone.getOrDefault(c.s.m.zone(), 0));
        for (int i = 0; i < n; i++) {
          int task = h.take();
          if (task < 0) {
            return;
          }
          List<TaskRef> instead = new ArrayList<>();
          if (i == 0) {
            for (RosterTask t : c.victims) instead.add(ref(t));
          }
          start(h, task, c.s, instead);
          perZone.merge(c.s.m.zone(), 1, Integer::sum);
          oneZone = c.s.m.zone();
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
    private List<RosterTask> victims(View.Seen s, boolean urgent, boolean owed, long now) {
      s.replaced.values().removeIf(until -> until <= now);
      List<RosterTask> lower = new ArrayList<>();
      for (RosterTask t : s.m.tasks()) {
        JobRec o = t.state() == null ? null : store.job(t.job());
        if (o == null || t.state() == TaskState.EXITED || t.state() == TaskState.SAVING) {
          continue;
        }
        if (s.replaced.containsKey(ref(t)) || spared(o)) {
          continue;
        }
        boolean below = urgent && o.spec().priority().ordinal() < h.spec.priority().ordinal();
        boolean borrowed =
            owed && !o.spec().team().equals(h.spec.team()) && !entitled.contains(o.spec().id());
        if (below || borrowed) {
          lower.add(t);
        }
      }
      lower.sort(Comparator.comparingDouble(Placement.this::loss));
      double cpus = s.freeCpus();
      double gpus = s.freeGpus();
      double memory = s.freeMemory();
      for (int i = 0; i < lower.size(); i++) {
        JobSpec o = store.job(lower.get(i).job()).spec();
        cpus += o.cpus();
        gpus += o.gpus();
        memory += o.memoryGb();
        if (howMany(cpus, gpus, memory, h.spec) > 0) {
          return lower.subList(0, i + 1);
        }
      }
      return List.of();
    }
  }

  /** What has just begun after starving keeps its few tasks, or it would starve on. */
  private boolean spared(JobRec o) {
    return core.wall() - o.submittedMs() > Constants.STARVES_MS
        && core.view().placed(o.spec().id()) <= Math.max(1, o.spec().tasks() / 10);
  }

  private static TaskRef ref(RosterTask t) {
    return new TaskRef(t.job(), t.task(), t.attempt());
  }

  /** Seconds of work that are about lost when the task is stopped; little while it fetches. */
  private double loss(RosterTask t) {
    if (t.state() == TaskState.FETCHING) {
      return 1;
    }
    JobSpec j = store.job(t.job()).spec();
    if (j.service()) {
      return Constants.REPLICA_LOSS_S;
    }
    double half = j.estimateS() / 2;
    return j.checkpointS() > 0 ? Math.min(half, j.checkpointS()) : half;
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
    for (JobRec rec : core.openJobs()) {
      if (!rec.over()) {
        open.add(rec);
      }
    }
    open.sort(Comparator.comparingLong(JobRec::submittedMs).thenComparing(r -> r.spec().id()));
    Object2DoubleOpenHashMap<String> cpus = new Object2DoubleOpenHashMap<>();
    Object2DoubleOpenHashMap<String> gpus = new Object2DoubleOpenHashMap<>();
    for (JobRec rec : open) {
      JobSpec j = rec.spec();
      Team t = core.settings().teams().get(j.team());
      if (t == null) {
        continue;
      }
      int left = j.tasks() - rec.doneCount();
      cpus.addTo(j.team(), left * j.cpus());
      gpus.addTo(j.team(), left * j.gpus());
      boolean fits =
          cpus.getDouble(j.team()) <= t.cpus() + 1e-9
              && gpus.getDouble(j.team()) <= t.gpus() + 1e-9;
      if (fits) {
        entitled.add(j.id());
      }
    }
  }

  /** Processors of usable machines, all and free, by machine type. */
  private void countRoom() {
    roomOf.clear();
    freeOf.clear();
    for (View.Seen s : core.view().machines.values()) {
      if (!s.takes()) {
        continue;
      }
      MachineType t = core.types().get(s.m.type());
      if (t == null) {
        continue;
      }
      roomOf.addTo(t.name(), t.cpus());
      freeOf.addTo(t.name(), Math.max(0, s.freeCpus()));
    }
  }

  /**
   * Whether the free room is owed to waiting tasks of other controllers' jobs that come first. It
   * holds a job back only for a while, since those may have reasons of their own to wait.
   */
  private boolean outranked(Held h, long now) {
    String type = core.fleet().minimalType(h.spec);
    if (type == null) {
      return false;
    }
    int mine = rank(h.rec, h.spec);
    // by turns, since it may have reasons of its own to wait
    double starving = 0;
    for (Ahead a : aheads) {
      long since = a.rank > 0 ? now : starvingSince.getOrDefault(a.job, now);
      boolean turn = (now - since) % (4 * Constants.YIELD_MS) < Constants.YIELD_MS;
      if (a.rank == 0 && turn && type.equals(a.type) && !core.node().equals(a.holder)) {
        starving += a.cpus;
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
      h.outrankedSince = 0;
      return false;
    }
    if (h.outrankedSince == 0) {
      h.outrankedSince = now;
    }
    return now - h.outrankedSince < Constants.OUTRANKED_MS;
  }

  private int rank(JobRec rec, JobSpec j) {
    return (Priority.values().length - j.priority().ordinal()) * 4 + tier(rec, j);
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
    for (JobRec rec : core.openJobs()) {
      if (rec.over()) {
        continue;
      }
      JobSpec j = rec.spec();
      sample.put(j.image(), j);
      int n = Math.max(0, j.tasks() - rec.doneCount() - core.view().placed(j.id()));
      if (n > 0 && store.live(rec.holder(), rec.incarnation())) {
        boolean starves =
            core.view().placed(j.id()) == 0
                && core.wall() - rec.submittedMs() > Constants.STARVES_MS;
        if (starves) {
          starvingSince.putIfAbsent(j.id(), core.now());
        } else {
          starvingSince.remove(j.id());
        }
        double cpus = (starves ? Math.max(1, j.tasks() / 10) : n) * j.cpus();
        aheads.add(
            new Ahead(
                j.id(),
                starves ? 0 : rank(rec, j),
                core.fleet().minimalType(j),
                rec.holder(),
                cpus));
      }
      if (n > 0 && j.estimateS() > 0) {
        waiting.addTo(j.image(), n * j.estimateS());
      }
    }
    for (View.Seen s : core.view().machines.values()) {
      if (!s.takes()) {
        continue;
      }
      core.view().derive(s);
      // a machine with several images that are waited for serves each of them only in part
      int wanted = 0;
      for (String image : s.images)
        if (waiting.containsKey(image)) {
          wanted++;
        }
      if (wanted == 0) {
        continue;
      }
      for (String image : s.images) {
        JobSpec j = waiting.containsKey(image) ? sample.get(image) : null;
        if (j != null && Owner.allowed(j, s.m.type(), s.m.zone(), s.m.spot())) {
          warm.addTo(image, slots(s, j) / wanted);
        }
      }
    }
  }

  /** How many tasks like this one an empty machine would hold. */
  private double slots(View.Seen s, JobSpec j) {
    MachineType t = core.types().get(s.m.type());
    if (t == null) {
      return 0;
    }
    return howMany(t.cpus(), t.gpus(), t.memoryGb(), j);
  }

  /**
   * Moves replicas off machines that won't last: the place is chosen first and its room kept, then
   * the replica is stopped, and it starts there as soon as its end is proven.
   */
  private void moveReplicas(List<View.Seen> machines, long now) {
    for (Held h : holder.jobs()) {
      if (!h.spec.service() || !h.latched || h.over()) {
        continue;
      }
      for (int replica : h.moves.replicas()) startMoved(h, replica, now);
      if (h.uncertain) {
        continue;
      }
      for (Active a : new ArrayList<>(h.active.values())) {
        if (!a.seen || h.moves.underWay(a.task)) {
          continue;
        }
        View.Seen from = core.view().machines.get(a.machine);
        if (from == null || !from.leaves()) {
          continue;
        }
        View.Seen to = placeToMove(h, a, machines, now);
        if (to == null) {
          continue;
        }
        LOG.info("replica {}/{} moves from {} to {}", h.id, a.task, a.machine, to.id);
        h.moves.begin(a.task, to.id, now);
        book(to, h.spec, 1);
        core.stop(
            from.owner, new StopOrder(a.machine, h.id, a.task, a.attempt, h.spec.saveS() + 1));
      }
    }
  }

  /** Starts a replica where its move leads, once it is proven to run nowhere. */
  private void startMoved(Held h, int replica, long now) {
    if (h.active.containsKey(replica) || h.granting || h.uncertain) {
      return;
    }
    View.Seen to = core.view().machines.get(h.moves.target(replica));
    h.moves.end(replica);
    if (to == null) {
      return;
    }
    book(to, h.spec, -1);
    boolean granted = !holder.limited(h.spec) || h.rec.grant() > h.active.size();
    boolean heard = to.takes() && now - core.view().heardAt(to) < Constants.ROSTER_STALE_MS;
    if (granted && heard && allowsMove(h, replica, to)) {
      start(h, replica, to, List.of());
    }
  }

  private View.Seen placeToMove(Held h, Active moving, List<View.Seen> machines, long now) {
    Map<String, Integer> perMachine = new HashMap<>();
    for (Active a : h.active.values()) perMachine.merge(a.machine, 1, Integer::sum);
    Policy policy = core.policies().forClass(h.spec.jobClass());
    View.Seen best = null;
    double bestCost = Double.MAX_VALUE;
    for (View.Seen s : machines) {
      if (h.avoid.getOrDefault(s.id, 0L) > now || !allowsMove(h, moving.task, s)) {
        continue;
      }
      fill(s, h, now);
      boolean taken = false;
      for (Policy.Block b : policy.blocks()) taken |= b.workers(facts) && !b.invalidate(facts);
      double cost = facts.fetchS + perMachine.getOrDefault(s.id, 0);
      if (!taken || cost >= bestCost) {
        continue;
      }
      best = s;
      bestCost = cost;
    }
    return best;
  }

  /** Whether the replica may run there, given where the job's others are. */
  private boolean allowsMove(Held h, int replica, View.Seen to) {
    JobSpec j = h.spec;
    if (!Owner.allowed(j, to.m.type(), to.m.zone(), to.m.spot()) || fits(to, j) <= 0) {
      return false;
    }
    int there = 1;
    for (Active a : h.active.values()) {
      if (a.task == replica) {
        continue;
      }
      if (j.oneZone() && !a.zone.equals(to.m.zone())) {
        return false;
      }
      if (a.zone.equals(to.m.zone())) {
        there++;
      }
    }
    return !j.spread() || there <= (j.tasks() + 1) / 2;
  }

  private void countSent() {
    for (View.Seen s : core.view().machines.values()) s.sentCpus = s.sentGpus = s.sentMemory = 0;
    for (Held h : holder.jobs()) {
      for (Map.Entry<String, Integer> e : h.moves.targets().entrySet()) {
        View.Seen s = core.view().machines.get(e.getKey());
        if (s != null) {
          book(s, h.spec, e.getValue());
        }
      }
      for (Active a : h.active.values()) {
        if (a.seen || a.listed) {
          continue;
        }
        View.Seen s = core.view().machines.get(a.machine);
        if (s != null) {
          book(s, h.spec, 1);
        }
      }
    }
  }

  private static void book(View.Seen s, JobSpec j, int n) {
    s.sentCpus += n * j.cpus();
    s.sentGpus += n * j.gpus();
    s.sentMemory += n * j.memoryGb();
  }

  private String roomiestZone(JobSpec j, List<View.Seen> machines) {
    Map<String, Integer> room = new HashMap<>();
    for (View.Seen s : machines) {
      if (Owner.allowed(j, s.m.type(), s.m.zone(), s.m.spot())) {
        room.merge(s.m.zone(), fits(s, j), Integer::sum);
      }
    }
    String best = null;
    for (Map.Entry<String, Integer> e : room.entrySet()) {
      if (best == null || e.getValue() > room.get(best)) {
        best = e.getKey();
      }
    }
    return best;
  }

  static int fits(View.Seen s, JobSpec j) {
    return howMany(s.freeCpus(), s.freeGpus(), s.freeMemory(), j);
  }

  private static int howMany(double cpus, double gpus, double memoryGb, JobSpec j) {
    double n = 1000;
    if (j.cpus() > 0) {
      n = Math.min(n, cpus / j.cpus());
    }
    if (j.gpus() > 0) {
      n = Math.min(n, gpus / j.gpus());
    }
    if (j.memoryGb() > 0) {
      n = Math.min(n, memoryGb / j.memoryGb());
    }
    return (int) Math.floor(n + 1e-9);
  }

  private void fill(View.Seen s, Held h, long now) {
    JobSpec j = h.spec;
    MachineType t = core.types().get(s.m.type());
    Policy.Facts f = facts;
    f.zone = s.m.zone();
    f.type = s.m.type();
    f.image = j.image();
    f.spot = s.m.spot();
    f.own = core.node().equals(s.owner);
    f.freeCpus = s.freeCpus();
    f.freeGpus = s.freeGpus();
    f.freeMemory = s.freeMemory();
    f.used = t == null || t.cpus() <= 0 ? 0 : 1 - s.freeCpus() / t.cpus();
    f.imagePresent = s.m.images().contains(j.image());
    int fetching = 0;
    boolean same = false;
    core.view().derive(s);
    for (String other : s.fetching) {
      if (other.equals(j.image())) {
        same = true;
      } else if (!s.m.images().contains(other)) {
        fetching++;
      }
    }
    f.fetches = fetching;
    double rate = t == null ? 1 : Math.max(1e-3, t.fetchGbPerS());
    f.fetchS = f.imagePresent ? 0 : j.imageGb() / rate * (same ? 0.6 : 1 + fetching);
    double w = warm.getDouble(j.image());
    f.drainS = w <= 0 ? 1e9 : waiting.getDouble(j.image()) / w;
    f.otherDrainS = 0;
    for (String other : s.m.images()) {
      double ow = warm.getDouble(other);
      if (ow > 0 && !other.equals(j.image())) {
        f.otherDrainS = Math.max(f.otherDrainS, waiting.getDouble(other) / ow);
      }
    }
    f.reserved = core.fleet().reserved(s.id);
    f.scarce = core.fleet().scarce(j, s.m.type());
    f.taskCpus = j.cpus();
    f.taskGpus = j.gpus();
    f.taskMemory = j.memoryGb();
    f.waitedS = waitedS(h, now);
    f.slackS =
        j.deadlineS() == null
            ? 1e9
            : j.deadlineS() - j.estimateS() - (core.wall() - h.rec.submittedMs()) / 1000.0;
    f.estimateS = j.estimateS();
    f.priority = j.priority().ordinal();
    f.pending = h.pending();
    f.price = t == null ? 0 : s.m.spot() ? t.spotPrice() : t.price();
  }

  /**
   * Since the job was submitted, or since a task of it was started last: what is being served,
   * however slowly, doesn't starve.
   */
  private double waitedS(Held h, long now) {
    double age = (core.wall() - h.rec.submittedMs()) / 1000.0;
    return h.lastStart == 0 ? age : Math.min(age, (now - h.lastStart) / 1000.0);
  }

  private void start(Held h, int task, View.Seen s, List<TaskRef> instead) {
    View.Peer p = core.view().peer(s.owner);
    long attempt = (h.rec.epoch() << Constants.ATTEMPT_BITS) + ++h.counter;
    long life = Math.min(Constants.START_LIFE_MS, store.sessionLeft());
    long expiry = core.wall() + life - 2 * core.settings().skewMs();
    if (h.active.isEmpty() && h.doneCount == 0) {
      core.metrics().time("job_wait", core.wall() - h.rec.submittedMs());
    }
    holder.place(
        new Active(
            h,
            task,
            attempt,
            s.id,
            s.m.zone(),
            s.m.type(),
            s.owner,
            s.ownerIncarnation,
            p.connection,
            p.nextSeq));
    h.lastStart = core.now();
    book(s, h.spec, 1);
    out.computeIfAbsent(s.owner, k -> new ArrayList<>())
        .add(new StartOrder(s.id, h.id, task, attempt, h.rec.epoch(), expiry, instead));
    LOG.debug(
        "start {}/{} attempt {} on {} through {}, image {}",
        h.id,
        task,
        attempt,
        s.id,
        s.owner,
        s.m.images().contains(h.spec.image()) ? "there" : "missing");
  }

  private void send() {
    for (Map.Entry<String, List<StartOrder>> e : out.entrySet()) {
      View.Peer p = core.view().peer(e.getKey());
      core.sendStarts(
          e.getKey(),
          new Starts(core.node(), store.incarnation(), p.connection, p.nextSeq++, e.getValue()));
    }
    out.clear();
  }
}
