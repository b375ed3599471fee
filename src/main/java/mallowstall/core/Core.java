package mallowstall.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.DigestRec;
import mallowstall.core.Model.Entry;
import mallowstall.core.Model.Final;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.MachineRec;
import mallowstall.core.Model.MachineType;
import mallowstall.core.Model.PeerMessage;
import mallowstall.core.Model.Report;
import mallowstall.core.Model.ReportAnswer;
import mallowstall.core.Model.Room;
import mallowstall.core.Model.Roster;
import mallowstall.core.Model.SessionRec;
import mallowstall.core.Model.Starts;
import mallowstall.core.Model.StopOrder;
import mallowstall.core.Model.Stops;
import mallowstall.core.Model.UserAnswer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller without its sockets: events and time come in, effects go out. Not thread-safe; the
 * caller sets the time before each event and gives events one at a time.
 */
public final class Core {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.core");

  /** Something to be run later; of like times the first one set comes first. */
  private record Timer(long at, long order, Runnable run) {}

  /** Where counts of notable events go. */
  public interface Metrics {
    /** Counts one more of these. */
    void count(String what);

    /** A duration in ms. */
    void time(String what, long ms);
  }

  private final CoreSettings settings;
  private final Effects effects;
  private final Policy.Book policies;
  private final Metrics metrics;
  private final Store store;
  private final View view;
  private final Owner owner;
  private final Holder holder;
  private final Placement placement;
  private final MachineDemand demand;
  private final Fleet fleet;
  private final Users users;
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private final Map<String, MachineType> types = new LinkedHashMap<>();
  private final Map<String, Double> images = new HashMap<>();
  private final Map<String, JobRec> open = new LinkedHashMap<>();
  private long now;
  private long wall;
  private long timerOrder;
  private boolean roundWanted;
  private long nextRound;
  private final OwnLag lag = new OwnLag();
  private long nextTypes;
  private boolean askingTypes;
  private long nextDigest;
  private long startedAt;
  private long roomNews = 1;
  private long lastRoomNews;
  private final Cancellations cancellations;
  private final ClusterVersion clusterVersion;
  private final JobEntries jobEntries;
  private final RetryDelay digestRetry = new RetryDelay();

  /** A core that does nothing before its first event. */
  public Core(
      CoreSettings settings, Effects effects, Policy.Book policies, Metrics metrics, long seed) {
    this.settings = settings;
    this.effects = effects;
    this.policies = policies;
    this.metrics = metrics;
    this.store = new Store(this, effects, new Changes(), settings);
    this.cancellations = new Cancellations(store);
    this.clusterVersion = new ClusterVersion(this, store);
    this.jobEntries =
        new JobEntries(
            settings, effects::encodedSize, clusterVersion::allowsSmallPieces, store::held);
    this.view = new View(this);
    this.owner = new Owner(this, store);
    this.holder = new Holder(this, store);
    this.placement = new Placement(this, store, holder, new SplittableRandom(seed));
    this.demand = new MachineDemand(this);
    this.fleet = new Fleet(this, store, demand, settings);
    this.users = new Users(this, store);
  }

  // ---- time ---------------------------------------------------------------------------------
  /** Sets the steady time and the time of day, both in ms, for the event that follows. */
  public void time(long steadyMs, long wallMs) {
    now = Math.max(now, steadyMs);
    wall = wallMs;
  }

  long now() {
    return now;
  }

  long wall() {
    return wall;
  }

  void after(long ms, Runnable action) {
    timers.add(new Timer(now + ms, timerOrder++, action));
  }

  /** Runs what is due; the caller calls again after every event and at least every tick. */
  public void settle() {
    for (int i = 0; i < 10_000 && !timers.isEmpty() && timers.peek().at <= now; i++) {
      timers.poll().run.run();
    }
    if (roundWanted && now >= nextRound) {
      roundWanted = false;
      nextRound = now + lag.stretched(Constants.ROUND_GAP_MS);
      placement.round();
    }
    owner.push();
  }

  /** When the next timer is due, for callers that sleep; {@code Long.MAX_VALUE}: none. */
  public long nextTimer() {
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().at;
  }

