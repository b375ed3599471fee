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
import mallowstall.core.Effects.Txn;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.ExitReason;
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
    final long sequence;

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
      this.sequence = seq;
    }
  }

  /** A job held here. Mutable. */
  static final class Held {
    final String id;
    final JobSpec spec;
    final BitSet done = new BitSet();
    final Int2ObjectOpenHashMap<Active> active = new Int2ObjectOpenHashMap<>();
    final IntArrayFIFOQueue retries = new IntArrayFIFOQueue();
    final Set<Integer> dirtyPieces = new TreeSet<>();
    JobRec job;
    long version;
    int next;
    int doneCount;
    boolean rebuilt;
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
      return job.over();
    }

    int running() {
      int n = 0;
      for (Active placed : active.values()) {
        if (placed.seen && placed.state == TaskState.RUNNING) {
          n++;
        }
      }
      return n;
    }

    /** The next task that is neither done nor possibly on a machine; -1: none. */
    int take() {
      while (!retries.isEmpty()) {
        int t = retries.dequeueInt();
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
      retries.enqueue(t);
    }
  }

  private final EventClock clock;
  private final CoreSettings settings;
  private final JobEntries jobEntries;
  private final View view;
  private final OpenJobs openJobs;
  private final Membership membership;
  private final PeerMessenger messenger;
  private final PlacementTrigger placementTrigger;
  private final Store store;
  private final Map<String, Held> jobs = new LinkedHashMap<>();
  private final Map<String, Set<Active>> byMachine = new HashMap<>();
  private final Map<String, Long> claiming = new HashMap<>();
  private final Map<String, RetryDelay> claimRetries = new HashMap<>();
  private final Map<String, Long> orphanSince = new HashMap<>();

  /** Tasks that were sent to an owner and not yet seen on a machine. */
  private final Set<Active> unseen = new LinkedHashSet<>();

  private long nextAdopt;

  Holder(
      EventClock clock,
      CoreSettings settings,
      Store store,
      JobEntries jobEntries,
      View view,
      OpenJobs openJobs,
      Membership membership,
      PeerMessenger messenger,
      PlacementTrigger placementTrigger) {
    this.clock = clock;
    this.settings = settings;
    this.jobEntries = jobEntries;
    this.view = view;
    this.openJobs = openJobs;
    this.membership = membership;
    this.messenger = messenger;
    this.placementTrigger = placementTrigger;
    this.store = store;
  }

  Collection<Held> jobs() {
    return jobs.values();
  }

  Held job(String id) {
    return jobs.get(id);
  }

  /** Whether this controller leads the job and may place its tasks. */
  boolean mayPlace(String id) {
    Held held = jobs.get(id);
    return held != null && held.rebuilt;
  }

  /** Tasks of the job that status updates show as running, whoever leads it. */
  int running(String id) {
    Held held = jobs.get(id);
    return held != null ? held.running() : view.running(id);
  }

  /** Whether the job's tasks fail on so many machines that the job itself is at fault. */
  boolean atFault(String id) {
    Held held = jobs.get(id);
    return held != null && held.errorsOn.size() >= Constants.JOB_FAULT_MACHINES;
  }

  /** Processors that the pending tasks of the jobs led here need. */
  double pendingCpus() {
    double pending = 0;
    for (Held held : jobs.values()) {
      if (!held.over()) {
        pending += held.pending() * held.spec.cpus();
      }
    }
    return pending;
  }

  boolean anyService() {
    for (Held held : jobs.values()) {
      if (held.spec.service()) {
        return true;
      }
    }
    return false;
  }

  // ---- entries ------------------------------------------------------------------------------
  void jobChanged(JobRec before, JobRec job) {
    String id = job.spec().id();
    Held held = jobs.get(id);
    boolean mine =
        job.holder().equals(settings.node())
            && job.incarnation() == store.incarnation()
            && job.open();
    if (!mine) {
      if (held != null) {
        drop(held);
      }
      return;
    }
    long version = store.version(Store.JOBS + id);
    boolean taken = held == null || held.job.epoch() != job.epoch();
    if (taken) {
      if (held != null) {
        drop(held);
      }
      held = new Held(id, job.spec());
      held.heldSince = clock.now();
      held.claimRevision = version;
      held.rostersBefore = view.received;
      // the first epoch of this very process: nobody can have started anything before
      held.rebuilt = job.epoch() == 1;
      load(held, job);
      jobs.put(id, held);
    }
    if (version > held.version) {
      held.uncertain = false;
    }
    if (held.job != null && job.grant() > held.job.grant()) {
      held.grantIdleSince = clock.now();
    }
    held.job = job;
    held.version = version;
    if (taken && !held.rebuilt) {
      adoptIfHeld(id);
    }
    placementTrigger.request();
  }

  /**
   * Where the job's tasks are by what owners have told so far. Later statements repeat only what
   * has changed, so a task that this passed over would be placed once more.
   */
  private void adoptIfHeld(String id) {
    for (View.Seen machine : view.machines.values()) {
      if (machine.state == null || machine.owner == null) {
        continue; // its next owner tells it all
      }
      for (RosterTask rosterTask : machine.state.tasks()) {
        if (rosterTask.job().equals(id)) {
          task(machine.owner, machine.ownerIncarnation, machine.state, rosterTask);
        }
      }
    }
  }

  private void load(Held held, JobRec job) {
    held.done.or(jobEntries.done(job));
    held.doneCount = held.done.cardinality();
  }

  /** Bits of the job that came after its entry, which may have been read on its own. */
  void bitsChanged(String id) {
    Held held = jobs.get(id);
    if (held != null) {
      load(held, held.job);
    }
  }

  private void drop(Held held) {
    jobs.remove(held.id);
    for (Active active : held.active.values()) {
      unlink(active);
    }
  }

  private void unlink(Active active) {
    unseen.remove(active);
    Set<Active> set = byMachine.get(active.machine);
    if (set == null) {
      return;
    }
    set.remove(active);
    if (set.isEmpty()) {
      byMachine.remove(active.machine);
    }
  }

  void place(Active active) {
    active.job.active.put(active.task, active);
    active.since = clock.now();
    if (!active.seen) {
      unseen.add(active);
    }
    byMachine.computeIfAbsent(active.machine, key -> new LinkedHashSet<>()).add(active);
  }

  private void free(Active active, boolean retry) {
    if (active.job.active.get(active.task) == active) {
      active.job.active.remove(active.task);
    }
    unlink(active);
    if (active.job.active.isEmpty() || active.job.grantIdleSince == 0) {
      active.job.grantIdleSince = clock.now();
    }
    if (retry && !active.job.done.get(active.task)) {
      active.job.putBack(active.task);
    }
    placementTrigger.request();
  }

  // ---- rosters ------------------------------------------------------------------------------
  /** An owner has told of its machines: brings what is known of the jobs held here up to date. */
  void roster(Roster roster) {
    for (Refusal refusal : roster.refusals()) {
      refused(refusal);
    }
    for (RosterMachine state : roster.machines()) {
      View.Seen seen = view.machines.get(state.machine());
      if (seen != null && seen.state == state) { // else a larger term is known
        machineTold(roster, state);
      }
    }
    // Of a start that wasn't seen yet, a statement tells by its acknowledgement too, which comes
    // without anything new on the machine if the start never arrived.
    View.Peer peer = view.peer(roster.node());
    for (Active active : new ArrayList<>(unseen)) {
      View.Seen machine = view.machines.get(active.machine);
      boolean told =
          machine != null
              && machine.state != null
              && roster.node().equals(machine.owner)
              && machine.state.confirmed();
      if (!active.listed && told && resolved(active, roster, peer)) {
        gone(active);
      }
    }
  }

  /** Takes in what is on one machine, and what is there no longer. */
  private void machineTold(Roster roster, RosterMachine state) {
    Set<Active> here = byMachine.get(state.machine());
    if (here != null) {
      for (Active active : here) {
        active.listed = false;
      }
    }
    for (RosterTask task : state.tasks()) {
      task(roster.node(), roster.incarnation(), state, task);
    }
    if (here == null) {
      return;
    }
    for (Active active : new ArrayList<>(here)) {
      // a later session of the machine has none of an earlier one's tasks, whoever owns it
      boolean told = state.confirmed() || state.session() > active.session;
      if (!active.listed && active.seen && told) {
        gone(active);
      }
    }
  }

  private void gone(Active active) {
    LOG.debug(
        "task {}/{} attempt {} is no longer on {}",
        active.job.id,
        active.task,
        active.attempt,
        active.machine);
    free(active, true);
  }

  /** Whether this roster already tells the outcome of a start that was only sent. */
  private boolean resolved(Active active, Roster roster, View.Peer peer) {
    if (!active.owner.equals(roster.node())) {
      // The machine has moved, but the start may still be on its way to the owner it was sent to,
      // which may own the machine again by the time it arrives.
      peer = view.peer(active.owner);
      if (clock.now() - active.since > Constants.START_LIFE_MS + Constants.START_SLACK_MS) {
        return true;
      }
    }
    if (peer.incarnation > active.ownerIncarnation) {
      return true;
    }
    return peer.ackedConnection > active.connection
        || (peer.ackedConnection == active.connection && peer.ackedSequence >= active.sequence);
  }

  private void refused(Refusal refusal) {
    Held held = jobs.get(refusal.job());
    if (held == null) {
      return;
    }
    Active active = held.active.get(refusal.task());
    if (active == null || active.attempt != refusal.attempt() || active.seen) {
      return;
    }
    boolean soon = refusal.reason().equals(Refusal.JOB_NOT_KNOWN);
    if (soon && held.spec.service()) {
      // tried meanwhile, all replicas went to the one machine whose owner knew of the job
      held.notBefore = Math.max(held.notBefore, clock.now() + Constants.LAG_RETRY_MS);
    }
    held.avoid.put(
        refusal.machine(),
        clock.now() + (soon ? Constants.LAG_RETRY_MS : Constants.REFUSED_RETRY_MS));
    free(active, true);
  }

  /** What an owner tells of one task of a job that may be held here. */
  private void task(String owner, long incarnation, RosterMachine state, RosterTask task) {
    Held held = jobs.get(task.job());
    if (held == null || task.task() >= held.spec.tasks()) {
      return;
    }
    Active active = held.active.get(task.task());
    boolean same =
        active != null
            && active.attempt == task.attempt()
            && active.machine.equals(state.machine());
    if (same) {
      active.listed = true;
    }
    if (task.state() == TaskState.RUNNING || task.why() == ExitReason.DONE) {
      held.lastRan = clock.now();
    }
    if (task.state() == TaskState.EXITED) {
      exited(held, same ? active : null, state.machine(), task);
    } else if (same) {
      onMachine(active, state, task);
    } else if (!held.done.get(task.task())) { // else its owner stops it once the bit is recorded
      elsewhere(held, active, owner, incarnation, state, task);
    }
  }

  /** A task has ended; {@code active}: the attempt that is known here, if it is that one. */
  private void exited(Held held, Active active, String machine, RosterTask task) {
    if (held.spec.service()) {
      if (active != null) {
        replicaEnded(active, machine, task.why());
      }
    } else if (task.why() == ExitReason.DONE) {
      if (!held.done.get(task.task())) {
        held.done.set(task.task());
        held.doneCount++;
        held.dirtyPieces.add(JobEntries.pieceOf(task.task()));
        held.errorsOn.clear();
      }
      if (active != null) {
        free(active, false);
      }
    } else if (active != null) {
      failed(active, task.why());
      free(active, true);
    }
  }

  /** The attempt is where it was sent. */
  private void onMachine(Active active, RosterMachine state, RosterTask task) {
    if (task.state() == TaskState.RUNNING && active.runningSince == 0) {
      active.runningSince = clock.now();
    }
    if (task.state() != null) {
      // from now on only its owner's list says where it is
      active.seen = true;
      active.session = state.session();
      active.state = task.state();
      unseen.remove(active);
    }
  }

  /** A task is on a machine in another attempt than the one known here, or none is known. */
  private void elsewhere(
      Held held,
      Active active,
      String owner,
      long incarnation,
      RosterMachine state,
      RosterTask task) {
    if (active == null) {
      found(held, owner, incarnation, state, task);
    } else if (task.attempt() > active.attempt) {
      // both are on machines: the task isn't free before the later one is gone too
      free(active, false);
      task(owner, incarnation, state, task);
    } else if (task.attempt() < active.attempt && state.confirmed() && store.sessionGood()) {
      // without a session what is known here may be old: a controller cut off from the state
      // service called tasks doubled that were on a machine returned meanwhile
      LOG.error(
          "task {}/{} attempt {} is on {} beside attempt {} on {}",
          held.id,
          task.task(),
          task.attempt(),
          state.machine(),
          active.attempt,
          active.machine);
      messenger.stop(
          owner, new StopOrder(state.machine(), held.id, task.task(), task.attempt(), 0));
    }
  }

  private void found(
      Held held, String owner, long incarnation, RosterMachine state, RosterTask task) {
    Active found =
        new Active(
            held,
            task.task(),
            task.attempt(),
            state.machine(),
            state.zone(),
            state.type(),
            owner,
            incarnation,
            0,
            0);
    found.seen = true;
    found.state = task.state();
    found.listed = true;
    found.session = state.session();
    if (task.state() == TaskState.RUNNING) {
      found.runningSince = clock.now();
    }
    place(found);
    LOG.debug(
        "task {}/{} attempt {} found on {}", held.id, task.task(), task.attempt(), state.machine());
  }

  /** A task has ended and must run again: remembers where it shouldn't be tried. */
  private void failed(Active active, ExitReason why) {
    if (why == ExitReason.ERROR) {
      error(active.job, active.machine);
    } else if (why == ExitReason.NO_ROOM) {
      active.job.avoid.put(active.machine, clock.now() + Constants.NO_ROOM_AVOIDS_MS);
    }
    LOG.info(
        "task {}/{} attempt {} ended on {}: {}",
        active.job.id,
        active.task,
        active.attempt,
        active.machine,
        why);
  }

  /** Whatever a replica says of its end, it must run again until its job is cancelled. */
  private void replicaEnded(Active active, String machine, ExitReason why) {
    Held held = active.job;
    long ranMs = active.runningSince == 0 ? 0 : clock.now() - active.runningSince;
    // errors of long ago, each on another machine, don't make it the job's own fault
    if (ranMs >= Constants.REPLICA_STABLE_MS) {
      held.errorsOn.clear();
    }
    failed(active, why);
    // its result is kept there; for longer than it waits, so that it is tried elsewhere
    if (why == ExitReason.DONE) {
      held.avoid.put(machine, clock.now() + Constants.JOB_AVOIDS_MS);
    }
    boolean refused =
        why == ExitReason.STOPPED || why == ExitReason.NO_ROOM || why == ExitReason.BUSY;
    boolean startable = refused || held.restarts.ended(active.task, ranMs, clock.now());
    free(active, startable);
  }

  private void error(Held held, String machine) {
    long now = clock.now();
    held.errorsOn.add(machine);
    held.avoid.put(machine, now + Constants.JOB_AVOIDS_MS);
    // replicas wait one by one: the others may be well
    if (held.errorsOn.size() >= Constants.JOB_FAULT_MACHINES && !held.spec.service()) {
      held.notBefore = now + Constants.JOB_FAULT_WAIT_MS;
      LOG.info(
          "job {} fails on every machine, next try in {} ms", held.id, Constants.JOB_FAULT_WAIT_MS);
    }
  }

  /** The machine is proven gone: so are its tasks. */
  void machineGone(String id) {
    Set<Active> here = byMachine.get(id);
    if (here == null) {
      return;
    }
    for (Active active : new ArrayList<>(here)) {
      LOG.debug(
          "task {}/{} attempt {} is gone with {}", active.job.id, active.task, active.attempt, id);
      free(active, true);
    }
  }

  /**
   * A machine may be told of while this mirror is behind its record, although it has been returned
   * and this controller has dropped that record itself: the record comes later and is ignored, so
   * nothing else says that the machine is gone. A task found there waited for good.
   */
  private void leaveReturnedMachines() {
    for (String id : new ArrayList<>(byMachine.keySet())) {
      View.Seen seen = view.machines.get(id);
      if (seen == null || seen.state == null || !store.returned(id, seen.state.version())) {
        continue;
      }
      view.gone(id);
      machineGone(id);
    }
  }

  // ---- duties -------------------------------------------------------------------------------
  void tick() {
    if (!store.synced()) {
      return;
    }
    leaveReturnedMachines();
    finishRebuilds();
    adopt();
    for (Held held : new ArrayList<>(jobs.values())) {
      if (held.spec.service()) {
        held.restarts.release(clock.now(), held::putBack);
      }
      // a service has no bits, but a change of unknown outcome is resolved by the next write
      write(held);
    }
  }

  /**
   * A job taken over is placed again only once every machine that could have got it is accounted
   * for.
   */
  private void finishRebuilds() {
    boolean any = false;
    for (Held held : jobs.values()) {
      any |= !held.rebuilt;
    }
    if (!any) {
      return;
    }
    // each owner's newest statement restates what it hasn't changed
    long upTo = Long.MAX_VALUE;
    long oldest = Long.MAX_VALUE;
    String worst = null;
    for (Map.Entry<String, Store.Held> entry : store.under(Store.MACHINES).entrySet()) {
      MachineRec record = (MachineRec) entry.getValue().value();
      String id = entry.getKey().substring(Store.MACHINES.length());
      View.Seen machine = view.machines.get(id);
      View.Peer peer = view.peer(record.node());
      long rev = view.accounted(id, record) ? peer.rosterRevision : -1;
      if (rev >= 0) {
        oldest = Math.min(oldest, peer.received);
      }
      if (rev < upTo) {
        upTo = rev;
        worst = id;
      }
    }
    for (Held heldJob : jobs.values()) {
      if (heldJob.rebuilt || heldJob.claimRevision > store.revision()) {
        continue;
      }
      // A roster may know of the claim before its claimant does, whose own answer was slow. Its
      // tasks went unnoticed then, and one was started twice: only rosters received since count.
      if (upTo >= heldJob.claimRevision && oldest > heldJob.rostersBefore) {
        heldJob.rebuilt = true;
        LOG.info(
            "job {} epoch {} rebuilt: {} tasks on machines",
            heldJob.id,
            heldJob.job.epoch(),
            heldJob.active.size());
        placementTrigger.request();
      } else {
        LOG.debug("job {} waits for machine {}", heldJob.id, worst);
      }
    }
  }

  /** Claims jobs whose holder's session is gone. */
  private void adopt() {
    long now = clock.now();
    if (now < nextAdopt || !store.sessionGood()) {
      return;
    }
    nextAdopt = now + Constants.ADOPT_EVERY_MS;
    List<String> live = membership.liveNodes();
    int claims = 0;
    for (JobRec job : new ArrayList<>(openJobs.all())) {
      String id = job.spec().id();
      if (store.live(job.holder(), job.incarnation())) {
        orphanSince.remove(id);
        claimRetries.remove(id);
        continue;
      }
      if (!claimable(id, live, now)) {
        continue;
      }
      if (claims == Constants.ADOPT_BATCH) {
        break;
      }
      claims++;
      claim(job, now);
    }
  }

  /** Whether it is this controller's turn to claim the job. */
  private boolean claimable(String id, List<String> live, long now) {
    long since = orphanSince.computeIfAbsent(id, key -> now);
    String first =
        live.isEmpty() ? settings.node() : live.get(Math.floorMod(id.hashCode(), live.size()));
    if (!first.equals(settings.node()) && now - since < Constants.CLAIM_TURN_MS) {
      return false;
    }
    Long asked = claiming.get(id);
    if (asked != null && now - asked < 2 * Constants.STATE_TIMEOUT_MS) {
      return false;
    }
    return claimRetries.computeIfAbsent(id, k -> new RetryDelay()).due(now);
  }

  private void claim(JobRec job, long now) {
    String id = job.spec().id();
    claiming.put(id, now);
    RetryDelay retry = claimRetries.get(id);
    JobRec mine = job.withHolder(settings.node(), store.incarnation());
    JobEntries.Write claim = jobEntries.keepingBits(mine, store.version(Store.JOBS + id));
    boolean asked =
        store.transact(
            Store.Urgency.JOB,
            new Txn(claim.when(), claim.puts(), List.of()),
            reply -> {
              claiming.remove(id);
              retry.answered(clock.now(), reply.code());
              if (reply.code() == Code.OK) {
                LOG.info("job {} taken over from {}, epoch {}", id, job.holder(), mine.epoch());
              }
            });
    if (!asked) {
      claiming.remove(id);
    }
  }

  private void write(Held held) {
    long now = clock.now();
    boolean all = !held.spec.service() && held.doneCount == held.spec.tasks() && !held.over();
    boolean moves = jobEntries.outOfPlace(held.job);
    if (held.dirtyPieces.isEmpty() && !all && !held.uncertain && !moves) {
      return;
    }
    if (!held.writeRetry.due(now) || !bitsKnown(held)) {
      return;
    }
    if (held.writing
        || held.granting
        || (!all && now - held.lastWrite < Constants.JOB_WRITE_GAP_MS)) {
      return;
    }
    if (held.over() && held.job.fin() == Final.CANCELLED) {
      held.dirtyPieces.clear();
      if (!held.uncertain && !moves) {
        return;
      }
    }
    record(held, now);
  }

  /** Records the done bits, and the job's end once all are set. */
  private void record(Held held, long now) {
    JobEntries.Write write =
        jobEntries.recording(held.job, held.version, held.done, held.dirtyPieces);
    List<Integer> pieces = new ArrayList<>(held.dirtyPieces);
    pieces.retainAll(write.pieces());
    held.writing = true;
    held.lastWrite = now;
    held.dirtyPieces.removeAll(pieces);
    boolean asked =
        store.transact(
            Store.Urgency.JOB,
            new Txn(write.when(), write.puts(), List.of()),
            reply -> recorded(held, pieces, reply.code()));
    if (!asked) {
      held.writing = false;
      held.dirtyPieces.addAll(pieces);
    }
  }

  private void recorded(Held held, List<Integer> pieces, Code code) {
    held.writing = false;
    held.writeRetry.answered(clock.now(), code);
    if (code == Code.OK) {
      return;
    }
    // not known to be recorded: the next write says all of it again
    held.dirtyPieces.addAll(pieces);
    if (code == Code.UNKNOWN) {
      held.uncertain = true;
    }
    if (code == Code.CONFLICT) {
      reread(held);
    } else {
      held.lastWrite = clock.now() + Constants.STATE_RETRY_MS;
    }
  }

  /**
   * Whether the mirror holds all bits that were recorded before this holding. The entry may have
   * been read on its own, and pieces written without them would take bits back.
   */
  private boolean bitsKnown(Held held) {
    return JobEntries.inline(held.spec) || held.claimRevision <= store.revision();
  }

  /** After a failed comparison the mirror may lag: learn the entry before the next try. */
  void reread(Held held) {
    held.writing = true;
    boolean asked =
        store.read(
            Store.Urgency.JOB,
            Store.JOBS + held.id,
            reply -> {
              held.writing = false;
              held.lastWrite = clock.now();
            });
    if (!asked) {
      held.writing = false;
    }
  }
}
