package mallowstall.core;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.ints.IntArrayFIFOQueue;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import mallowstall.Constants;
import mallowstall.core.Effects.Code;
import mallowstall.core.Effects.Cond;
import mallowstall.core.Effects.Put;
import mallowstall.core.Effects.Txn;
import mallowstall.core.Model.Final;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.MachineRec;
import mallowstall.core.Model.Refusal;
import mallowstall.core.Model.Roster;
import mallowstall.core.Model.RosterMachine;
import mallowstall.core.Model.RosterTask;
import mallowstall.core.Model.StopOrder;
import mallowstall.core.Model.TaskState;
import mallowstall.core.Model.Team;
import mallowstall.core.Model.TeamRec;
import mallowstall.core.Model.Why;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The jobs this controller holds: where their tasks may be, their done bits, their grants. */
final class Holder {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.holder");

  /** A task that is or may be on a machine. Mutable. */
  static final class Active {
    final Held job;
    final int task;
    final long attempt;
    final String machine;
    final String zone;
    final String type;
    final String owner;
    final long ownerIncarnation;
    final long connection;
    final long seq;

    /** Seen on its machine; false while only sent or booked. */
    boolean seen;

    /** Its machine's owner lists it. */
    boolean listed;

    /** The machine's session in which it was seen. */
    long session;

    TaskState state;
    long since;

    /** When it was first seen to run; 0: not yet. */
    long runningSince;

    Active(
        Held job,
        int task,
        long attempt,
        String machine,
        String zone,
        String type,
        String owner,
        long ownerIncarnation,
        long connection,
        long seq) {
      this.job = job;
      this.task = task;
      this.attempt = attempt;
      this.machine = machine;
      this.zone = zone;
      this.type = type;
      this.owner = owner;
      this.ownerIncarnation = ownerIncarnation;
      this.connection = connection;
      this.seq = seq;
    }
  }

  /** A job held here. Mutable. */
  static final class Held {
    final String id;
    final JobSpec spec;
    final BitSet done = new BitSet();
    final Int2ObjectOpenHashMap<Active> active = new Int2ObjectOpenHashMap<>();
    final IntArrayFIFOQueue again = new IntArrayFIFOQueue();
    final Set<Integer> dirtyPieces = new TreeSet<>();
    JobRec rec;
    long version;
    int next;
    int doneCount;
    boolean latched;
    long claimRevision;

    /**
     * Rosters received before this controller knew of its holding: their tasks weren't looked at.
     */
    long rostersBefore;

    boolean writing;
    long lastWrite = Long.MIN_VALUE / 2;
    final RetryDelay writeRetry = new RetryDelay();
    final RetryDelay grantRetry = new RetryDelay();
    int counter;
    long grantIdleSince;
    long heldSince;
    long lastPreempt;
    long lastStart;

    /** When a task of the job was last seen to run; starts that were only tried don't count. */
    long lastRan;

    long outrankedSince;
    int wantsGrant;
    boolean granting;

    /** A write has an unknown outcome and may still be applied: nothing is started on its grant. */
    boolean uncertain;

    /** Of a service: how long replicas that have ended wait, and where some are being moved. */
    final ReplicaRestarts restarts = new ReplicaRestarts();

    final ReplicaMoves moves = new ReplicaMoves();

    /** Of a service, whose wait for a zone must not hold up other jobs of its policy. */
    final BackOff backOff = new BackOff();

    final Map<String, Long> avoid = new HashMap<>();
    final Set<String> errorsOn = new HashSet<>();
    long notBefore;
    int preemptedFor;

    Held(String id, JobSpec spec) {
      this.id = id;
      this.spec = spec;
    }

    /** Tasks that could be started now. */
    int pending() {
      return spec.tasks() - doneCount - active.size() - restarts.waiting();
    }

    boolean over() {
      return rec.over();
    }

    int running() {
      int n = 0;
      for (Active a : active.values())
        if (a.seen && a.state == TaskState.RUNNING) {
          n++;
        }
      return n;
    }