  /** The regular duties; to be called every {@link Constants#TICK_MS}. */
  public void tick() {
    lag.ticked(now);
    store.tick();
    if (now >= nextTypes && !askingTypes) {
      askTypes();
    }
    if (startedAt == 0) {
      startedAt = now;
    }
    boolean late = now - startedAt > Constants.RECLAIM_AFTER_MS;
    if (late && store.synced() && !types.isEmpty() && store.sessionGood()) {
      owner.reclaim();
    }
    owner.tick();
    holder.tick();
    fleet.tick();
    digest();
    roundWanted = true;
    settle();
  }

  OwnLag lag() {
    return lag;
  }

  void requestRound() {
    roundWanted = true;
  }

  private void askTypes() {
    askingTypes = true;
    effects.types(
        list -> {
          askingTypes = false;
          nextTypes = now + (list == null || list.isEmpty() ? 1_000 : 60_000);
          if (list == null) {
            return;
          }
          for (MachineType type : list) {
            types.put(type.name(), type);
          }
          demand.typesChanged();
        });
  }

  private void digest() {
    if (now < nextDigest || !store.synced() || !store.sessionGood()) {
      return;
    }
    nextDigest = now + Constants.DIGEST_EVERY_MS;
    double pending = 0;
    for (Holder.Held held : holder.jobs()) {
      if (!held.over()) {
        pending += held.pending() * held.spec.cpus();
      }
    }
    store.transact(
        Store.Urgency.BACKGROUND,
        new Effects.Txn(
            List.of(),
            List.of(new Effects.Put(Store.DIGESTS + node(), digestRec(pending), store.leaseId())),
            List.of()),
        reply -> {
          digestRetry.answered(now, reply.code());
          nextDigest = Math.max(nextDigest, digestRetry.until());
        });
  }

  /** The digest with as many of the roomiest machines as fit one value. */
  private DigestRec digestRec(double pendingCpus) {
    long incarnation = store.incarnation();
    List<Room> rooms =
        ValueSize.fitting(
            owner.rooms(),
            some -> effects.encodedSize(new DigestRec(incarnation, some, pendingCpus)),
            settings.valueBytes());
    return new DigestRec(incarnation, rooms, pendingCpus);
  }

  // ---- events -------------------------------------------------------------------------------
  /** A worker has reported. */
  public void report(Report report, Consumer<ReportAnswer> reply) {
    owner.report(report, reply);
    settle();
  }

  /** A user has submitted a job. */
  public void submit(JobSpec spec, Consumer<UserAnswer> reply) {
    users.submit(spec, reply);
    settle();
  }

  /** A submission that is wrong by itself, unless a controller of another version accepted it. */
  public void refuse(String id, String why, Consumer<UserAnswer> reply) {
    users.refuse(id, 400, why, reply);
    settle();
  }

  /** A user asks for a job's state. */
  public void query(String id, Consumer<UserAnswer> reply) {
    users.query(id, reply);
    settle();
  }

  /** A user cancels a job. */
  public void cancel(String id, Consumer<UserAnswer> reply) {
    users.cancel(id, reply);
    settle();
  }

  /** Whether users' requests can be taken. */
  public boolean ready() {
    return users.ready();
  }

  /** A new connection to a peer stands; numbers only grow within a process. */
  public void connected(String node, long connection) {
    View.Peer peer = view.peer(node);
    peer.connection = connection;
    // perhaps another process, which knows nothing yet
    peer.takenInSerial = 0;
    // says which connection counts from now on, so that starts lost with the last one are resolved
    effects.send(
        node, new Starts(node(), store.incarnation(), connection, peer.nextSequence++, List.of()));
  }

  /** A peer has sent a message. */
  public void message(PeerMessage message) {
    if (message instanceof Roster roster) {
      rosterFrom(roster);
    } else if (message instanceof Starts starts) {
      startsFrom(starts);
    } else if (message instanceof Stops stops) {
      owner.stops(stops);
    }
    settle();
  }

  void rosterFrom(Roster roster) {
    hearCancellations(roster);
    if (!view.roster(roster)) {
      return;
    }
    holder.roster(roster);
    if (roster.machines().isEmpty() && roster.refusals().isEmpty()) {
      return;
    }
    // what only restates is news once in a while: what policies ask may change with time alone
    boolean news = view.lastRosterChangedMachines() || !roster.refusals().isEmpty();
    if (news || now - lastRoomNews >= Constants.RESTATED_NEWS_MS) {
      lastRoomNews = now;
      roomNews++;
      roundWanted = true;
    }
  }

