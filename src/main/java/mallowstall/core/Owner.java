package mallowstall.core;

import it.unimi.dsi.fastutil.longs.Long2LongLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.Effects.Code;
import mallowstall.core.Effects.Cond;
import mallowstall.core.Effects.Put;
import mallowstall.core.Effects.Txn;
import mallowstall.core.Effects.TxnReply;
import mallowstall.core.Model.Command;
import mallowstall.core.Model.CommandKind;
import mallowstall.core.Model.GroupMachine;
import mallowstall.core.Model.GroupRec;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.MachineRec;
import mallowstall.core.Model.MachineType;
import mallowstall.core.Model.Refusal;
import mallowstall.core.Model.Report;
import mallowstall.core.Model.ReportAnswer;
import mallowstall.core.Model.Room;
import mallowstall.core.Model.Roster;
import mallowstall.core.Model.RosterMachine;
import mallowstall.core.Model.RosterTask;
import mallowstall.core.Model.StartOrder;
import mallowstall.core.Model.Starts;
import mallowstall.core.Model.StopOrder;
import mallowstall.core.Model.Stops;
import mallowstall.core.Model.TaskRef;
import mallowstall.core.Model.TaskReport;
import mallowstall.core.Model.TaskState;
import mallowstall.core.Model.Why;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machines that report to this controller. Vets every start against booked free room, passes it
 * on under its own token, and tells everybody in rosters what is on its machines.
 */
final class Owner {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.owner");

  /** The owner's mirror lags: worth another try soon. */
  static final String NOT_KNOWN = "job not known here yet";

  record Key(String job, int task) {}

  /** One attempt: a worker may list a refused attempt of a task beside the one it runs. */
  record Attempt(String job, int task, long attempt) {}

  /** A start accepted and not yet seen in a report. */
  private static final class Booked {
    final StartOrder order;
    final JobSpec spec;
    boolean sent;

    Booked(StartOrder order, JobSpec spec) {
      this.order = order;
      this.spec = spec;
    }
  }

  /** One machine of this controller. Mutable. */
  static final class Owned {
    final String id;
    final MachineType type;
    final String zone;
    final boolean spot;
    long token;
    long version;
    String addr;
    long session;
    long seq;

    /** When the last 200 left; the machine's lease can't run on longer than from here. */
    long lastOk;

    long heardAt;
    boolean confirmed;
    boolean lost;
    long noticeUntil = Long.MAX_VALUE;
    long drainUntil;
    long quarantineUntil;
    int errorsInRow;
    boolean replace;
    long idleSince;
    final Map<Attempt, TaskReport> tasks = new LinkedHashMap<>();
    final Map<Key, Booked> booked = new Object2ObjectLinkedOpenHashMap<>();
    final Map<Key, StopOrder> stops = new HashMap<>();

    /**
     * Tasks stopped for others that were accepted in their place. Their stop goes out before or
     * with any start that follows, so their room counts as free.
     */
    final Set<Attempt> replaced = new HashSet<>();

    /** Ends other than done that a roster has told. */
    final Object2LongOpenHashMap<Key> told = new Object2LongOpenHashMap<>();

    /**
     * Starts sent to the worker's own address whose outcome is open. Until the answer is there, or
     * the worker shows a larger term, they may be executed at any time: they count as possibly
     * running, and their attempts are not forgotten, since a late copy would start them again.
     */
    final Map<Key, Long> ordered = new HashMap<>();

    boolean ordering;
    boolean dangling;
    boolean raising;

    /** Somebody else may have answered it after this controller's former process had ended. */
    boolean disputed;

    /** Taken over from this controller's own former process, which is dead. */
    boolean reclaimed;

    /** The term was raised after the last start went astray. */
    boolean raised;

    long orderedAt;

    final LinkedHashSet<String> images = new LinkedHashSet<>();

    /** The newest report handled; an answer of a direct command may be newer. */
    long reported;

    /** Something that statements tell may have changed since the last one. */
    boolean touched;

    /** What the last statement said of it, in which, and when. */
    RosterMachine said;

    long saidIn;
    long saidAt;

    Owned(String id, MachineType type, String zone, boolean spot, long token, long version) {
      this.id = id;
      this.type = type;
      this.zone = zone;
      this.spot = spot;
      this.token = token;
      this.version = version;
    }
  }

  private final Core core;
  private final Store store;
  private final Map<String, Owned> owned = new LinkedHashMap<>();
  private final Map<String, Long> adopting = new HashMap<>();

  /** Machines of the former process being asked for, and whether another has owned them since. */
  private final Map<String, Boolean> reclaiming = new HashMap<>();

  private final Map<String, Long> redirected = new HashMap<>();
  private final Map<String, Long> sentBack = new HashMap<>();
  private final List<Refusal> refusals = new ArrayList<>();
  private final List<Arriving> arriving = new ArrayList<>();
  private int groups;

  /** Whether the next batch of {@link #arriving} is planned; how many changes are unanswered. */
  private boolean batchPlanned;

  private int adoptionsOpen;
  private long batchSentAt;
  private long nextSweep;

  /** Machines whose record was dropped, since they were returned; names are never used again. */
  private final Set<String> returned = new LinkedHashSet<>();

  /** Machines whose recorded owner is gone, since when; and when they were last asked. */
  private final Map<String, Long> orphanSince = new HashMap<>();

  private final Map<String, Long> asked = new HashMap<>();
  private long nextSeize;
  private boolean dirty;

  /** Machines for which something may wait to be sent to their own address. */
  private final Set<Owned> toPush = new LinkedHashSet<>();

  private long lastRoster;
  private long serial;

  /** When the newest statements were made. */
  private final Long2LongLinkedOpenHashMap madeAt = new Long2LongLinkedOpenHashMap();

  /** Machines no longer owned, with the statement that said so. */
  private final Map<String, Long> gone = new LinkedHashMap<>();

  /** Statements up to this one can't be built upon: what went since then is forgotten. */
  private long forgotten;

  Owner(Core core, Store store) {
    this.core = core;
    this.store = store;
  }

  void touch() {
    dirty = true;
  }