    /** The next task that is neither done nor possibly on a machine; -1: none. */
    int take() {
      while (!again.isEmpty()) {
        int t = again.dequeueInt();
        if (!done.get(t) && !active.containsKey(t)) {
          return t;
        }
      }
      while (next < spec.tasks()) {
        int t = next++;
        if (!done.get(t) && !active.containsKey(t)) {
          return t;
        }
      }
      return -1;
    }

    void putBack(int t) {
      again.enqueue(t);
    }
  }

  private final Core core;
  private final Store store;
  private final Map<String, Held> jobs = new LinkedHashMap<>();
  private final Map<String, Set<Active>> byMachine = new HashMap<>();
  private final Map<String, Long> teamNext = new HashMap<>();
  private final Set<String> teamBusy = new HashSet<>();
  private final Map<String, Long> claiming = new HashMap<>();
  private final Map<String, RetryDelay> claimRetries = new HashMap<>();
  private final Map<String, RetryDelay> teamRetries = new HashMap<>();
  private final Map<String, Long> orphanSince = new HashMap<>();

  /** Tasks that were sent to an owner and not yet seen on a machine. */
  private final Set<Active> unseen = new LinkedHashSet<>();

  /** Per team, the job that must give up grants. */
  private final Map<String, String> yielding = new HashMap<>();

  private long nextYielding;
  private long nextAdopt;

  Holder(Core core, Store store) {
    this.core = core;
    this.store = store;
  }

  Collection<Held> jobs() {
    return jobs.values();
  }

  Held job(String id) {
    return jobs.get(id);
  }

  boolean anyService() {
    for (Held h : jobs.values())
      if (h.spec.service()) {
        return true;
      }
    return false;
  }

  boolean limited(JobSpec s) {
    Team t = core.settings().teams().get(s.team());
    return t != null && t.limited();
  }

  // ---- entries ------------------------------------------------------------------------------
  void jobChanged(String id, JobRec rec) {
    Held h = jobs.get(id);
    boolean mine =
        rec.holder().equals(core.node()) && rec.incarnation() == store.incarnation() && rec.open();
    if (!mine) {
      if (h != null) {
        drop(h);
      }
      return;
    }
    long version = store.version(Store.JOBS + id);
    boolean taken = h == null || h.rec.epoch() != rec.epoch();
    if (taken) {
      if (h != null) {
        drop(h);
      }
      h = new Held(id, rec.spec());
      h.heldSince = core.now();
      h.claimRevision = version;
      h.rostersBefore = core.view().received;
      // the first epoch of this very process: nobody can have started anything before
      h.latched = rec.epoch() == 1;
      load(h, rec);
      jobs.put(id, h);
    }
    if (version > h.version) {
      h.uncertain = false;
    }
    if (h.rec != null && rec.grant() > h.rec.grant()) {
      h.grantIdleSince = core.now();
    }
    h.rec = rec;
    h.version = version;
    if (taken && !h.latched) {
      find(id);
    }
    core.wake();
  }

  /**
   * Where the job's tasks are by what owners have told so far. Later statements repeat only what
   * has changed, so a task that this passed over would be placed once more.
   */
  private void find(String id) {
    for (View.Seen s : core.view().machines.values()) {
      if (s.m == null || s.owner == null) {
        continue; // its next owner tells it all
      }
      for (RosterTask t : s.m.tasks()) {
        if (t.job().equals(id)) {
          task(s.owner, s.ownerIncarnation, s.m, t);
        }
      }
    }
  }

  private void load(Held h, JobRec rec) {
    h.done.or(core.jobEntries().done(rec));
    h.doneCount = h.done.cardinality();
  }

  /** Bits of the job that came after its entry, which may have been read on its own. */
  void bitsChanged(String id) {
    Held h = jobs.get(id);
    if (h != null) {
      load(h, h.rec);
    }
  }

  private void drop(Held h) {
    jobs.remove(h.id);
    for (Active a : h.active.values()) unlink(a);
  }

  private void unlink(Active a) {
    unseen.remove(a);
    Set<Active> s = byMachine.get(a.machine);
    if (s == null) {
      return;
    }
    s.remove(a);
    if (s.isEmpty()) {
      byMachine.remove(a.machine);
    }
  }

