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
    for (Owned machine : owned.values()) {
      for (TaskReport task : machine.tasks.values()) {
        if (task.state() != TaskState.FETCHING || !task.job().equals(job)) {
          continue;
        }
        machine.stops.put(
            new Key(job, task.task()),
            new StopOrder(machine.id, job, task.task(), task.attempt(), 0));
        toPush.add(machine);
      }
    }
  }

  /**
   * A job has become known whose tasks may be on machines that came over from an owner whose mirror
   * was ahead: only now their room counts. Until the next restatement such a machine was told as
   * free.
   */
  void jobKnown(String id) {
    for (Owned machine : owned.values()) {
      for (TaskReport task : machine.tasks.values()) {
        if (!task.job().equals(id)) {
          continue;
        }
        machine.touched = true;
        dirty = true;
        break;
      }
    }
  }

  // ---- reports ------------------------------------------------------------------------------
  void report(Report report, Consumer<ReportAnswer> reply) {
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
    Owned machine = owned.get(report.machine());
    if (machine != null && report.token() <= machine.token) {
      if (machine.lost && report.session() <= machine.session) {
        // sent before its lease ran out and delivered late: the tasks it lists are gone for certain
        reply.accept(ReportAnswer.unable());
        return;
      }
      if (report.session() < machine.session
          || (report.session() == machine.session && report.seq() <= machine.reported)) {
        // A late copy: reports of a worker come one at a time. It renews nothing.
        reply.accept(ReportAnswer.unable());
        return;
      }
      if (report.session() == machine.session && report.seq() <= machine.seq) {
        // Overtaken by the answer of a direct command: it says nothing new. To refuse it would
        // send a healthy worker to another controller.
        machine.reported = report.seq();
        machine.lastOk = now;
        reply.accept(ReportAnswer.ok(machine.token, List.of()));
        return;
      }
      take(machine, report, true);
      reply.accept(answer(machine));
      return;
    }
    adopt(report, reply);
  }

  /** Makes this controller the machine's recorded owner; false: refused for the backlog. */
  private boolean record(
      String id, String type, String zone, boolean spot, Consumer<TxnReply> then) {
    String key = Store.MACHINES + id;
    MachineRec record = new MachineRec(core.node(), store.incarnation(), 0, type, zone, spot);
    return store.transact(
        Store.Urgency.MACHINE,
        new Txn(
            List.of(new Cond(key, store.version(key)), session()),
            List.of(new Put(key, record, 0)),
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
  private boolean stale(Report report) {
    // Records are made before the first token is shown and dropped once the machine is returned.
    if (report.token() > 0 && store.machine(report.machine()) == null) {
      return true;
    }
    if (returned.contains(report.machine())) {
      return true;
    }
    View.Seen machine = core.view().machines.get(report.machine());
    if (machine == null || machine.state == null || report.session() > machine.state.session()) {
      return false;
    }
    return report.session() < machine.state.session()
        || machine.state.lost()
        || report.seq() <= machine.state.seq();
  }

  /**
   * The recorded owner, if it lives, is served and still hears the machine by what it has just
   * told: the report may be a late copy that is newer than the last statement. Only once in a
   * while, so that a worker that can't reach its owner any more is soon taken over.
   */
  private String liveOwner(Report report, long now) {
    MachineRec old = store.machine(report.machine());
    View.Seen machine = core.view().machines.get(report.machine());
    if (old == null || machine == null || machine.state == null || old.node().equals(core.node())) {
      return null;
    }
    View.Peer peer = core.view().peer(old.node());
    boolean heard =
        store.live(old.node(), old.incarnation())
            && old.node().equals(machine.owner)
            && machine.state.token() == old.token()
            && machine.state.confirmed()
            && !machine.state.silent()
            && now - peer.rosterAt < Constants.ROSTER_EVERY_MS + Constants.ROSTER_LATE_MS
            && now - peer.mirrorFreshAt < Constants.CUT_OFF_MS + Constants.WATCH_HOLD_MS;
    Long before = sentBack.get(report.machine());
    return heard && (before == null || now - before > Constants.REDIRECT_AGAIN_MS)
        ? old.node()
        : null;
  }

  /** Makes this controller the recorded owner, under a larger token, before the first 200. */
  private void adopt(Report report, Consumer<ReportAnswer> reply) {
    long now = core.now();
    MachineType type = core.types().get(report.type());
    if (type == null) {
      reply.accept(ReportAnswer.unable());
      return;
    }
    if (stale(report)) {
      reply.accept(ReportAnswer.unable());
      return;
    }
    String owner = liveOwner(report, now);
    if (owner != null) {
      sentBack.put(report.machine(), now);
      reply.accept(ReportAnswer.elsewhere(owner));
      return;
    }
    if (report.token() == 0) {
      String better = core.preferredOwner(report.machine(), report.zone());
      Long before = redirected.get(report.machine());
      if (!better.equals(core.node())
          && (before == null || now - before > Constants.REDIRECT_AGAIN_MS)) {
        redirected.put(report.machine(), now);
        if (redirected.size() > 2_000) {
          redirected.clear();
        }
        reply.accept(ReportAnswer.elsewhere(better));
        return;
      }
    }
    Long since = adopting.get(report.machine());
    if (since != null && now - since < 3 * Constants.STATE_TIMEOUT_MS) {
      reply.accept(ReportAnswer.unable());
      return;
    }
    if (!store.sessionGood()) {
      reply.accept(ReportAnswer.unable());
      return;
    }
    adopting.put(report.machine(), now);
    arriving.add(new Arriving(report, type, reply));
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
          reply -> {
            adoptionsOpen--;
            these.forEach(arrival -> adopted(arrival, reply));
          };
      if (part.size() == 1) {
        Report report = part.get(0).report;
        asked = record(report.machine(), report.type(), report.zone(), report.spot(), then);
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
    for (Arriving arrival : part) {
      Report report = arrival.report;
      machines.add(new GroupMachine(report.machine(), report.type(), report.zone(), report.spot()));
    }
    return new GroupRec(core.node(), store.incarnation(), machines);
  }

  /** This controller's from the change of that revision on, which is its term too. */
  private Owned own(String id, MachineType type, String zone, boolean spot, long revision) {
    Owned machine = new Owned(id, type, zone, spot, revision, revision);
    machine.idleSince = core.now();
    // reports don't name images: without what its last owner told of them, tasks were sent to
    // machines that had to fetch theirs, each time that machines changed owner
    View.Seen seen = core.view().machines.get(id);
    if (seen != null && seen.state != null) {
      machine.images.addAll(seen.state.images());
    }
    owned.put(id, machine);
    gone.remove(id);
    return machine;
  }

  private void adopted(Arriving arrival, TxnReply reply) {
    Report report = arrival.report;
    adopting.remove(report.machine());
    Store.Held now = store.held(Store.MACHINES + report.machine());
    if (reply.code() != Code.OK || now == null || now.version() != reply.revision()) {
      // not written, or somebody has written since
      arrival.reply.accept(ReportAnswer.unable());
      return;
    }
    Owned before = owned.get(report.machine());
    Owned machine =
        own(report.machine(), arrival.type, report.zone(), report.spot(), reply.revision());
    if (before != null) {
      machine.images.addAll(before.images);
    }
    LOG.info(
        "machine {} ({}, {}) adopted under term {} (reported {})",
        machine.id,
        report.type(),
        report.zone(),
        machine.token,
        report.token());
    take(machine, report, true);
    arrival.reply.accept(answer(machine));
  }

  /**
   * {@code byReport}: the worker sent it by itself, so earlier responses to its reports are dead.
   */
  private void take(Owned machine, Report report, boolean byReport) {
    long now = core.now();
    if (report.session() > machine.session) {
      machine.told.clear();
      clearOrdered(machine); // the worker refuses commands for an earlier session
      machine.reported = 0;
      if (machine.session != 0
          && machine.confirmed
          && now - machine.lastOk < core.settings().leaseMs() / 2) {
        // Its lease ran out although it was answered: it doesn't hear. It gets no task before it
        // has shown a new term; once a deaf machine drew start after start.
        LOG.info("machine {} lost its lease although it was answered", machine.id);
        machine.dangling = true;
        raise(machine);
      }
      // Its lease counts from when the session began, which may be known from a direct command's
      // answer alone: counted from the former session's last report, a machine that reaches no
      // controller was written off with tasks that it had just got.
      machine.lastOk = Math.max(machine.lastOk, now);
    }
    machine.touched = true;
    if (byReport) {
      machine.reported = report.seq();
    }
    if (machine.dangling && !machine.raising && report.token() >= machine.token && machine.raised) {
      clearOrdered(machine);
    }
    machine.session = report.session();
    machine.seq = report.seq();
    machine.heardAt = now;
    machine.addr = report.addr();
    machine.lost = false;
    if (report.token() >= machine.token) {
      machine.confirmed = true;
    }
    machine.noticeUntil =
        report.noticeS() == null ? Long.MAX_VALUE : now + (long) (report.noticeS() * 1000);
    Map<Attempt, TaskReport> before = new HashMap<>(machine.tasks);
    machine.tasks.clear();
    for (TaskReport task : report.tasks()) {
      Attempt attempt = new Attempt(task.job(), task.task(), task.attempt());
      machine.tasks.put(attempt, task);
      TaskReport b = before.get(attempt);
      boolean changed = b == null || b.state() != task.state();
      if (!changed) {
        continue;
      }
      JobRec job = store.job(task.job());
      if (job != null && (task.state() == TaskState.RUNNING || task.why() == Why.DONE)) {
        image(machine, job.spec());
      }
      if (task.state() == TaskState.EXITED) {
        ended(machine, task);
      }
    }
    machine.replaced.retainAll(machine.tasks.keySet());
    Iterator<Booked> it = machine.booked.values().iterator();
    while (it.hasNext()) {
      Booked booked = it.next();
      Key key = new Key(booked.order.job(), booked.order.task());
      if (machine.tasks.containsKey(new Attempt(key.job(), key.task(), booked.order.attempt()))) {
        it.remove();
      } else if (!byReport || machine.ordered.containsKey(key)) {
        continue; // may still arrive at the worker
      } else if (core.wall() > booked.order.expiryWallMs()) {
        // sent or not: a response is never executed once a later report was sent, and this is one
        it.remove();
      }
    }
    if (machine.tasks.isEmpty() && machine.booked.isEmpty()) {
      if (machine.idleSince == 0) {
        machine.idleSince = now;
      }
    } else {
      machine.idleSince = 0;
    }
    dirty = true;
  }

  private void image(Owned machine, JobSpec spec) {
    if (spec.image() == null) {
      return;
    }
    machine.images.remove(spec.image());
    machine.images.add(spec.image());
    double sum = 0;
    List<String> newestFirst = new ArrayList<>(machine.images);
    java.util.Collections.reverse(newestFirst);
    for (String i : newestFirst) {
      sum += core.imageGb(i);
      if (sum > machine.type.cacheGb() && !i.equals(spec.image())) {
        machine.images.remove(i);
      }
    }
  }

  private void ended(Owned machine, TaskReport task) {
    if (task.why() == Why.DONE) {
      machine.errorsInRow = 0;
    } else if (task.why() == Why.ERROR && !core.jobAtFault(task.job())) {
      machine.errorsInRow++;
      LOG.info(
          "task {}/{} failed on {}, {} in a row",
          task.job(),
          task.task(),
          machine.id,
          machine.errorsInRow);
      if (machine.errorsInRow >= Constants.FAULTY_ERRORS) {
        machine.quarantineUntil = core.now() + Constants.QUARANTINE_MS;
        if (machine.errorsInRow >= Constants.BROKEN_ERRORS) {
          machine.replace = true;
        }
      }
    }
  }

  /** Whether the task runs again after this end, whose only trace is what statements tell of it. */
  private boolean runsAgain(TaskReport task) {
    if (task.why() != Why.DONE) {
      return true;
    }
    JobRec job = store.job(task.job());
    return job != null && job.spec().service();
  }

  private ReportAnswer answer(Owned machine) {
    long now = core.now();
    machine.touched = true; // what it refuses below is booked no longer
    List<Command> stops = new ArrayList<>();
    List<Command> forgets = new ArrayList<>();
    for (TaskReport task : machine.tasks.values()) {
      Key key = new Key(task.job(), task.task());
      JobRec job = store.job(task.job());
      boolean done = job != null && core.recordedDone(job, task.task());
      if (task.state() == TaskState.EXITED) {
        boolean forget =
            job != null
                && (core.over(task.job(), job)
                    || done
                    || (runsAgain(task) && machine.told.getLong(key) == task.attempt()));
        if (forget && !machine.ordered.containsKey(key)) {
          forgets.add(new Command(CommandKind.FORGET, task.job(), task.task(), task.attempt(), 0));
        }
        machine.stops.remove(key);
      } else if (core.over(task.job(), job) || done) {
        stops.add(new Command(CommandKind.STOP, task.job(), task.task(), task.attempt(), 0));
      } else {
        StopOrder stop = machine.stops.get(key);
        if (stop != null && stop.attempt() == task.attempt()) {
          if (task.state() != TaskState.SAVING) {
            stops.add(
                new Command(
                    CommandKind.STOP, task.job(), task.task(), task.attempt(), stop.graceS()));
          }
        } else if (job != null
            && machine.noticeUntil != Long.MAX_VALUE
            && task.state() == TaskState.RUNNING
            && job.spec().checkpointS() > 0
            && machine.noticeUntil - now < (job.spec().saveS() + 4) * 1000) {
          stops.add(
              new Command(
                  CommandKind.STOP,
                  task.job(),
                  task.task(),
                  task.attempt(),
                  job.spec().saveS() + 1));
        }
      }
    }
    machine.stops.keySet().removeIf(taskKey -> !here(machine, taskKey));
    List<Command> all = new ArrayList<>(forgets);
    all.addAll(stops);
    Iterator<Booked> it = machine.booked.values().iterator();
    while (it.hasNext() && all.size() < Constants.COMMANDS_MAX) {
      Booked booked = it.next();
      JobRec jobRecord = store.job(booked.order.job());
      Key k = new Key(booked.order.job(), booked.order.task());
      if (machine.ordered.containsKey(k)) {
        continue;
      }
      boolean unwanted =
          core.over(booked.order.job(), jobRecord)
              || jobRecord != null && core.recordedDone(jobRecord, booked.order.task());
      if (unwanted || machine.stops.containsKey(k) || core.wall() > booked.order.expiryWallMs()) {
        // every earlier response is dead by now (this answers a later report), so it never runs
        it.remove();
        refuse(booked.order, unwanted ? "not wanted any more" : "too late");
        continue;
      }
      booked.sent = true;
      all.add(
          new Command(
              CommandKind.START,
              booked.order.job(),
              booked.order.task(),
              booked.order.attempt(),
              0));
    }
    machine.lastOk = now;
    return ReportAnswer.ok(machine.token, all);
  }

  // ---- commands to the worker's own address --------------------------------------------------
  /** Sends what waits for a machine's next report to its own address, one request at a time. */
  void push() {
    if (toPush.isEmpty()) {
      return;
    }
    List<Owned> now = new ArrayList<>(toPush);
    toPush.clear();
    for (Owned machine : now) {
      if (owned.get(machine.id) != machine || machine.stops.isEmpty() && machine.booked.isEmpty()) {
        continue;
      }
      if (core.now() - machine.orderedAt < Constants.ORDER_GAP_MS) {
        toPush.add(machine);
      } else {
        push(machine);
      }
    }
  }

  private void push(Owned machine) {
    long now = core.now();
    if (machine.ordering
        || machine.dangling
        || machine.raising
        || machine.addr == null
        || machine.session == 0
        || !machine.confirmed) {
      return;
    }
    if (silent(machine) || !core.mayKeepAlive()) {
      return;
    }
    List<Command> out = new ArrayList<>();
    List<Booked> starts = new ArrayList<>();
    for (Map.Entry<Key, StopOrder> entry : machine.stops.entrySet()) {
      Key key = entry.getKey();
      TaskReport task =
          machine.tasks.get(new Attempt(key.job(), key.task(), entry.getValue().attempt()));
      if (task == null || task.state() == TaskState.EXITED || task.state() == TaskState.SAVING) {
        continue;
      }
      out.add(
          new Command(
              CommandKind.STOP,
              task.job(),
              task.task(),
              task.attempt(),
              entry.getValue().graceS()));
    }
    for (Booked booked : machine.booked.values()) {
      Key taskKey = new Key(booked.order.job(), booked.order.task());
      JobRec job = store.job(booked.order.job());
      if (booked.sent
          || machine.stops.containsKey(taskKey)
          || job == null
          || core.over(taskKey.job(), job)) {
        continue;
      }
      if (core.wall() > booked.order.expiryWallMs() || out.size() >= Constants.COMMANDS_MAX) {
        continue;
      }
      out.add(
          new Command(
              CommandKind.START,
              booked.order.job(),
              booked.order.task(),
              booked.order.attempt(),
              0));
      starts.add(booked);
    }
    if (out.isEmpty()) {
      return;
    }
    for (Booked reservation : starts) {
      reservation.sent = true;
      machine.ordered.put(
          new Key(reservation.order.job(), reservation.order.task()), reservation.order.attempt());
    }
    machine.ordering = true;
    machine.orderedAt = now;
    long session = machine.session;
    core.effects()
        .order(
            machine.addr,
            machine.token,
            session,
            out,
            reply -> {
              machine.ordering = false;
              if (owned.get(machine.id) != machine || machine.session != session) {
                return;
              }
              if (reply.code() == Code.UNKNOWN) {
                if (machine.ordered.isEmpty()) {
                  return;
                }
                LOG.info("commands to {} went astray: raising its term", machine.id);
                machine.dangling = true;
                raise(machine);
                return;
              }
              clearOrdered(machine);
              Report report = reply.report();
              if (report != null
                  && !machine.lost
                  && report.machine().equals(machine.id)
                  && (report.session() > machine.session
                      || (report.session() == machine.session && report.seq() > machine.seq))) {
                take(machine, report, false);
              }
              toPush.add(machine);
            });
  }

  private static void clearOrdered(Owned machine) {
    machine.ordered.clear();
    machine.dangling = false;
    machine.raised = false;
  }

  /**
   * Once the worker has shown a larger term, commands that went astray under the old one are dead.
   */
  private void raise(Owned machine) {
    if (machine.raising || machine.raised) {
      return;
    }
    machine.raising = true;
    boolean asked =
        record(
            machine.id,
            machine.type.name(),
            machine.zone,
            machine.spot,
            reply -> {
              machine.raising = false;
              if (reply.code() != Code.OK || owned.get(machine.id) != machine) {
                return;
              }
              machine.token = reply.revision();
              machine.version = reply.revision();
              machine.confirmed = false;
              machine.raised = true;
              machine.touched = true;
              dirty = true;
            });
    if (!asked) {
      machine.raising = false;
    }
  }

  // ---- orders from holders ------------------------------------------------------------------
  /** Starts from a holder; each is booked or refused. */
  void starts(Starts starts) {
    for (StartOrder start : starts.starts()) {
      String no = vet(starts, start);
      if (no == null) {
        Owned machine = owned.get(start.machine());
        machine.booked.put(
            new Key(start.job(), start.task()), new Booked(start, store.job(start.job()).spec()));
        for (TaskRef ref : start.instead()) {
          Attempt attempt = new Attempt(ref.job(), ref.task(), ref.attempt());
          if (!machine.tasks.containsKey(attempt) || !machine.replaced.add(attempt)) {
            continue;
          }
          LOG.info(
              "{}/{} stops {}/{} on {}",
              start.job(),
              start.task(),
              ref.job(),
              ref.task(),
              machine.id);
          core.metrics().count("preemptions");
          StopOrder stop = new StopOrder(machine.id, ref.job(), ref.task(), ref.attempt(), 0);
          machine.stops.put(new Key(ref.job(), ref.task()), stop);
        }
        machine.idleSince = 0;
        machine.touched = true;
        toPush.add(machine);
        LOG.debug(
            "start {}/{} attempt {} booked on {}",
            start.job(),
            start.task(),
            start.attempt(),
            start.machine());
      } else {
        refuse(start, no);
      }
    }
    dirty = true;
  }

  private void refuse(StartOrder start, String why) {
    LOG.debug(
        "not possible: {}/{} attempt {} on {}: {}",
        start.job(),
        start.task(),
        start.attempt(),
        start.machine(),
        why);
    core.metrics().count("refusals");
    refusals.add(new Refusal(start.machine(), start.job(), start.task(), start.attempt(), why));
    dirty = true;
  }

  private String vet(Starts starts, StartOrder start) {
    Owned machine = owned.get(start.machine());
    if (machine == null || machine.version > store.revision()) {
      return "not the owner";
    }
    if (!core.mayKeepAlive()) {
      return "cut off";
    }
    JobRec job = store.job(start.job());
    if (job == null) {
      return NOT_KNOWN;
    }
    if (core.over(start.job(), job)) {
      return "job is over";
    }
    if (start.epoch() < job.epoch()) {
      return "older epoch";
    }
    if (!store.live(starts.node(), starts.incarnation())) {
      return "holder's session is gone";
    }
    if (core.wall() > start.expiryWallMs()) {
      return "expired";
    }
    JobSpec spec = job.spec();
    if (core.recordedDone(job, start.task())) {
      return "done already";
    }
    if (!allowed(spec, machine.type.name(), machine.zone, machine.spot)) {
      return "machine not allowed";
    }
    if (!machine.confirmed) {
      return "machine doesn't show that it hears";
    }
    if (!usable(machine) || machine.drainUntil > core.now()) {
      return "machine set aside";
    }
    Key key = new Key(start.job(), start.task());
    if (here(machine, key)) {
      return "task is here already";
    }
    double[] free = free(machine);
    for (TaskRef ref : start.instead()) {
      TaskReport r = machine.tasks.get(new Attempt(ref.job(), ref.task(), ref.attempt()));
      JobRec other = store.job(ref.job());
      if (r == null || r.state() == TaskState.EXITED || other == null) {
        continue; // its room is free
        // what is replaced already is counted as free room, and only once
      }
      if (!machine.replaced.contains(new Attempt(ref.job(), ref.task(), ref.attempt()))) {
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

  private static boolean here(Owned machine, Key key) {
    if (machine.booked.containsKey(key)) {
      return true;
    }
    for (Attempt attempt : machine.tasks.keySet()) {
      if (attempt.task() == key.task() && attempt.job().equals(key.job())) {
        return true;
      }
    }
    return false;
  }

  static boolean allowed(JobSpec spec, String type, String zone, boolean spot) {
    return (spec.types() == null || spec.types().contains(type))
        && (spec.zone() == null || spec.zone().equals(zone))
        && (!spot || spec.spot());
  }

  /** A machine whose reports come to nobody answers commands, but loses its tasks each lease. */
  private boolean usable(Owned machine) {
    long now = core.now();
    return !machine.lost
        && !machine.replace
        && machine.noticeUntil == Long.MAX_VALUE
        && machine.quarantineUntil <= now
        && !silent(machine)
        && now - machine.lastOk <= silenceMs();
  }

  /** A machine not heard for so long gets no tasks. */
  private long silenceMs() {
    return Math.max(Constants.SILENT_MS, core.settings().reportMs() * 2);
  }

  private boolean silent(Owned machine) {
    return core.now() - machine.heardAt > silenceMs();
  }

  private double[] free(Owned machine) {
    double[] f = {machine.type.cpus(), machine.type.gpus(), machine.type.memoryGb()};
    for (TaskReport task : machine.tasks.values()) {
      if (task.state() == TaskState.EXITED) {
        continue;
      }
      if (machine.replaced.contains(new Attempt(task.job(), task.task(), task.attempt()))) {
        continue;
      }
      JobRec job = store.job(task.job());
      if (job != null) {
        minus(f, job.spec(), 1);
      }
    }
    for (Booked booked : machine.booked.values()) minus(f, booked.spec, 1);
    return f;
  }

  private static void minus(double[] f, JobSpec spec, int times) {
    f[0] -= times * spec.cpus();
    f[1] -= times * spec.gpus();
    f[2] -= times * spec.memoryGb();
  }

  void stops(Stops stops) {
    for (StopOrder stop : stops.stops()) {
      Owned machine = owned.get(stop.machine());
      if (machine == null) {
        continue;
      }
      Key key = new Key(stop.job(), stop.task());
      Booked booked = machine.booked.get(key);
      if (machine.tasks.containsKey(new Attempt(stop.job(), stop.task(), stop.attempt()))
          || (booked != null && booked.order.attempt() == stop.attempt())) {
        LOG.info(
            "stop {}/{} attempt {} on {} asked by {}",
            stop.job(),
            stop.task(),
            stop.attempt(),
            stop.machine(),
            stops.node());
        machine.stops.put(key, stop);
        toPush.add(machine);
      }
    }
    for (String d : stops.drains()) {
      Owned m = owned.get(d);
      if (m != null) {
        m.drainUntil = core.now() + Constants.DRAIN_LIFE_MS;
        dirty = true;
      }
    }
  }

  // ---- mirror -------------------------------------------------------------------------------
  void machineChanged(String id, MachineRec record) {
    if (record == null) {
      returned.add(id);
      if (returned.size() > Constants.GONE_KEPT) {
        returned.remove(returned.iterator().next());
      }
    } else {
      ownedBetween(id, record);
    }
    Owned machine = owned.get(id);
    if (machine == null) {
      return;
    }
    if (record == null) {
      disown(id);
    } else if (record.node().equals(core.node()) && record.incarnation() == store.incarnation()) {
      // this controller's own raise or adoption, seen before its answer is handled
      if (!machine.raising && record.token() > machine.token) {
        disown(id);
      }
    } else if (record.token() > machine.token) {
      LOG.info("machine {} is now owned by {} under term {}", id, record.node(), record.token());
      disown(id);
    }
  }

  /**
   * Another controller owned the machine between the record that this one took over from its former
   * process and its own. That one may have answered the worker since, so the lease doesn't count
   * from the former process's end: the machine can't be written off before it is confirmed.
   */
  void overtaken(String id, MachineRec record) {
    ownedBetween(id, record);
    Owned machine = owned.get(id);
    if (machine != null && machine.reclaimed && !record.node().equals(core.node())) {
      machine.disputed = true;
    }
  }

  /** The same, told while the record is still being asked for. */
  private void ownedBetween(String id, MachineRec record) {
    if (!record.node().equals(core.node())) {
      reclaiming.computeIfPresent(id, (k, v) -> true);
    }
  }

  /**
   * Records that name a former process of this controller: that process is dead, so nobody answers
   * those machines unless they have gone to another controller, which {@link #overtaken} tells at
   * the latest before the write-off.
   */
  void reclaim() {
    for (Map.Entry<String, Store.Held> entry :
        new ArrayList<>(store.under(Store.MACHINES).entrySet())) {
      MachineRec machineRecord = (MachineRec) entry.getValue().value();
      if (!machineRecord.node().equals(core.node())
          || machineRecord.incarnation() == store.incarnation()) {
        continue;
      }
      String id = entry.getKey().substring(Store.MACHINES.length());
      MachineType type = core.types().get(machineRecord.type());
      if (type == null || owned.containsKey(id) || adopting.containsKey(id)) {
        continue;
      }
      adopting.put(id, core.now());
      reclaiming.put(id, false);
      boolean asked =
          record(
              id,
              machineRecord.type(),
              machineRecord.zone(),
              machineRecord.spot(),
              reply -> {
                adopting.remove(id);
                boolean between = reclaiming.remove(id);
                if (reply.code() != Code.OK || owned.containsKey(id)) {
                  return;
                }
                Owned machine =
                    own(id, type, machineRecord.zone(), machineRecord.spot(), reply.revision());
                machine.reclaimed = true;
                machine.disputed = between;
                // the former process may have answered until just before this one began
                machine.lastOk = core.startedAt();
                machine.heardAt = core.now() - Constants.SILENT_MS;
                LOG.info("machine {} kept from the former process, term {}", id, machine.token);
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
    for (Map.Entry<String, Store.Held> entry : store.under(Store.MACHINES).entrySet()) {
      MachineRec record = (MachineRec) entry.getValue().value();
      if (store.live(record.node(), record.incarnation())) {
        continue;
      }
      String id = entry.getKey().substring(Store.MACHINES.length());
      orphans.add(id);
      long since = orphanSince.computeIfAbsent(id, k -> now);
      View.Seen machine = core.view().machines.get(id);
      if (now - since < Constants.SEIZE_AFTER_MS || machine == null || machine.state == null) {
        continue;
      }
      if (machine.state.addr() == null || adopting.containsKey(id) || most <= 0) {
        continue;
      }
      if (now - asked.getOrDefault(id, Long.MIN_VALUE / 2) < Constants.SEIZE_AGAIN_MS) {
        continue;
      }
      if (!core.preferredOwner(id, record.zone()).equals(core.node())) {
        continue;
      }
      most--;
      asked.put(id, now);
      // no session is 0, so this is refused, with the worker's report
      core.effects()
          .order(machine.state.addr(), 0, 0, List.of(), reply -> seize(id, record, reply.report()));
    }
    sentBack.values().removeIf(at -> now - at > Constants.REDIRECT_AGAIN_MS);
    orphanSince.keySet().retainAll(orphans);
    asked.keySet().retainAll(orphans);
  }

  private void seize(String id, MachineRec old, Report report) {
    MachineType type = core.types().get(old.type());
    MachineRec now = store.machine(id);
    if (report == null || !report.machine().equals(id) || type == null || !old.equals(now)) {
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
            reply -> {
              adopting.remove(id);
              if (reply.code() != Code.OK || owned.containsKey(id)) {
                return;
              }
              Owned machine = own(id, type, old.zone(), old.spot(), reply.revision());
              // until it shows the new term, its former owner may renew its lease
              machine.lastOk = core.now();
              take(machine, report, false);
              LOG.info(
                  "machine {} taken from {}, which is gone, term {}",
                  id,
                  old.node(),
                  machine.token);
              show(machine);
            });
    if (!wrote) {
      adopting.remove(id);
    }
  }

  /** Shows the worker the term without any command. */
  private void show(Owned machine) {
    core.effects()
        .order(
            machine.addr,
            machine.token,
            machine.session,
            List.of(),
            reply -> {
              if (owned.get(machine.id) != machine
                  || reply.code() != Code.OK
                  || reply.report() == null) {
                return;
              }
              machine.lastOk = core.now();
              if (reply.report().session() > machine.session
                  || reply.report().seq() > machine.seq) {
                take(machine, reply.report(), false);
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
    for (Owned machine : owned.values()) {
      if (machine.dangling && !machine.raised) {
        raise(machine);
      }
      if (machine.lost || now - machine.lastOk <= writeOff) {
        continue;
      }
      // unconfirmed: a former owner may still be answering it, unless it was our own former process
      // (a late copy of a report to that one may have told a session: that changes nothing)
      if (!machine.confirmed && (!machine.reclaimed || machine.disputed)) {
        continue;
      }
      // Who owned it between the former process and this one may still be unknown here: a group's
      // record isn't compared with. Written off then, its tasks were started a second time.
      if (machine.reclaimed && machine.version > store.revision()) {
        continue;
      }
      // the mirror has passed the end of the lease and still names this controller
      if (store.freshAt() <= machine.lastOk + writeOff) {
        continue;
      }
      LOG.info(
          "machine {} written off with {} tasks: silent beyond its lease",
          machine.id,
          machine.tasks.size());
      machine.lost = true;
      machine.confirmed = true;
      machine.tasks.clear();
      machine.booked.clear();
      machine.stops.clear();
      machine.replaced.clear();
      clearOrdered(machine);
      machine.idleSince = now;
      machine.touched = true;
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
      GroupRec group = (GroupRec) store.held(key).value();
      boolean mine =
          group.node().equals(core.node()) || !store.live(group.node(), group.incarnation());
      if (!mine) {
        continue;
      }
      store.transact(
          Store.Urgency.BACKGROUND, new Txn(List.of(), List.of(), List.of(key)), reply -> {});
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
    View.Peer sender = core.view().peer(core.node());
    List<RosterMachine> mine = new ArrayList<>();
    for (Owned machine : changed) mine.add(machine.said);
    core.rosterFrom(
        new Roster(
            core.node(),
            store.incarnation(),
            serial,
            sender.serial,
            store.incarnation(),
            serial,
            store.revision(),
            sender.gotIncarnation,
            sender.gotConnection,
            sender.gotSeq,
            0,
            List.of(),
            mine,
            goneSince(sender.serial),
            no));
  }

  /** What the peer doesn't know for certain yet, or all if it can't be told as a difference. */
  private Roster roster(View.Peer peer, long sinceMirror, List<Refusal> no) {
    long since = peer.knows >= forgotten ? peer.knows : 0;
    List<RosterMachine> ms = new ArrayList<>();
    for (Owned machine : owned.values())
      if (machine.saidIn > since) {
        ms.add(machine.said);
      }
    // to acknowledge what it said would vouch for all cancellations newer than its mirror
    boolean vouches = peer.rosterRevision > 0 && core.cancellations().keeps(peer.rosterRevision);
    return new Roster(
        core.node(),
        store.incarnation(),
        serial,
        since,
        vouches ? peer.heardIncarnation : 0,
        vouches ? peer.heardSerial : 0,
        store.revision(),
        peer.gotIncarnation,
        peer.gotConnection,
        peer.gotSeq,
        sinceMirror,
        vouches ? core.cancellations().since(peer.rosterRevision) : List.of(),
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
    for (Owned machine : owned.values()) {
      boolean lately = machine.said != null && now - machine.saidAt < Constants.RESTATE_MS;
      if (lately && !machine.touched && !drifted(machine, now)) {
        continue;
      }
      machine.touched = false;
      RosterMachine state = tell(machine, now);
      if (lately && state.sameAs(machine.said)) {
        continue;
      }
      machine.said = state;
      machine.saidIn = serial;
      machine.saidAt = now;
      changed.add(machine);
      for (TaskReport task : machine.tasks.values()) {
        if (task.state() == TaskState.EXITED && runsAgain(task)) {
          machine.told.put(new Key(task.job(), task.task()), task.attempt());
        }
      }
    }
    return changed;
  }

  /** Whether time alone has changed what is to be said of a machine. */
  private boolean drifted(Owned machine, long now) {
    return usable(machine) != machine.said.usable()
        || silent(machine) != machine.said.silent()
        || (machine.drainUntil > now) != machine.said.draining();
  }

  /**
   * The machines of which the last statement says something else than what is known, although
   * nothing marks them to be told anew; none, or a start could pass for one that never arrived. For
   * comparison with the slow way, which is to tell all each time.
   */
  List<String> untold() {
    List<String> out = new ArrayList<>();
    long now = core.now();
    for (Owned machine : owned.values()) {
      if (machine.said == null || machine.touched || drifted(machine, now)) {
        continue;
      }
      if (!tell(machine, now).sameAs(machine.said)) {
        out.add(machine.id);
      }
    }
    return out;
  }

  private RosterMachine tell(Owned machine, long now) {
    List<RosterTask> ts = new ArrayList<>(machine.tasks.size() + machine.booked.size());
    for (TaskReport task : machine.tasks.values()) {
      ts.add(new RosterTask(task.job(), task.task(), task.attempt(), task.state(), task.why()));
    }
    for (Booked booked : machine.booked.values()) {
      ts.add(
          new RosterTask(
              booked.order.job(), booked.order.task(), booked.order.attempt(), null, null));
    }
    double[] f = free(machine);
    boolean idle = machine.tasks.isEmpty() && machine.booked.isEmpty();
    return new RosterMachine(
        machine.id,
        machine.addr,
        machine.token,
        machine.version,
        machine.session,
        machine.seq,
        machine.confirmed,
        usable(machine),
        machine.drainUntil > now,
        machine.replace,
        silent(machine),
        machine.lost,
        machine.type.name(),
        machine.zone,
        machine.spot,
        machine.noticeUntil == Long.MAX_VALUE
            ? -1
            : Math.max(0, (machine.noticeUntil - now) / 1000.0),
        f[0],
        f[1],
        f[2],
        machine.lost || silent(machine)
            ? Math.max(1, now - machine.heardAt)
            : idle && machine.idleSince > 0 ? Math.max(1, now - machine.idleSince) : 0,
        List.copyOf(machine.images),
        ts);
  }

  /** The roomiest machines, as many as fit into one value of the state service. */
  List<Room> rooms() {
    List<Room> out = new ArrayList<>();
    for (Owned machine : owned.values()) {
      if (!usable(machine)) {
        continue;
      }
      double[] f = free(machine);
      out.add(new Room(machine.id, f[0], f[1], f[2]));
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