  /**
   * The job is cancelled: its tasks that wait for their image are stopped at once, at the worker's
   * own address, since they would begin before the next report's answer. Those that run are stopped
   * by that answer, as are these if the command goes astray.
   */
  void cancelled(String job) {
    dirty = true; // peers hear of it soon
    for (Owned o : owned.values()) {
      for (TaskReport t : o.tasks.values()) {
        if (t.state() != TaskState.FETCHING || !t.job().equals(job)) {
          continue;
        }
        o.stops.put(new Key(job, t.task()), new StopOrder(o.id, job, t.task(), t.attempt(), 0));
        toPush.add(o);
      }
    }
  }

  /**
   * A job has become known whose tasks may be on machines that came over from an owner whose mirror
   * was ahead: only now their room counts. Until the next restatement such a machine was told as
   * free.
   */
  void jobKnown(String id) {
    for (Owned o : owned.values()) {
      for (TaskReport t : o.tasks.values()) {
        if (!t.job().equals(id)) {
          continue;
        }
        o.touched = true;
        dirty = true;
        break;
      }
    }
  }

  // ---- reports ------------------------------------------------------------------------------
  void report(Report r, Consumer<ReportAnswer> reply) {
    long now = core.now();
    if (!store.synced()
        || store.incarnation() == 0
        || core.types().isEmpty()
        || !core.mayKeepAlive()) {
      reply.accept(ReportAnswer.unable());
      return;
    }
    if (core.cutOffAlone()) {
      // New jobs aren't known here, so these machines would stand idle: send them where they are.
      reply.accept(ReportAnswer.elsewhere(core.servedPeer()));
      return;
    }
    Owned o = owned.get(r.machine());
    if (o != null && r.token() <= o.token) {
      if (o.lost && r.session() <= o.session) {
        // sent before its lease ran out and delivered late: the tasks it lists are gone for certain
        reply.accept(ReportAnswer.unable());
        return;
      }
      if (r.session() < o.session || (r.session() == o.session && r.seq() <= o.reported)) {
        // A late copy: reports of a worker come one at a time. It renews nothing.
        reply.accept(ReportAnswer.unable());
        return;
      }
      if (r.session() == o.session && r.seq() <= o.seq) {
        // Overtaken by the answer of a direct command: it says nothing new. To refuse it would
        // send a healthy worker to another controller.
        o.reported = r.seq();
        o.lastOk = now;
        reply.accept(ReportAnswer.ok(o.token, List.of()));
        return;
      }
      take(o, r, true);
      reply.accept(answer(o));
      return;
    }
    adopt(r, reply);
  }

  /** Makes this controller the machine's recorded owner; false: refused for the backlog. */
  private boolean record(
      String id, String type, String zone, boolean spot, Consumer<TxnReply> then) {
    String key = Store.MACHINES + id;
    MachineRec rec = new MachineRec(core.node(), store.incarnation(), 0, type, zone, spot);
    return store.transact(
        Store.Urgency.MACHINE,
        new Txn(
            List.of(new Cond(key, store.version(key)), session()),
            List.of(new Put(key, rec, 0)),
            List.of()),
        then);
  }

  /** A change applied late, after this process has ended, must not make it an owner again. */
  private Cond session() {
    String key = Store.SESSIONS + core.node();
    return new Cond(key, store.version(key));
  }

  /**
   * Whether the report is an old one that comes late: its machine is gone, or its owner has told of
   * a newer one. Taking it for the worker itself would take the machine from its live owner, or
   * bring back a machine that was returned.
   */
  private boolean stale(Report r) {
    // Records are made before the first token is shown and dropped once the machine is returned.
    if (r.token() > 0 && store.machine(r.machine()) == null) {
      return true;
    }
    if (returned.contains(r.machine())) {
      return true;
    }
    View.Seen s = core.view().machines.get(r.machine());
    if (s == null || s.m == null || r.session() > s.m.session()) {
      return false;
    }
    return r.session() < s.m.session() || s.m.lost() || r.seq() <= s.m.seq();
  }

  /**
   * The recorded owner, if it lives, is served and still hears the machine by what it has just
   * told: the report may be a late copy that is newer than the last statement. Only once in a
   * while, so that a worker that can't reach its owner any more is soon taken over.
   */
  private String liveOwner(Report r, long now) {
    MachineRec old = store.machine(r.machine());
    View.Seen s = core.view().machines.get(r.machine());
    if (old == null || s == null || s.m == null || old.node().equals(core.node())) {
      return null;
    }
    View.Peer p = core.view().peer(old.node());
    boolean heard =
        store.live(old.node(), old.incarnation())
            && old.node().equals(s.owner)
            && s.m.token() == old.token()
            && s.m.confirmed()
            && !s.m.silent()
            && now - p.rosterAt < Constants.ROSTER_EVERY_MS + Constants.ROSTER_LATE_MS
            && now - p.mirrorFreshAt < Constants.CUT_OFF_MS + Constants.WATCH_HOLD_MS;
    Long before = sentBack.get(r.machine());
    return heard && (before == null || now - before > Constants.REDIRECT_AGAIN_MS)
        ? old.node()
        : null;
  }

  /** Makes this controller the recorded owner, under a larger token, before the first 200. */
  private void adopt(Report r, Consumer<ReportAnswer> reply) {
    long now = core.now();
    MachineType type = core.types().get(r.type());
    if (type == null) {
      reply.accept(ReportAnswer.unable());
      return;
    }
    if (stale(r)) {
      reply.accept(ReportAnswer.unable());
      return;
    }
    String owner = liveOwner(r, now);
    if (owner != null) {
      sentBack.put(r.machine(), now);
      reply.accept(ReportAnswer.elsewhere(owner));
      return;
    }
    if (r.token() == 0) {
      String better = core.preferredOwner(r.machine(), r.zone());
      Long before = redirected.get(r.machine());
      if (!better.equals(core.node())
          && (before == null || now - before > Constants.REDIRECT_AGAIN_MS)) {
        redirected.put(r.machine(), now);
        if (redirected.size() > 2_000) {
          redirected.clear();
        }
        reply.accept(ReportAnswer.elsewhere(better));
        return;
      }
    }
    Long since = adopting.get(r.machine());
    if (since != null && now - since < 3 * Constants.STATE_TIMEOUT_MS) {
      reply.accept(ReportAnswer.unable());
      return;
    }
    if (!store.sessionGood()) {
      reply.accept(ReportAnswer.unable());
      return;
    }
    adopting.put(r.machine(), now);
    arriving.add(new Arriving(r, type, reply));
    planBatch();
  }