  /** Cancellations count whether the statement's machines can be taken in or not. */
  private void hearCancellations(Roster roster) {
    boolean all = cancellations.heard(roster.cancelled(), owner::cancelled);
    if (!all || roster.heardIncarnation() != incarnation()) {
      return;
    }
    View.Peer peer = view.peer(roster.node());
    peer.cancelsKnownAt =
        Math.max(peer.cancelsKnownAt, owner.statementSentAt(roster.heardSerial()));
  }

  private void startsFrom(Starts starts) {
    View.Peer peer = view.peer(starts.node());
    if (starts.incarnation() < peer.receivedIncarnation) {
      return;
    }
    if (starts.incarnation() > peer.receivedIncarnation) {
      peer.receivedIncarnation = starts.incarnation();
      peer.receivedConnection = 0;
      peer.receivedSequence = 0;
    }
    // what an older connection still delivers was already answered as never arrived
    if (starts.connection() < peer.receivedConnection) {
      return;
    }
    if (starts.connection() == peer.receivedConnection && starts.seq() <= peer.receivedSequence) {
      return;
    }
    peer.receivedConnection = starts.connection();
    peer.receivedSequence = starts.seq();
    owner.starts(starts);
  }

  // ---- between the parts --------------------------------------------------------------------
  void sendStarts(String node, Starts starts) {
    if (node.equals(node())) {
      startsFrom(starts);
    } else {
      effects.send(node, starts);
    }
  }

  void stop(String node, StopOrder stop) {
    stops(node, new Stops(node(), store.incarnation(), List.of(stop), List.of()));
  }

  void drain(String node, List<String> machines) {
    LOG.info("drain {} through {}", machines, node);
    stops(node, new Stops(node(), store.incarnation(), List.of(), machines));
  }

  private void stops(String node, Stops stops) {
    if (node.equals(node())) {
      owner.stops(stops);
    } else {
      effects.send(node, stops);
    }
  }

  CoreSettings settings() {
    return settings;
  }

  /** Whether the record that was written at this revision has been dropped since. */
  boolean returned(String machine, long version) {
    return store.machine(machine) == null && version <= store.revision();
  }

  /** When this process began: whatever answered for it before was dead by then. */
  long startedAt() {
    return startedAt;
  }

  long incarnation() {
    return store.incarnation();
  }

  Effects effects() {
    return effects;
  }

  Policy.Book policies() {
    return policies;
  }

  Metrics metrics() {
    return metrics;
  }

  Store store() {
    return store;
  }

  View view() {
    return view;
  }

  Owner owner() {
    return owner;
  }

  Placement placement() {
    return placement;
  }

  MachineDemand demand() {
    return demand;
  }

  String node() {
    return settings.node();
  }

  Map<String, MachineType> types() {
    return types;
  }

  Cancellations cancellations() {
    return cancellations;
  }

  ClusterVersion clusterVersion() {
    return clusterVersion;
  }

  JobEntries jobEntries() {
    return jobEntries;
  }

  /** Whether nothing of the job may be started and all of it must be stopped. */
  boolean isOver(String id, JobRec job) {
    return job != null && job.over() || cancellations.told(id);
  }

  long roomNews() {
    return roomNews;
  }

  double imageGb(String image) {
    return images.getOrDefault(image, 1.0);
  }

  boolean fits(JobSpec spec, MachineType type) {
    return (spec.types() == null || spec.types().contains(type.name()))
        && spec.cpus() <= type.cpus() + 1e-9
        && spec.gpus() <= type.gpus() + 1e-9
        && spec.memoryGb() <= type.memoryGb() + 1e-9;
  }

  boolean jobAtFault(String id) {
    Holder.Held held = holder.job(id);
    return held != null && held.errorsOn.size() >= Constants.JOB_FAULT_MACHINES;
  }

  /** Whether the task's done bit stands in the state service. */
  boolean isRecordedDone(JobRec job, int task) {
    return jobEntries.recorded(job, task);
  }

  /** Controllers with a session, sorted; this one is among them once its own stands. */
  List<String> liveNodes() {
    List<String> out = new ArrayList<>();
    for (String k : store.under(Store.SESSIONS).keySet()) {
      out.add(k.substring(Store.SESSIONS.length()));
    }
    return out;
  }