  void place(Active a) {
    a.job.active.put(a.task, a);
    a.since = core.now();
    if (!a.seen) {
      unseen.add(a);
    }
    byMachine.computeIfAbsent(a.machine, k -> new LinkedHashSet<>()).add(a);
  }

  private void free(Active a, boolean retry) {
    if (a.job.active.get(a.task) == a) {
      a.job.active.remove(a.task);
    }
    unlink(a);
    if (a.job.active.isEmpty() || a.job.grantIdleSince == 0) {
      a.job.grantIdleSince = core.now();
    }
    if (retry && !a.job.done.get(a.task)) {
      a.job.putBack(a.task);
    }
    core.wake();
  }

  // ---- rosters ------------------------------------------------------------------------------
  void roster(Roster r) {
    for (Refusal f : r.refusals()) refused(f);
    for (RosterMachine m : r.machines()) {
      View.Seen seen = core.view().machines.get(m.machine());
      if (seen == null || seen.m != m) {
        continue; // a larger term is known
      }
      Set<Active> here = byMachine.get(m.machine());
      if (here != null) {
        for (Active a : here) a.listed = false;
      }
      for (RosterTask t : m.tasks()) task(r.node(), r.incarnation(), m, t);
      if (here == null) {
        continue;
      }
      for (Active a : new ArrayList<>(here)) {
        if (a.listed) {
          continue;
        }
        // a later session of the machine has none of an earlier one's tasks, whoever owns it
        if (a.seen && (m.confirmed() || m.session() > a.session)) {
          gone(a);
        }
      }
    }
    // Of a start that wasn't seen yet, a statement tells by its acknowledgement too, which comes
    // without anything new on the machine if the start never arrived.
    View.Peer p = core.view().peer(r.node());
    for (Active a : new ArrayList<>(unseen)) {
      if (a.listed) {
        continue;
      }
      View.Seen s = core.view().machines.get(a.machine);
      if (s == null || s.m == null || !r.node().equals(s.owner) || !s.m.confirmed()) {
        continue;
      }
      if (resolved(a, r, p)) {
        gone(a);
      }
    }
  }

  private void gone(Active a) {
    LOG.info("task {}/{} attempt {} is no longer on {}", a.job.id, a.task, a.attempt, a.machine);
    free(a, true);
  }

  /** Whether this roster already tells the outcome of a start that was only sent. */
  private boolean resolved(Active a, Roster r, View.Peer p) {
    if (!a.owner.equals(r.node())) {
      // The machine has moved, but the start may still be on its way to the owner it was sent to,
      // which may own the machine again by the time it arrives.
      p = core.view().peer(a.owner);
      if (core.now() - a.since > Constants.START_LIFE_MS + Constants.START_SLACK_MS) {
        return true;
      }
    }
    if (p.incarnation > a.ownerIncarnation) {
      return true;
    }
    return p.ackedConnection > a.connection
        || (p.ackedConnection == a.connection && p.ackedSeq >= a.seq);
  }

  private void refused(Refusal f) {
    Held h = jobs.get(f.job());
    if (h == null) {
      return;
    }
    Active a = h.active.get(f.task());
    if (a == null || a.attempt != f.attempt() || a.seen) {
      return;
    }
    boolean soon = f.reason().equals(Owner.NOT_KNOWN);
    h.avoid.put(
        f.machine(), core.now() + (soon ? Constants.LAG_RETRY_MS : Constants.REFUSED_RETRY_MS));
    free(a, true);
  }