  private void planBatch() {
    if (batchPlanned) {
      return;
    }
    batchPlanned = true;
    core.after(Constants.ADOPT_JOIN_MS, this::adoptAll);
  }

  private record Arriving(Report report, MachineType type, Consumer<ReportAnswer> reply) {}

  /**
   * Takes over the machines that have turned here since, in as few changes as can be. No comparison
   * of their records is needed: whoever writes later owns them, under the larger token, which is
   * the revision of the change.
   */
  private void adoptAll() {
    batchPlanned = false;
    // While changes wait for the state service's rate, more machines join the next batch. With one
    // change for every 40 ms the queue outgrew the 4 s for which workers wait: each turned to the
    // next controller, was adopted there as late, and so on for a minute.
    boolean waits = adoptionsOpen > 0 && core.now() - batchSentAt < Constants.ADOPT_WAIT_MS;
    if (waits) {
      planBatch();
      return;
    }
    batchSentAt = core.now();
    List<Arriving> all = new ArrayList<>(arriving);
    arriving.clear();
    int most = Math.max(1, core.settings().valueBytes() / Constants.GROUP_BYTES - 2);
    List<Arriving> part;
    for (int from = 0; from < all.size(); from += part.size()) {
      part = fitting(all.subList(from, Math.min(all.size(), from + most)));
      boolean asked;
      List<Arriving> these = part;
      adoptionsOpen++;
      Consumer<TxnReply> then =
          res -> {
            adoptionsOpen--;
            these.forEach(a -> adopted(a, res));
          };
      if (part.size() == 1) {
        Report r = part.get(0).report;
        asked = record(r.machine(), r.type(), r.zone(), r.spot(), then);
      } else {
        String key = Store.GROUPS + store.incarnation() + "-" + ++groups;
        Put put = new Put(key, group(part), 0);
        asked =
            store.transact(
                Store.Urgency.MACHINE,
                new Txn(List.of(new Cond(key, 0), session()), List.of(put), List.of()),
                then);
      }
      if (!asked) {
        then.accept(new TxnReply(Code.REFUSED, 0));
      }
    }
  }

  /** As many of the machines as fit one value, with the names that they really have. */
  private List<Arriving> fitting(List<Arriving> some) {
    return ValueSize.fitting(
        some, part -> core.effects().encodedSize(group(part)), core.settings().valueBytes());
  }

  private GroupRec group(List<Arriving> part) {
    List<GroupMachine> machines = new ArrayList<>();
    for (Arriving a : part) {
      Report r = a.report;
      machines.add(new GroupMachine(r.machine(), r.type(), r.zone(), r.spot()));
    }
    return new GroupRec(core.node(), store.incarnation(), machines);
  }

  /** This controller's from the change of that revision on, which is its term too. */
  private Owned own(String id, MachineType type, String zone, boolean spot, long revision) {
    Owned o = new Owned(id, type, zone, spot, revision, revision);
    o.idleSince = core.now();
    // reports don't name images: without what its last owner told of them, tasks were sent to
    // machines that had to fetch theirs, each time that machines changed owner
    View.Seen seen = core.view().machines.get(id);
    if (seen != null && seen.m != null) {
      o.images.addAll(seen.m.images());
    }
    owned.put(id, o);
    gone.remove(id);
    return o;
  }

  private void adopted(Arriving a, TxnReply res) {
    Report r = a.report;
    adopting.remove(r.machine());
    Store.Held now = store.held(Store.MACHINES + r.machine());
    if (res.code() != Code.OK || now == null || now.version() != res.revision()) {
      // not written, or somebody has written since
      a.reply.accept(ReportAnswer.unable());
      return;
    }
    Owned before = owned.get(r.machine());
    Owned o = own(r.machine(), a.type, r.zone(), r.spot(), res.revision());
    if (before != null) {
      o.images.addAll(before.images);
    }
    LOG.info(
        "machine {} ({}, {}) adopted under term {} (reported {})",
        o.id,
        r.type(),
        r.zone(),
        o.token,
        r.token());
    take(o, r, true);
    a.reply.accept(answer(o));
  }

  /**
   * {@code byReport}: the worker sent it by itself, so earlier responses to its reports are dead.
   */
  private void take(Owned o, Report r, boolean byReport) {
    long now = core.now();
    if (r.session() > o.session) {
      o.told.clear();
      clearOrdered(o); // the worker refuses commands for an earlier session
      o.reported = 0;
      if (o.session != 0 && o.confirmed && now - o.lastOk < core.settings().leaseMs() / 2) {
        // Its lease ran out although it was answered: it doesn't hear. It gets no task before it
        // has shown a new term; once a deaf machine drew start after start.
        LOG.info("machine {} lost its lease although it was answered", o.id);
        o.dangling = true;
        raise(o);
      }
      // Its lease counts from when the session began, which may be known from a direct command's
      // answer alone: counted from the former session's last report, a machine that reaches no
      // controller was written off with tasks that it had just got.
      o.lastOk = Math.max(o.lastOk, now);
    }
    o.touched = true;
    if (byReport) {
      o.reported = r.seq();
    }
    if (o.dangling && !o.raising && r.token() >= o.token && o.raised) {
      clearOrdered(o);
    }
    o.session = r.session();
    o.seq = r.seq();
    o.heardAt = now;
    o.addr = r.addr();
    o.lost = false;
    if (r.token() >= o.token) {
      o.confirmed = true;
    }
    o.noticeUntil = r.noticeS() == null ? Long.MAX_VALUE : now + (long) (r.noticeS() * 1000);
    Map<Attempt, TaskReport> before = new HashMap<>(o.tasks);
    o.tasks.clear();
    for (TaskReport t : r.tasks()) {
      Attempt k = new Attempt(t.job(), t.task(), t.attempt());
      o.tasks.put(k, t);
      TaskReport b = before.get(k);
      boolean changed = b == null || b.state() != t.state();
      if (!changed) {
        continue;
      }
      JobRec j = store.job(t.job());
      if (j != null && (t.state() == TaskState.RUNNING || t.why() == Why.DONE)) {
        image(o, j.spec());
      }
      if (t.state() == TaskState.EXITED) {
        ended(o, t);
      }
    }
    o.replaced.retainAll(o.tasks.keySet());
    Iterator<Booked> it = o.booked.values().iterator();
    while (it.hasNext()) {
      Booked b = it.next();
      Key k = new Key(b.order.job(), b.order.task());
      if (o.tasks.containsKey(new Attempt(k.job(), k.task(), b.order.attempt()))) {
        it.remove();
      } else if (!byReport || o.ordered.containsKey(k)) {
        continue; // may still arrive at the worker
      } else if (core.wall() > b.order.expiryWallMs()) {
        // sent or not: a response is never executed once a later report was sent, and this is one
        it.remove();
      }
    }
    if (o.tasks.isEmpty() && o.booked.isEmpty()) {
      if (o.idleSince == 0) {
        o.idleSince = now;
      }
    } else {
      o.idleSince = 0;
    }
    dirty = true;
  }