  /** The controller a new machine should report to: by hash among live ones, its own zone first. */
  String preferredOwner(String machine, String zone) {
    List<String> near = new ArrayList<>();
    List<String> all = liveNodes();
    for (String n : all) {
      if (zone.equals(settings.nodeZones().get(n))) {
        near.add(n);
      }
    }
    List<String> from = near.size() * 2 >= all.size() ? near : all;
    if (from.isEmpty()) {
      return node();
    }
    String best = node();
    int top = Integer.MIN_VALUE;
    for (String n : from) {
      int h = (machine + "|" + n).hashCode() * 0x9E3779B1;
      h ^= h >>> 15;
      h *= 0x85EBCA6B;
      if (h >= top) {
        top = h;
        best = n;
      }
    }
    return best;
  }

  /**
   * Whether machines may be kept alive: a controller that can't be sure of having heard of every
   * cancellation that anybody has confirmed lets their leases run out in time. It has heard of them
   * up to when its mirror was fresh, or else up to when each of its peers told it of theirs.
   */
  boolean mayKeepAlive() {
    long limit = settings.cancelMs() - settings.leaseMs() - Constants.CANCEL_MARGIN_MS;
    if (now - store.freshAt() < limit) {
      return true;
    }
    for (String p : settings.peers()) {
      if (now - view.peer(p).cancelsKnownAt >= limit) {
        return false;
      }
    }
    return true;
  }

  /** True if the state service serves a peer but not this controller. */
  boolean cutOffAlone() {
    return now - store.contactAt() >= Constants.CUT_OFF_MS && servedPeer() != null;
  }

  /** A peer that the state service serves; null if none is known. */
  String servedPeer() {
    for (String p : settings.peers()) {
      View.Peer peer = view.peer(p);
      if (now - peer.rosterAt < Constants.ROSTER_STALE_MS
          && now - peer.mirrorFreshAt < Constants.CUT_OFF_MS + Constants.WATCH_HOLD_MS) {
        return p;
      }
    }
    return null;
  }

  /** Jobs that somebody must still look after, whoever holds them; finished ones cost nothing. */
  Collection<JobRec> openJobs() {
    return open.values();
  }

  /** Whether this controller holds the job and may place its tasks. */
  boolean mayPlace(String id) {
    Holder.Held held = holder.job(id);
    return held != null && held.rebuilt;
  }

  /** Tasks of the job that rosters show as running. */
  int running(String id) {
    Holder.Held held = holder.job(id);
    return held != null ? held.running() : view.running(id);
  }

  /** Hands changes of the mirror to the parts that they concern. */
  private final class Changes implements Store.Listener {
    @Override
    public void overtaken(String machine, MachineRec record) {
      owner.overtaken(machine, record);
    }

    @Override
    public void changed(String key, Entry before, Entry after) {
      if (key == null) {
        owner.touch();
        return;
      }
      if (key.equals(Store.SESSIONS + node())) {
        store.ownSession((SessionRec) after);
      }
      if (key.startsWith(Store.JOBS)) {
        JobRec job = (JobRec) after;
        if (job == null) {
          return;
        }
        images.put(job.spec().image(), job.spec().imageGb());
        String id = job.spec().id();
        if (job.open()) {
          open.put(id, job);
        } else {
          open.remove(id);
        }
        if (job.fin() == Final.CANCELLED
            && (before == null || ((JobRec) before).fin() != Final.CANCELLED)) {
          cancellations.recorded(id, store.version(key));
          owner.cancelled(id);
        }
        users.jobChanged(id, job);
        if (before == null) {
          owner.jobKnown(id);
        }
        holder.jobChanged(id, job);
      } else if (key.startsWith(Store.BITS)) {
        if (after != null) {
          holder.bitsChanged(JobEntries.jobOf(key));
        }
      } else if (key.startsWith(Store.MACHINES)) {
        String id = key.substring(Store.MACHINES.length());
        owner.machineChanged(id, (MachineRec) after);
        if (after == null) {
          view.gone(id);
          holder.machineGone(id);
        }
      }
    }

    @Override
    public void synced() {
      LOG.info("mirror complete at revision {}", store.revision());
      roundWanted = true;
    }
  }
}