  private void task(String owner, long incarnation, RosterMachine m, RosterTask t) {
    Held h = jobs.get(t.job());
    if (h == null || t.task() >= h.spec.tasks()) {
      return;
    }
    Active a = h.active.get(t.task());
    boolean same = a != null && a.attempt == t.attempt() && a.machine.equals(m.machine());
    if (same) {
      a.listed = true;
    }
    if (t.state() == TaskState.RUNNING || t.why() == Why.DONE) {
      h.lastRan = core.now();
    }
    if (t.state() == TaskState.EXITED) {
      if (h.spec.service()) {
        if (same) {
          replicaEnded(a, m.machine(), t.why());
        }
      } else if (t.why() == Why.DONE) {
        if (!h.done.get(t.task())) {
          h.done.set(t.task());
          h.doneCount++;
          h.dirtyPieces.add(JobEntries.pieceOf(t.task()));
          h.errorsOn.clear();
        }
        if (same) {
          free(a, false);
        }
      } else if (same) {
        endedInVain(a, t.why());
        free(a, true);
      }
      return;
    }
    if (same) {
      if (t.state() == TaskState.RUNNING && a.runningSince == 0) {
        a.runningSince = core.now();
      }
      if (t.state() != null) {
        // from now on only its owner's list says where it is
        a.seen = true;
        a.session = m.session();
        unseen.remove(a);
      }
      a.state = t.state() == null ? a.state : t.state();
      return;
    }
    if (h.done.get(t.task())) {
      return; // its owner stops it once the bit is recorded
    }
    if (a == null) {
      Active found =
          new Active(
              h, t.task(), t.attempt(), m.machine(), m.zone(), m.type(), owner, incarnation, 0, 0);
      found.seen = true;
      found.state = t.state();
      found.listed = true;
      found.session = m.session();
      if (t.state() == TaskState.RUNNING) {
        found.runningSince = core.now();
      }
      place(found);
      LOG.info("task {}/{} attempt {} found on {}", h.id, t.task(), t.attempt(), m.machine());
    } else if (t.attempt() > a.attempt) {
      // both are on machines: the task isn't free before the later one is gone too
      free(a, false);
      task(owner, incarnation, m, t);
    } else if (t.attempt() < a.attempt && m.confirmed() && store.sessionGood()) {
      // without a session what is known here may be old: a controller cut off from the state
      // service called tasks doubled that were on a machine returned meanwhile
      LOG.error(
          "task {}/{} attempt {} is on {} beside attempt {} on {}",
          h.id,
          t.task(),
          t.attempt(),
          m.machine(),
          a.attempt,
          a.machine);
      core.stop(owner, new StopOrder(m.machine(), h.id, t.task(), t.attempt(), 0));
    }
  }

  /** A task has ended and must run again: remembers where it shouldn't be tried. */
  private void endedInVain(Active a, Why why) {
    if (why == Why.ERROR) {
      error(a.job, a.machine);
    } else if (why == Why.NO_ROOM) {
      a.job.avoid.put(a.machine, core.now() + Constants.NO_ROOM_AVOIDS_MS);
    }
    LOG.info("task {}/{} attempt {} ended on {}: {}", a.job.id, a.task, a.attempt, a.machine, why);
  }

  /** Whatever a replica says of its end, it must run again until its job is cancelled. */
  private void replicaEnded(Active a, String machine, Why why) {
    Held h = a.job;
    long ranMs = a.runningSince == 0 ? 0 : core.now() - a.runningSince;
    // errors of long ago, each on another machine, don't make it the job's own fault
    if (ranMs >= Constants.REPLICA_STABLE_MS) {
      h.errorsOn.clear();
    }
    endedInVain(a, why);
    // its result is kept there; for longer than it waits, so that it is tried elsewhere
    if (why == Why.DONE) {
      h.avoid.put(machine, core.now() + Constants.JOB_AVOIDS_MS);
    }
    boolean refused = why == Why.STOPPED || why == Why.NO_ROOM || why == Why.BUSY;
    boolean startable = refused || h.restarts.ended(a.task, ranMs, core.now());
    free(a, startable);
  }

  private void error(Held h, String machine) {
    long now = core.now();
    h.errorsOn.add(machine);
    h.avoid.put(machine, now + Constants.JOB_AVOIDS_MS);
    // replicas wait one by one: the others may be well
    if (h.errorsOn.size() >= Constants.JOB_FAULT_MACHINES && !h.spec.service()) {
      h.notBefore = now + Constants.JOB_FAULT_WAIT_MS;
      LOG.info(
          "job {} fails on every machine, next try in {} ms", h.id, Constants.JOB_FAULT_WAIT_MS);
    }
  }