  private void image(Owned o, JobSpec j) {
    if (j.image() == null) {
      return;
    }
    o.images.remove(j.image());
    o.images.add(j.image());
    double sum = 0;
    List<String> newestFirst = new ArrayList<>(o.images);
    java.util.Collections.reverse(newestFirst);
    for (String i : newestFirst) {
      sum += core.imageGb(i);
      if (sum > o.type.cacheGb() && !i.equals(j.image())) {
        o.images.remove(i);
      }
    }
  }

  private void ended(Owned o, TaskReport t) {
    if (t.why() == Why.DONE) {
      o.errorsInRow = 0;
    } else if (t.why() == Why.ERROR && !core.jobAtFault(t.job())) {
      o.errorsInRow++;
      LOG.info("task {}/{} failed on {}, {} in a row", t.job(), t.task(), o.id, o.errorsInRow);
      if (o.errorsInRow >= Constants.FAULTY_ERRORS) {
        o.quarantineUntil = core.now() + Constants.QUARANTINE_MS;
        if (o.errorsInRow >= Constants.BROKEN_ERRORS) {
          o.replace = true;
        }
      }
    }
  }

  /** Whether the task runs again after this end, whose only trace is what statements tell of it. */
  private boolean runsAgain(TaskReport t) {
    if (t.why() != Why.DONE) {
      return true;
    }
    JobRec j = store.job(t.job());
    return j != null && j.spec().service();
  }

  private ReportAnswer answer(Owned o) {
    long now = core.now();
    o.touched = true; // what it refuses below is booked no longer
    List<Command> stops = new ArrayList<>();
    List<Command> forgets = new ArrayList<>();
    for (TaskReport t : o.tasks.values()) {
      Key k = new Key(t.job(), t.task());
      JobRec j = store.job(t.job());
      boolean done = j != null && core.recordedDone(j, t.task());
      if (t.state() == TaskState.EXITED) {
        boolean forget =
            j != null
                && (core.over(t.job(), j)
                    || done
                    || (runsAgain(t) && o.told.getLong(k) == t.attempt()));
        if (forget && !o.ordered.containsKey(k)) {
          forgets.add(new Command(CommandKind.FORGET, t.job(), t.task(), t.attempt(), 0));
        }
        o.stops.remove(k);
      } else if (core.over(t.job(), j) || done) {
        stops.add(new Command(CommandKind.STOP, t.job(), t.task(), t.attempt(), 0));
      } else {
        StopOrder s = o.stops.get(k);
        if (s != null && s.attempt() == t.attempt()) {
          if (t.state() != TaskState.SAVING) {
            stops.add(new Command(CommandKind.STOP, t.job(), t.task(), t.attempt(), s.graceS()));
          }
        } else if (j != null
            && o.noticeUntil != Long.MAX_VALUE
            && t.state() == TaskState.RUNNING
            && j.spec().checkpointS() > 0
            && o.noticeUntil - now < (j.spec().saveS() + 4) * 1000) {
          stops.add(
              new Command(CommandKind.STOP, t.job(), t.task(), t.attempt(), j.spec().saveS() + 1));
        }
      }
    }
    o.stops.keySet().removeIf(k -> !here(o, k));
    List<Command> all = new ArrayList<>(forgets);
    all.addAll(stops);
    Iterator<Booked> it = o.booked.values().iterator();
    while (it.hasNext() && all.size() < Constants.COMMANDS_MAX) {
      Booked b = it.next();
      JobRec j = store.job(b.order.job());
      Key k = new Key(b.order.job(), b.order.task());
      if (o.ordered.containsKey(k)) {
        continue;
      }
      boolean unwanted =
          core.over(b.order.job(), j) || j != null && core.recordedDone(j, b.order.task());
      if (unwanted || o.stops.containsKey(k) || core.wall() > b.order.expiryWallMs()) {
        // every earlier response is dead by now (this answers a later report), so it never runs
        it.remove();
        refuse(b.order, unwanted ? "not wanted any more" : "too late");
        continue;
      }
      b.sent = true;
      all.add(new Command(CommandKind.START, b.order.job(), b.order.task(), b.order.attempt(), 0));
    }
    o.lastOk = now;
    return ReportAnswer.ok(o.token, all);
  }

  // ---- commands to the worker's own address --------------------------------------------------
  /** Sends what waits for a machine's next report to its own address, one request at a time. */
  void push() {
    if (toPush.isEmpty()) {
      return;
    }
    List<Owned> now = new ArrayList<>(toPush);
    toPush.clear();
    for (Owned o : now) {
      if (owned.get(o.id) != o || o.stops.isEmpty() && o.booked.isEmpty()) {
        continue;
      }
      if (core.now() - o.orderedAt < Constants.ORDER_GAP_MS) {
        toPush.add(o);
      } else {
        push(o);
      }
    }
  }

  private void push(Owned o) {
    long now = core.now();
    if (o.ordering || o.dangling || o.raising || o.addr == null || o.session == 0 || !o.confirmed) {
      return;
    }
    if (silent(o) || !core.mayKeepAlive()) {
      return;
    }
    List<Command> out = new ArrayList<>();
    List<Booked> starts = new ArrayList<>();
    for (Map.Entry<Key, StopOrder> e : o.stops.entrySet()) {
      Key k = e.getKey();
      TaskReport t = o.tasks.get(new Attempt(k.job(), k.task(), e.getValue().attempt()));
      if (t == null || t.state() == TaskState.EXITED || t.state() == TaskState.SAVING) {
        continue;
      }
      out.add(new Command(CommandKind.STOP, t.job(), t.task(), t.attempt(), e.getValue().graceS()));
    }
    for (Booked b : o.booked.values()) {
      Key k = new Key(b.order.job(), b.order.task());
      JobRec j = store.job(b.order.job());
      if (b.sent || o.stops.containsKey(k) || j == null || core.over(k.job(), j)) {
        continue;
      }
      if (core.wall() > b.order.expiryWallMs() || out.size() >= Constants.COMMANDS_MAX) {
        continue;
      }
      out.add(new Command(CommandKind.START, b.order.job(), b.order.task(), b.order.attempt(), 0));
      starts.add(b);
    }
    if (out.isEmpty()) {
      return;
    }
    for (Booked b : starts) {
      b.sent = true;
      o.ordered.put(new Key(b.order.job(), b.order.task()), b.order.attempt());
    }
    o.ordering = true;
    o.orderedAt = now;
    long session = o.session;
    core.effects()
        .order(
            o.addr,
            o.token,
            session,
            out,
            r -> {
              o.ordering = false;
              if (owned.get(o.id) != o || o.session != session) {
                return;
              }
              if (r.code() == Code.UNKNOWN) {
                if (o.ordered.isEmpty()) {
                  return;
                }
                LOG.info("commands to {} went astray: raising its term", o.id);
                o.dangling = true;
                raise(o);
                return;
              }
              clearOrdered(o);
              Report rep = r.report();
              if (rep != null
                  && !o.lost
                  && rep.machine().equals(o.id)
                  && (rep.session() > o.session
                      || (rep.session() == o.session && rep.seq() > o.seq))) {
                take(o, rep, false);
              }
              toPush.add(o);
            });
  }

  private static void clearOrdered(Owned o) {
    o.ordered.clear();
    o.dangling = false;
    o.raised = false;
  }

  /**
   * Once the worker has shown a larger term, commands that went astray under the old one are dead.
   */
  private void raise(Owned o) {
    if (o.raising || o.raised) {
      return;
    }
    o.raising = true;
    boolean asked =
        record(
            o.id,
            o.type.name(),
            o.zone,
            o.spot,
            r -> {
              o.raising = false;
              if (r.code() != Code.OK || owned.get(o.id) != o) {
                return;
              }
              o.token = r.revision();
              o.version = r.revision();
              o.confirmed = false;
              o.raised = true;
              o.touched = true;
              dirty = true;
            });
    if (!asked) {
      o.raising = false;
    }
  }

  // ---- orders from holders ------------------------------------------------------------------
  /** Starts from a holder; each is booked or refused. */
  void starts(Starts s) {
    for (StartOrder o : s.starts()) {
      String no = vet(s, o);
      if (no == null) {
        Owned m = owned.get(o.machine());
        m.booked.put(new Key(o.job(), o.task()), new Booked(o, store.job(o.job()).spec()));
        for (TaskRef t : o.instead()) {
          Attempt a = new Attempt(t.job(), t.task(), t.attempt());
          if (!m.tasks.containsKey(a) || !m.replaced.add(a)) {
            continue;
          }
          LOG.info("{}/{} stops {}/{} on {}", o.job(), o.task(), t.job(), t.task(), m.id);
          core.metrics().count("preemptions");
          StopOrder stop = new StopOrder(m.id, t.job(), t.task(), t.attempt(), 0);
          m.stops.put(new Key(t.job(), t.task()), stop);
        }
        m.idleSince = 0;
        m.touched = true;
        toPush.add(m);
        LOG.debug(
            "start {}/{} attempt {} booked on {}", o.job(), o.task(), o.attempt(), o.machine());
      } else {
        refuse(o, no);
      }
    }
    dirty = true;
  }

  private void refuse(StartOrder o, String why) {
    LOG.debug(
        "not possible: {}/{} attempt {} on {}: {}",
        o.job(),
        o.task(),
        o.attempt(),
        o.machine(),
        why);
    core.metrics().count("refusals");
    refusals.add(new Refusal(o.machine(), o.job(), o.task(), o.attempt(), why));
    dirty = true;
  }

  private String vet(Starts s, StartOrder o) {
    Owned m = owned.get(o.machine());
    if (m == null || m.version > store.revision()) {
      return "not the owner";
    }
    if (!core.mayKeepAlive()) {
      return "cut off";
    }
    JobRec j = store.job(o.job());
    if (j == null) {
      return NOT_KNOWN;
    }
    if (core.over(o.job(), j)) {
      return "job is over";
    }
    if (o.epoch() < j.epoch()) {
      return "older epoch";
    }
    if (!store.live(s.node(), s.incarnation())) {
      return "holder's session is gone";
    }
    if (core.wall() > o.expiryWallMs()) {
      return "expired";
    }
    JobSpec spec = j.spec();
    if (core.recordedDone(j, o.task())) {
      return "done already";
    }
    if (!allowed(spec, m.type.name(), m.zone, m.spot)) {
      return "machine not allowed";
    }
    if (!m.confirmed) {
      return "machine doesn't show that it hears";
    }
    if (!usable(m) || m.drainUntil > core.now()) {
      return "machine set aside";
    }
    Key k = new Key(o.job(), o.task());
    if (here(m, k)) {
      return "task is here already";
    }
    double[] free = free(m);
    for (TaskRef t : o.instead()) {
      TaskReport r = m.tasks.get(new Attempt(t.job(), t.task(), t.attempt()));
      JobRec other = store.job(t.job());
      if (r == null || r.state() == TaskState.EXITED || other == null) {
        continue; // its room is free
        // what is replaced already is counted as free room, and only once
      }
      if (!m.replaced.contains(new Attempt(t.job(), t.task(), t.attempt()))) {
        minus(free, other.spec(), -1);
      }
    }
    if (spec.cpus() > free[0] + 1e-6
        || spec.gpus() > free[1] + 1e-6
        || spec.memoryGb() > free[2] + 1e-6) {
      return "no room";
    }
    return null;
  }