  /** The machine is proven gone: so are its tasks. */
  void machineGone(String id) {
    Set<Active> here = byMachine.get(id);
    if (here == null) {
      return;
    }
    for (Active a : new ArrayList<>(here)) {
      LOG.info("task {}/{} attempt {} is gone with {}", a.job.id, a.task, a.attempt, id);
      free(a, true);
    }
  }

  /**
   * A machine may be told of while this mirror is behind its record, although it has been returned
   * and this controller has dropped that record itself: the record comes later and is ignored, so
   * nothing else says that the machine is gone. A task found there waited for good.
   */
  private void leaveReturnedMachines() {
    for (String id : new ArrayList<>(byMachine.keySet())) {
      View.Seen seen = core.view().machines.get(id);
      if (seen == null || seen.m == null || !core.returned(id, seen.m.version())) {
        continue;
      }
      core.view().gone(id);
      machineGone(id);
    }
  }

  // ---- duties -------------------------------------------------------------------------------
  void tick() {
    if (!store.synced()) {
      return;
    }
    leaveReturnedMachines();
    latch();
    adopt();
    for (Held h : new ArrayList<>(jobs.values())) {
      if (h.spec.service()) {
        h.restarts.release(core.now(), h::putBack);
      }
      // a service has no bits, but a change of unknown outcome is resolved by the next write
      write(h);
    }
    if (core.now() >= nextYielding) {
      nextYielding = core.now() + Constants.ADOPT_EVERY_MS;
      findYielding();
    }
    grants();
  }

  /**
   * A job taken over is placed again only once every machine that could have got it is accounted
   * for.
   */
  private void latch() {
    boolean any = false;
    for (Held h : jobs.values()) any |= !h.latched;
    if (!any) {
      return;
    }
    // each owner's newest statement restates what it hasn't changed
    long upTo = Long.MAX_VALUE;
    long oldest = Long.MAX_VALUE;
    String worst = null;
    for (Map.Entry<String, Store.Held> e : store.under(Store.MACHINES).entrySet()) {
      MachineRec rec = (MachineRec) e.getValue().value();
      String id = e.getKey().substring(Store.MACHINES.length());
      View.Seen s = core.view().machines.get(id);
      View.Peer p = core.view().peer(rec.node());
      long rev = core.view().accounted(id, rec) ? p.rosterRevision : -1;
      if (rev >= 0) {
        oldest = Math.min(oldest, p.received);
      }
      if (rev < upTo) {
        upTo = rev;
        worst = id;
      }
    }
    for (Held h : jobs.values()) {
      if (h.latched || h.claimRevision > store.revision()) {
        continue;
      }
      // A roster may know of the claim before its claimant does, whose own answer was slow. Its
      // tasks went unnoticed then, and one was started twice: only rosters received since count.
      if (upTo >= h.claimRevision && oldest > h.rostersBefore) {
        h.latched = true;
        LOG.info(
            "job {} epoch {} rebuilt: {} tasks on machines", h.id, h.rec.epoch(), h.active.size());
        core.wake();
      } else {
        LOG.debug("job {} waits for machine {}", h.id, worst);
      }
    }
  }