  private static boolean here(Owned m, Key k) {
    if (m.booked.containsKey(k)) {
      return true;
    }
    for (Attempt a : m.tasks.keySet()) {
      if (a.task() == k.task() && a.job().equals(k.job())) {
        return true;
      }
    }
    return false;
  }

  static boolean allowed(JobSpec j, String type, String zone, boolean spot) {
    return (j.types() == null || j.types().contains(type))
        && (j.zone() == null || j.zone().equals(zone))
        && (!spot || j.spot());
  }

  /** A machine whose reports come to nobody answers commands, but loses its tasks each lease. */
  private boolean usable(Owned m) {
    long now = core.now();
    return !m.lost
        && !m.replace
        && m.noticeUntil == Long.MAX_VALUE
        && m.quarantineUntil <= now
        && !silent(m)
        && now - m.lastOk <= silenceMs();
  }

  /** A machine not heard for so long gets no tasks. */
  private long silenceMs() {
    return Math.max(Constants.SILENT_MS, core.settings().reportMs() * 2);
  }

  private boolean silent(Owned m) {
    return core.now() - m.heardAt > silenceMs();
  }

  private double[] free(Owned m) {
    double[] f = {m.type.cpus(), m.type.gpus(), m.type.memoryGb()};
    for (TaskReport t : m.tasks.values()) {
      if (t.state() == TaskState.EXITED) {
        continue;
      }
      if (m.replaced.contains(new Attempt(t.job(), t.task(), t.attempt()))) {
        continue;
      }
      JobRec j = store.job(t.job());
      if (j != null) {
        minus(f, j.spec(), 1);
      }
    }
    for (Booked b : m.booked.values()) minus(f, b.spec, 1);
    return f;
  }

  private static void minus(double[] f, JobSpec s, int times) {
    f[0] -= times * s.cpus();
    f[1] -= times * s.gpus();
    f[2] -= times * s.memoryGb();
  }

  void stops(Stops s) {
    for (StopOrder o : s.stops()) {
      Owned m = owned.get(o.machine());
      if (m == null) {
        continue;
      }
      Key k = new Key(o.job(), o.task());
      Booked b = m.booked.get(k);
      if (m.tasks.containsKey(new Attempt(o.job(), o.task(), o.attempt()))
          || (b != null && b.order.attempt() == o.attempt())) {
        LOG.info(
            "stop {}/{} attempt {} on {} asked by {}",
            o.job(),
            o.task(),
            o.attempt(),
            o.machine(),
            s.node());
        m.stops.put(k, o);
        toPush.add(m);
      }
    }
    for (String d : s.drains()) {
      Owned m = owned.get(d);
      if (m != null) {
        m.drainUntil = core.now() + Constants.DRAIN_LIFE_MS;
        dirty = true;
      }
    }
  }

  // ---- mirror -------------------------------------------------------------------------------
  void machineChanged(String id, MachineRec rec) {
    if (rec == null) {
      returned.add(id);
      if (returned.size() > Constants.GONE_KEPT) {
        returned.remove(returned.iterator().next());
      }
    } else {
      ownedBetween(id, rec);
    }
    Owned o = owned.get(id);
    if (o == null) {
      return;
    }
    if (rec == null) {
      disown(id);
    } else if (rec.node().equals(core.node()) && rec.incarnation() == store.incarnation()) {
      // this controller's own raise or adoption, seen before its answer is handled
      if (!o.raising && rec.token() > o.token) {
        disown(id);
      }
    } else if (rec.token() > o.token) {
      LOG.info("machine {} is now owned by {} under term {}", id, rec.node(), rec.token());
      disown(id);
    }
  }

  /**
   * Another controller owned the machine between the record that this one took over from its former
   * process and its own. That one may have answered the worker since, so the lease doesn't count
   * from the former process's end: the machine can't be written off before it is confirmed.
   */
  void overtaken(String id, MachineRec rec) {
    ownedBetween(id, rec);
    Owned o = owned.get(id);
    if (o != null && o.reclaimed && !rec.node().equals(core.node())) {
      o.disputed = true;
    }
  }

  /** The same, told while the record is still being asked for. */
  private void ownedBetween(String id, MachineRec rec) {
    if (!rec.node().equals(core.node())) {
      reclaiming.computeIfPresent(id, (k, v) -> true);
    }
  }

  /**
   * Records that name a former process of this controller: that process is dead, so nobody answers
   * those machines unless they have gone to another controller, which {@link #overtaken} tells at
   * the latest before the write-off.
   */
  void reclaim() {
    for (Map.Entry<String, Store.Held> e :
        new ArrayList<>(store.under(Store.MACHINES).entrySet())) {
      MachineRec rec = (MachineRec) e.getValue().value();
      if (!rec.node().equals(core.node()) || rec.incarnation() == store.incarnation()) {
        continue;
      }
      String id = e.getKey().substring(Store.MACHINES.length());
      MachineType type = core.types().get(rec.type());
      if (type == null || owned.containsKey(id) || adopting.containsKey(id)) {
        continue;
      }
      adopting.put(id, core.now());
      reclaiming.put(id, false);
      boolean asked =
          record(
              id,
              rec.type(),
              rec.zone(),
              rec.spot(),
              r -> {
                adopting.remove(id);
                boolean between = reclaiming.remove(id);
                if (r.code() != Code.OK || owned.containsKey(id)) {
                  return;
                }
                Owned o = own(id, type, rec.zone(), rec.spot(), r.revision());
                o.reclaimed = true;
                o.disputed = between;
                // the former process may have answered until just before this one began
                o.lastOk = core.startedAt();
                o.heardAt = core.now() - Constants.SILENT_MS;
                LOG.info("machine {} kept from the former process, term {}", id, o.token);
                dirty = true;
              });
      if (!asked) {
        adopting.remove(id);
        reclaiming.remove(id);
      }
    }
  }

  /**
   * A controller without state service and peers may go on answering its workers after its session
   * is gone; they never turn to another then, and every job taken over would wait for them. So each
   * is asked directly, by one of the others, and shown a larger term: from then on it drops what
   * its former owner says, which sends it away in turn when it sees that term. What can't be
   * reached, as in a zone that is cut off, is left alone.
   */
  private void seize(long now) {
    if (now < nextSeize || !store.sessionGood()) {
      return;
    }
    nextSeize = now + Constants.SEIZE_EVERY_MS;
    Set<String> orphans = new HashSet<>();
    int most = Constants.SEIZE_MOST;
    for (Map.Entry<String, Store.Held> e : store.under(Store.MACHINES).entrySet()) {
      MachineRec rec = (MachineRec) e.getValue().value();
      if (store.live(rec.node(), rec.incarnation())) {
        continue;
      }
      String id = e.getKey().substring(Store.MACHINES.length());
      orphans.add(id);
      long since = orphanSince.computeIfAbsent(id, k -> now);
      View.Seen s = core.view().machines.get(id);
      if (now - since < Constants.SEIZE_AFTER_MS || s == null || s.m == null) {
        continue;
      }
      if (s.m.addr() == null || adopting.containsKey(id) || most <= 0) {
        continue;
      }
      if (now - asked.getOrDefault(id, Long.MIN_VALUE / 2) < Constants.SEIZE_AGAIN_MS) {
        continue;
      }
      if (!core.preferredOwner(id, rec.zone()).equals(core.node())) {
        continue;
      }
      most--;
      asked.put(id, now);
      // no session is 0, so this is refused, with the worker's report
      core.effects().order(s.m.addr(), 0, 0, List.of(), r -> seize(id, rec, r.report()));
    }
    sentBack.values().removeIf(at -> now - at > Constants.REDIRECT_AGAIN_MS);
    orphanSince.keySet().retainAll(orphans);
    asked.keySet().retainAll(orphans);
  }

  private void seize(String id, MachineRec old, Report r) {
    MachineType type = core.types().get(old.type());
    MachineRec now = store.machine(id);
    if (r == null || !r.machine().equals(id) || type == null || !old.equals(now)) {
      return;
    }
    if (adopting.containsKey(id) || owned.containsKey(id)) {
      return;
    }
    adopting.put(id, core.now());
    boolean wrote =
        record(
            id,
            old.type(),
            old.zone(),
            old.spot(),
            res -> {
              adopting.remove(id);
              if (res.code() != Code.OK || owned.containsKey(id)) {
                return;
              }
              Owned o = own(id, type, old.zone(), old.spot(), res.revision());
              // until it shows the new term, its former owner may renew its lease
              o.lastOk = core.now();
              take(o, r, false);
              LOG.info("machine {} taken from {}, which is gone, term {}", id, old.node(), o.token);
              show(o);
            });
    if (!wrote) {
      adopting.remove(id);
    }
  }

  /** Shows the worker the term without any command. */
  private void show(Owned o) {
    core.effects()
        .order(
            o.addr,
            o.token,
            o.session,
            List.of(),
            r -> {
              if (owned.get(o.id) != o || r.code() != Code.OK || r.report() == null) {
                return;
              }
              o.lastOk = core.now();
              if (r.report().session() > o.session || r.report().seq() > o.seq) {
                take(o, r.report(), false);
              }
            });
  }

  // ---- duties -------------------------------------------------------------------------------
  void tick() {
    long now = core.now();
    seize(now);
    long writeOff =
        (long) (core.settings().leaseMs() * (1 + 2 * Constants.DRIFT))
            + Constants.WRITE_OFF_MARGIN_MS;
    for (Owned o : owned.values()) {
      if (o.dangling && !o.raised) {
        raise(o);
      }
      if (o.lost || now - o.lastOk <= writeOff) {
        continue;
      }
      // unconfirmed: a former owner may still be answering it, unless it was our own former process
      // (a late copy of a report to that one may have told a session: that changes nothing)
      if (!o.confirmed && (!o.reclaimed || o.disputed)) {
        continue;
      }
      // Who owned it between the former process and this one may still be unknown here: a group's
      // record isn't compared with. Written off then, its tasks were started a second time.
      if (o.reclaimed && o.version > store.revision()) {
        continue;
      }
      // the mirror has passed the end of the lease and still names this controller
      if (store.freshAt() <= o.lastOk + writeOff) {
        continue;
      }
      LOG.info(
          "machine {} written off with {} tasks: silent beyond its lease", o.id, o.tasks.size());
      o.lost = true;
      o.confirmed = true;
      o.tasks.clear();
      o.booked.clear();
      o.stops.clear();
      o.replaced.clear();
      clearOrdered(o);
      o.idleSince = now;
      o.touched = true;
      dirty = true;
    }
    sweep(now);
    for (Owned o : owned.values())
      if (!o.stops.isEmpty() || !o.booked.isEmpty()) {
        toPush.add(o);
      }
    push();
    long since = now - lastRoster;
    if ((dirty && since >= Constants.ROSTER_GAP_MS) || since >= Constants.ROSTER_EVERY_MS) {
      sendRosters();
    }
  }

  /** Drops groups that say nothing any more, one at a time. */
  private void sweep(long now) {
    if (now < nextSweep || !store.sessionGood()) {
      return;
    }
    nextSweep = now + Constants.SWEEP_EVERY_MS;
    for (String key : store.spentGroups()) {
      GroupRec g = (GroupRec) store.held(key).value();
      boolean mine = g.node().equals(core.node()) || !store.live(g.node(), g.incarnation());
      if (!mine) {
        continue;
      }
      store.transact(
          Store.Urgency.BACKGROUND, new Txn(List.of(), List.of(), List.of(key)), r -> {});
      return;
    }
  }