  private void adopt() {
    long now = core.now();
    if (now < nextAdopt || !store.sessionGood()) {
      return;
    }
    nextAdopt = now + Constants.ADOPT_EVERY_MS;
    List<String> live = core.liveNodes();
    int n = 0;
    for (JobRec rec : new ArrayList<>(core.openJobs())) {
      String id = rec.spec().id();
      if (store.live(rec.holder(), rec.incarnation())) {
        orphanSince.remove(id);
        claimRetries.remove(id);
        continue;
      }
      long since = orphanSince.computeIfAbsent(id, k -> now);
      String first =
          live.isEmpty() ? core.node() : live.get(Math.floorMod(id.hashCode(), live.size()));
      if (!first.equals(core.node()) && now - since < 2_000) {
        continue;
      }
      Long c = claiming.get(id);
      if (c != null && now - c < 2 * Constants.STATE_TIMEOUT_MS) {
        continue;
      }
      RetryDelay retry = claimRetries.computeIfAbsent(id, k -> new RetryDelay());
      if (!retry.due(now)) {
        continue;
      }
      if (++n > Constants.ADOPT_BATCH) {
        break;
      }
      claiming.put(id, now);
      JobRec mine = rec.withHolder(core.node(), store.incarnation());
      JobEntries.Write claim = core.jobEntries().keepingBits(mine, store.version(Store.JOBS + id));
      boolean asked =
          store.transact(
              Store.Urgency.JOB,
              new Txn(claim.when(), claim.puts(), List.of()),
              r -> {
                claiming.remove(id);
                retry.answered(core.now(), r.code());
                if (r.code() == Code.OK) {
                  LOG.info("job {} taken over from {}, epoch {}", id, rec.holder(), mine.epoch());
                }
              });
      if (!asked) {
        claiming.remove(id);
      }
    }
  }

  private void write(Held h) {
    long now = core.now();
    boolean all = !h.spec.service() && h.doneCount == h.spec.tasks() && !h.over();
    boolean moves = core.jobEntries().outOfPlace(h.rec);
    if (h.dirtyPieces.isEmpty() && !all && !h.uncertain && !moves) {
      return;
    }
    if (!h.writeRetry.due(now) || !bitsKnown(h)) {
      return;
    }
    if (h.writing || h.granting || (!all && now - h.lastWrite < Constants.JOB_WRITE_GAP_MS)) {
      return;
    }
    if (h.over() && h.rec.fin() == Final.CANCELLED) {
      h.dirtyPieces.clear();
      if (!h.uncertain && !moves) {
        return;
      }
    }
    JobEntries.Write write = core.jobEntries().recording(h.rec, h.version, h.done, h.dirtyPieces);
    List<Integer> pieces = new ArrayList<>(h.dirtyPieces);
    pieces.retainAll(write.pieces());
    h.writing = true;
    h.lastWrite = now;
    h.dirtyPieces.removeAll(pieces);
    boolean asked =
        store.transact(
            Store.Urgency.JOB,
            new Txn(write.when(), write.puts(), List.of()),
            r -> {
              h.writing = false;
              h.writeRetry.answered(core.now(), r.code());
              if (r.code() == Code.OK) {
                return;
              }
              // not known to be recorded: the next write says all of it again
              h.dirtyPieces.addAll(pieces);
              if (r.code() == Code.UNKNOWN) {
                h.uncertain = true;
              }
              if (r.code() == Code.CONFLICT) {
                reread(h);
              } else {
                h.lastWrite = core.now() + Constants.STATE_RETRY_MS;
              }
            });
    if (!asked) {
      h.writing = false;
      h.dirtyPieces.addAll(pieces);
    }
  }

  /**
   * Whether the mirror holds all bits that were recorded before this holding. The entry may have
   * been read on its own, and pieces written without them would take bits back.
   */
  private boolean bitsKnown(Held h) {
    return JobEntries.inline(h.spec) || h.claimRevision <= store.revision();
  }

  /** After a failed comparison the mirror may lag: learn the entry before the next try. */
  private void reread(Held h) {
    h.writing = true;
    boolean asked =
        store.read(
            Store.Urgency.JOB,
            Store.JOBS + h.id,
            g -> {
              h.writing = false;
              h.lastWrite = core.now();
            });
    if (!asked) {
      h.writing = false;
    }
  }

  /**
   * One transaction per team raises and lowers the grants of all its jobs held here, and the sum.
   */
  private void grants() {
    long now = core.now();
    Map<String, List<Held>> byTeam = new LinkedHashMap<>();
    for (Held h : jobs.values()) {
      if (!limited(h.spec) || h.writing || h.granting || h.uncertain) {
        continue;
      }
      // its own next write brings the entry into its present layout first
      if (!h.grantRetry.due(now) || core.jobEntries().outOfPlace(h.rec)) {
        continue;
      }
      if (delta(h, now) != 0) {
        byTeam.computeIfAbsent(h.spec.team(), k -> new ArrayList<>()).add(h);
      }
    }
    for (Map.Entry<String, List<Held>> e : byTeam.entrySet()) {
      String team = e.getKey();
      if (teamBusy.contains(team) || now < teamNext.getOrDefault(team, 0L)) {
        continue;
      }
      List<Held> hs = e.getValue();
      hs.sort(core.placement()::order);
      Team t = core.settings().teams().get(team);
      Store.Held sum = store.held(Store.TEAMS + team);
      TeamRec old = sum == null ? new TeamRec(0, 0) : (TeamRec) sum.value();
      double cpus = old.cpus();
      double gpus = old.gpus();
      List<Cond> when = new ArrayList<>();
      List<Put> puts = new ArrayList<>();
      List<Held> in = new ArrayList<>();
      int room = Math.min(core.settings().txnOps() - 1, 10);
      for (int pass = 0; pass < 2; pass++) {
        for (Held h : hs) {
          int d = delta(h, now);
          if ((pass == 0) != (d < 0) || in.size() >= room) {
            continue;
          }
          // one that may be refused for its size is tried alone, so that it delays no other job
          boolean alone = !core.jobEntries().fitsNow(h.rec);
          if (alone && !in.isEmpty()) {
            continue;
          }
          if (d > 0 && !h.spec.service()) {
            // what isn't asked for by placement must leave the team far from its limit: else it
            // was given and taken back by turns, with every change, and served nobody
            int early = Math.min(d, room(t, h.spec, cpus, gpus, Constants.ROOMY));
            d = Math.max(early, Math.min(d, h.wantsGrant));
          }
          if (d > 0) {
            d = Math.min(d, room(t, h.spec, cpus, gpus, 1));
          }
          if (d == 0) {
            continue;
          }
          cpus += d * h.spec.cpus();
          gpus += d * h.spec.gpus();
          String key = Store.JOBS + h.id;
          when.add(new Cond(key, h.version));
          puts.add(new Put(key, h.rec.withGrant(h.rec.grant() + d), 0));
          in.add(h);
          if (alone) {
            room = 1;
          }
        }
      }
      if (in.isEmpty()) {
        continue;
      }
      when.add(new Cond(Store.TEAMS + team, sum == null ? 0 : sum.version()));
      puts.add(new Put(Store.TEAMS + team, new TeamRec(Math.max(0, cpus), Math.max(0, gpus)), 0));
      for (Held h : in) h.granting = true;
      teamBusy.add(team);
      teamNext.put(team, now + Constants.GRANT_GAP_MS);
      boolean asked =
          store.transact(
              Store.Urgency.JOB,
              new Txn(when, puts, List.of()),
              r -> {
                teamBusy.remove(team);
                RetryDelay teamRetry = teamRetries.computeIfAbsent(team, k -> new RetryDelay());
                if (r.code() != Code.MALFORMED) {
                  teamRetry.answered(core.now(), r.code());
                }
                for (Held h : in) {
                  h.granting = false;
                  if (r.code() != Code.REFUSED) {
                    h.grantRetry.answered(core.now(), r.code());
                  }
                  if (r.code() == Code.OK) {
                    h.wantsGrant = 0;
                  } else if (r.code() == Code.UNKNOWN) {
                    h.uncertain = true;
                  } else if (r.code() == Code.CONFLICT && r.revision() > store.revision()) {
                    reread(h);
                  }
                }
                if (r.code() == Code.CONFLICT) {
                  teamBusy.add(team);
                  if (!store.read(
                      Store.Urgency.JOB, Store.TEAMS + team, g -> teamBusy.remove(team))) {
                    teamBusy.remove(team);
                  }
                } else if (r.code() != Code.OK) {
                  long next = core.now() + Constants.STATE_RETRY_MS;
                  teamNext.put(team, Math.max(next, teamRetry.until()));
                }
                core.wake();
              });
      if (!asked) {
        teamBusy.remove(team);
        for (Held h : in) h.granting = false;
      }
    }
  }