  private void sendRosters() {
    if (store.incarnation() == 0 || !store.synced()) {
      return;
    }
    dirty = false;
    long now = core.now();
    lastRoster = now;
    serial++;
    madeAt.put(serial, now);
    if (madeAt.size() > Constants.STATEMENTS_DATED) {
      madeAt.removeFirstLong();
    }
    List<Owned> changed = state(now);
    List<Refusal> no = new ArrayList<>(refusals);
    refusals.clear();
    for (String p : core.settings().peers()) {
      View.Peer peer = core.view().peer(p);
      core.effects().send(p, roster(peer, now - store.freshAt(), no));
    }
    View.Peer me = core.view().peer(core.node());
    List<RosterMachine> mine = new ArrayList<>();
    for (Owned o : changed) mine.add(o.said);
    core.rosterFrom(
        new Roster(
            core.node(),
            store.incarnation(),
            serial,
            me.serial,
            store.incarnation(),
            serial,
            store.revision(),
            me.gotIncarnation,
            me.gotConnection,
            me.gotSeq,
            0,
            List.of(),
            mine,
            goneSince(me.serial),
            no));
  }

  /** What the peer doesn't know for certain yet, or all if it can't be told as a difference. */
  private Roster roster(View.Peer p, long sinceMirror, List<Refusal> no) {
    long since = p.knows >= forgotten ? p.knows : 0;
    List<RosterMachine> ms = new ArrayList<>();
    for (Owned o : owned.values())
      if (o.saidIn > since) {
        ms.add(o.said);
      }
    // to acknowledge what it said would vouch for all cancellations newer than its mirror
    boolean vouches = p.rosterRevision > 0 && core.cancellations().keeps(p.rosterRevision);
    return new Roster(
        core.node(),
        store.incarnation(),
        serial,
        since,
        vouches ? p.heardIncarnation : 0,
        vouches ? p.heardSerial : 0,
        store.revision(),
        p.gotIncarnation,
        p.gotConnection,
        p.gotSeq,
        sinceMirror,
        vouches ? core.cancellations().since(p.rosterRevision) : List.of(),
        ms,
        since == 0 ? List.of() : goneSince(since),
        no);
  }

  /** When this statement was made; never, if it is forgotten or unknown. */
  long statementSentAt(long serial) {
    return madeAt.getOrDefault(serial, Long.MIN_VALUE / 2);
  }

  private List<String> goneSince(long since) {
    List<String> out = new ArrayList<>();
    gone.forEach(
        (id, in) -> {
          if (in > since) {
            out.add(id);
          }
        });
    return out;
  }

  private void disown(String id) {
    if (owned.remove(id) == null) {
      return;
    }
    gone.put(id, serial + 1);
    dirty = true;
    if (gone.size() > Constants.GONE_KEPT) {
      forgotten = serial + 1;
      gone.clear();
    }
  }

  /** Makes the new statement: every machine of which something else is to be said than before. */
  private List<Owned> state(long now) {
    List<Owned> changed = new ArrayList<>();
    for (Owned o : owned.values()) {
      boolean lately = o.said != null && now - o.saidAt < Constants.RESTATE_MS;
      if (lately && !o.touched && !drifted(o, now)) {
        continue;
      }
      o.touched = false;
      RosterMachine m = tell(o, now);
      if (lately && m.sameAs(o.said)) {
        continue;
      }
      o.said = m;
      o.saidIn = serial;
      o.saidAt = now;
      changed.add(o);
      for (TaskReport t : o.tasks.values()) {
        if (t.state() == TaskState.EXITED && runsAgain(t)) {
          o.told.put(new Key(t.job(), t.task()), t.attempt());
        }
      }
    }
    return changed;
  }

  /** Whether time alone has changed what is to be said of a machine. */
  private boolean drifted(Owned o, long now) {
    return usable(o) != o.said.usable()
        || silent(o) != o.said.silent()
        || (o.drainUntil > now) != o.said.draining();
  }

  /**
   * The machines of which the last statement says something else than what is known, although
   * nothing marks them to be told anew; none, or a start could pass for one that never arrived. For
   * comparison with the slow way, which is to tell all each time.
   */
  List<String> untold() {
    List<String> out = new ArrayList<>();
    long now = core.now();
    for (Owned o : owned.values()) {
      if (o.said == null || o.touched || drifted(o, now)) {
        continue;
      }
      if (!tell(o, now).sameAs(o.said)) {
        out.add(o.id);
      }
    }
    return out;
  }

  private RosterMachine tell(Owned o, long now) {
    List<RosterTask> ts = new ArrayList<>(o.tasks.size() + o.booked.size());
    for (TaskReport t : o.tasks.values()) {
      ts.add(new RosterTask(t.job(), t.task(), t.attempt(), t.state(), t.why()));
    }
    for (Booked b : o.booked.values()) {
      ts.add(new RosterTask(b.order.job(), b.order.task(), b.order.attempt(), null, null));
    }
    double[] f = free(o);
    boolean idle = o.tasks.isEmpty() && o.booked.isEmpty();
    return new RosterMachine(
        o.id,
        o.addr,
        o.token,
        o.version,
        o.session,
        o.seq,
        o.confirmed,
        usable(o),
        o.drainUntil > now,
        o.replace,
        silent(o),
        o.lost,
        o.type.name(),
        o.zone,
        o.spot,
        o.noticeUntil == Long.MAX_VALUE ? -1 : Math.max(0, (o.noticeUntil - now) / 1000.0),
        f[0],
        f[1],
        f[2],
        o.lost || silent(o)
            ? Math.max(1, now - o.heardAt)
            : idle && o.idleSince > 0 ? Math.max(1, now - o.idleSince) : 0,
        List.copyOf(o.images),
        ts);
  }

  /** The roomiest machines, as many as fit into one value of the state service. */
  List<Room> rooms() {
    List<Room> out = new ArrayList<>();
    for (Owned o : owned.values()) {
      if (!usable(o)) {
        continue;
      }
      double[] f = free(o);
      out.add(new Room(o.id, f[0], f[1], f[2]));
    }
    // two hundred machines once made a value that the state service refused
    int most = Math.max(1, core.settings().valueBytes() / Constants.ROOM_BYTES - 2);
    if (out.size() <= most) {
      return out;
    }
    out.sort(Comparator.comparingDouble(Room::cpus).reversed());
    return out.subList(0, most);
  }
}