  /**
   * By how much the job's grant should change; never below what may be on machines. While the team
   * is far from its limit a job gets at once what all its tasks need and keeps it: changing the
   * grant with every few tasks took a third of the state service's changes, and starts waited.
   */
  private int delta(Held h, long now) {
    int spare = h.rec.grant() - h.active.size();
    if (!h.latched) {
      return 0;
    }
    // replicas start again and again: what they need stays granted until the job is cancelled
    if (h.spec.service() && !h.over()) {
      return Math.max(0, h.spec.tasks() - h.rec.grant());
    }
    if (h.over() || yields(h)) {
      return -Math.max(0, spare);
    }
    int pending = h.pending();
    boolean roomy = roomy(h.spec.team());
    if (spare - pending > (roomy ? h.rec.grant() / 2 : 0)) {
      return -(spare - pending);
    }
    int wanted = roomy ? pending : h.wantsGrant;
    if (wanted > 0) {
      return Math.min(wanted, Math.max(0, pending - spare));
    }
    if (!roomy
        && spare > 0
        && h.grantIdleSince > 0
        && now - h.grantIdleSince > Constants.GRANT_IDLE_MS) {
      return -spare;
    }
    return 0;
  }

  /**
   * Whether the job must give up what of its grant becomes free: its team is at its limit, a job of
   * the team has had none for long, and of those that have some this one has most. A large job with
   * tasks waiting would otherwise use its grant again and again, and nobody else get any.
   */
  boolean yields(Held h) {
    return h.id.equals(yielding.get(h.spec.team()));
  }

  private void findYielding() {
    yielding.clear();
    Map<String, JobRec> most = new HashMap<>();
    Set<String> starved = new HashSet<>();
    for (JobRec r : core.openJobs()) {
      if (r.over() || !limited(r.spec())) {
        continue;
      }
      String team = r.spec().team();
      boolean service = r.spec().service();
      if (service ? r.grant() < r.spec().tasks() : r.grant() == 0) {
        TeamRec sum = teamSum(team);
        boolean full =
            room(core.settings().teams().get(team), r.spec(), sum.cpus(), sum.gpus(), 1) == 0;
        long patience = service ? Constants.PREEMPT_AFTER_MS : Constants.STARVES_MS;
        if (full && core.wall() - r.submittedMs() > patience) {
          starved.add(team);
        }
      } else if (!service) {
        most.merge(team, r, (a, b) -> weight(a) >= weight(b) ? a : b);
      }
    }
    for (String team : starved)
      if (most.containsKey(team)) {
        yielding.put(team, most.get(team).spec().id());
      }
  }

  private static double weight(JobRec r) {
    return r.grant() * (r.spec().cpus() + 1e-3 * r.spec().gpus());
  }

  private TeamRec teamSum(String team) {
    Store.Held held = store.held(Store.TEAMS + team);
    return held == null ? new TeamRec(0, 0) : (TeamRec) held.value();
  }

  /** How many more tasks like these keep the team's sums within this fraction of its limits. */
  private static int room(Team t, JobSpec j, double cpus, double gpus, double fraction) {
    double n = Integer.MAX_VALUE;
    if (t.cpusMax() > 0 && j.cpus() > 0) {
      n = (t.cpusMax() * fraction - cpus) / j.cpus();
    }
    if (t.gpusMax() > 0 && j.gpus() > 0) {
      n = Math.min(n, (t.gpusMax() * fraction - gpus) / j.gpus());
    }
    return (int) Math.max(0, Math.floor(n + 1e-9));
  }

  /** Whether all running grants of the team are at most half of what it may use. */
  private boolean roomy(String team) {
    Team t = core.settings().teams().get(team);
    TeamRec sum = teamSum(team);
    return (t.cpusMax() <= 0 || sum.cpus() <= t.cpusMax() * Constants.ROOMY)
        && (t.gpusMax() <= 0 || sum.gpus() <= t.gpusMax() * Constants.ROOMY);
  }
}
