package mallowstall.core;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mallowstall.Constants;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.MachineRec;
import mallowstall.core.Model.Roster;
import mallowstall.core.Model.RosterMachine;
import mallowstall.core.Model.RosterTask;
import mallowstall.core.Model.TaskRef;
import mallowstall.core.Model.TaskState;

/**
 * What this controller knows of all machines: its own from reports, the others' from their owners'
 * rosters. Always partial and a little old; owners vet every start.
 */
final class View {
  /** One machine as seen from here. Mutable. */
  static final class Seen {
    final String id;
    String owner;
    long ownerIncarnation;

    /** When {@link #m} was told. */
    long updatedAt;

    RosterMachine state;

    /** Room taken by starts sent from here and not yet in the owner's roster. */
    double sentCpus;

    double sentGpus;
    double sentMemory;

    /** Images that are there or that a task there needs, as of {@link #m}. */
    String[] images = {};

    /** For each task there that waits for its image, or was only accepted, that image. */
    List<String> fetching = List.of();

    private RosterMachine derived;

    /** Tasks there that this controller has asked to be stopped for others, until when. */
    final Map<TaskRef, Long> replaced = new HashMap<>();

    Seen(String id) {
      this.id = id;
    }

    double freeCpus() {
      return state.freeCpus() - sentCpus;
    }

    double freeGpus() {
      return state.freeGpus() - sentGpus;
    }

    double freeMemory() {
      return state.freeMemoryGb() - sentMemory;
    }

    boolean takes() {
      return state != null
          && owner != null
          && state.confirmed()
          && state.usable()
          && !state.draining()
          && !state.silent()
          && !state.replace();
    }

    /** Whether the job may run on such a machine. */
    boolean allows(JobSpec spec) {
      return spec.allowsMachine(state.type(), state.zone(), state.spot());
    }

    /** How many tasks of the job have room. */
    int fits(JobSpec spec) {
      return Capacity.tasks(freeCpus(), freeGpus(), freeMemory(), spec);
    }

    /** Takes the room of so many tasks of the job. */
    void book(JobSpec spec, int tasks) {
      sentCpus += tasks * spec.cpus();
      sentGpus += tasks * spec.gpus();
      sentMemory += tasks * spec.memoryGb();
    }

    /** Forgets the room taken by starts sent from here. */
    void clearBooked() {
      sentCpus = 0;
      sentGpus = 0;
      sentMemory = 0;
    }

    /** Whether it will be gone before long, by the cloud's notice or since it fails its tasks. */
    boolean leaves() {
      return state != null && owner != null && (state.noticeS() >= 0 || state.replace());
    }

    /** For how long it has been idle, or silent; what was told then has gone on since. */
    long idleMs(long now) {
      return state.idleMs() == 0 ? 0 : state.idleMs() + now - updatedAt;
    }
  }

  /** What is known of a controller's roster. */
  static final class Peer {
    final String node;
    long incarnation;
    long serial;
    long connection;
    long nextSequence = 1;
    long ackedConnection;
    long ackedSequence;
    long rosterAt = Long.MIN_VALUE / 2;

    /** Which of the rosters received here its last one was. */
    long received;

    /** Its newest statement that this controller has taken in, and the process that made it. */
    long heardIncarnation;

    long heardSerial;

    /** This controller's newest statement that the peer has taken in; 0: tell it all. */
    long takenInSerial;

    long rosterRevision;
    long mirrorFreshAt = Long.MIN_VALUE / 2;

    /**
     * Up to when this controller knows of all cancellations that the peer has told users: its
     * statement names them, and it was made after it had taken in one that was sent from here at
     * this time. Dated from its arrival, a statement that a cut had held back passed for new.
     */
    long cancelsKnownAt = Long.MIN_VALUE / 2;

    /** What this controller acknowledges to that one. */
    long receivedConnection;

    long receivedSequence;
    long receivedIncarnation;
    Set<String> machines = new HashSet<>();

    Peer(String node) {
      this.node = node;
    }

    /** The peer has a new process, which has told and acknowledged nothing. */
    private void begin(long process) {
      incarnation = process;
      ackedConnection = 0;
      ackedSequence = 0;
      serial = 0;
      heardIncarnation = process;
      heardSerial = 0;
    }

    /** Takes over what a new roster says of its sender. */
    private void hear(Roster roster, long ownIncarnation, long now) {
      serial = roster.serial();
      heardSerial = roster.serial();
      takenInSerial = roster.heardIncarnation() == ownIncarnation ? roster.heardSerial() : 0;
      rosterAt = now;
      rosterRevision = roster.mirrorRevision();
      // Connections are numbered anew by each process: what the peer acknowledges of a former one
      // says nothing of this one's starts. Taking it for an answer once started a task twice.
      boolean mine = roster.ackedIncarnation() == ownIncarnation;
      ackedConnection = mine ? roster.ackedConnection() : 0;
      ackedSequence = mine ? roster.ackedSeq() : 0;
      mirrorFreshAt = now - roster.sinceMirrorMs();
    }
  }

  final Map<String, Seen> machines = new Object2ObjectOpenHashMap<>();

  /**
   * Tasks on machines and running ones among them, by job, as all owners tell. Kept with each
   * machine that changes: counted over all machines in every round, and for every question about a
   * job held elsewhere, they took a third of all processor time.
   */
  private final Object2IntOpenHashMap<String> placed = new Object2IntOpenHashMap<>();

  private final Object2IntOpenHashMap<String> running = new Object2IntOpenHashMap<>();
  final Map<String, Peer> peers = new HashMap<>();

  /** Rosters received so far. */
  long received;

  /** Whether the last roster said something new of a machine, and didn't only restate. */
  private boolean lastRosterChangedMachines;

  private final EventClock clock;
  private final Store store;

  View(EventClock clock, Store store) {
    this.clock = clock;
    this.store = store;
  }

  Peer peer(String node) {
    return peers.computeIfAbsent(node, Peer::new);
  }

  /**
   * Takes in a roster; returns false if it is older than what is known, or builds on a statement
   * that never came. The sender then goes on from the last one that did, so nothing need be asked.
   */
  boolean roster(Roster roster) {
    Peer sender = peer(roster.node());
    if (roster.incarnation() < sender.incarnation) {
      return false;
    }
    if (roster.incarnation() > sender.incarnation) {
      sender.begin(roster.incarnation());
    }
    // statements count from 1, so a process that has none of this one's is told all
    if (roster.serial() <= sender.serial || roster.since() > sender.serial) {
      return false;
    }
    sender.received = ++received;
    sender.hear(roster, store.incarnation(), clock.now());
    Set<String> told = takeMachines(roster, sender);
    boolean tellsAll = roster.since() == 0;
    if (tellsAll) {
      for (String id : sender.machines) {
        if (!told.contains(id)) {
          disown(roster.node(), id);
        }
      }
      sender.machines = told;
    } else {
      sender.machines.addAll(told);
    }
    for (String id : roster.gone()) {
      if (sender.machines.remove(id)) {
        disown(roster.node(), id);
      }
    }
    return true;
  }

  /** Whether the last roster taken in said something new of a machine, or of its owner. */
  boolean lastRosterChangedMachines() {
    return lastRosterChangedMachines;
  }

  /** Takes in the machines that the roster names; returns those that are its sender's. */
  private Set<String> takeMachines(Roster roster, Peer sender) {
    Set<String> told = new HashSet<>();
    lastRosterChangedMachines = false;
    for (RosterMachine state : roster.machines()) {
      // returned: its record is dropped, only its owner hasn't heard of it yet
      if (store.returned(state.machine(), state.version())) {
        continue;
      }
      Seen machine = machines.computeIfAbsent(state.machine(), Seen::new);
      if (machine.state != null && machine.state.token() > state.token()) {
        continue;
      }
      told.add(state.machine());
      boolean moved = !sender.node.equals(machine.owner);
      if (moved && machine.owner != null) {
        peer(machine.owner).machines.remove(state.machine());
      }
      lastRosterChangedMachines |= moved || machine.state == null || !state.sameAs(machine.state);
      machine.owner = sender.node;
      machine.ownerIncarnation = roster.incarnation();
      machine.updatedAt = clock.now();
      count(machine.state, -1);
      machine.state = state;
      count(state, 1);
    }
    return told;
  }

  private void count(RosterMachine state, int by) {
    if (state == null) {
      return;
    }
    for (RosterTask task : state.tasks()) {
      if (task.state() == TaskState.EXITED) {
        continue;
      }
      count(placed, task.job(), by);
      if (task.state() == TaskState.RUNNING) {
        count(running, task.job(), by);
      }
    }
  }

  private static void count(Object2IntOpenHashMap<String> of, String job, int by) {
    if (of.addTo(job, by) + by == 0) {
      of.removeInt(job);
    }
  }

  /** Tasks of the job that are on machines, or were accepted there. */
  int placed(String job) {
    return placed.getInt(job);
  }

  int running(String job) {
    return running.getInt(job);
  }

  /** Brings what follows from the machine's tasks up to date with what its owner told last. */
  void derive(Seen machine) {
    if (machine.derived == machine.state) {
      return;
    }
    machine.derived = machine.state;
    Set<String> images = new LinkedHashSet<>(machine.state.images());
    machine.fetching = new ArrayList<>();
    for (RosterTask task : machine.state.tasks()) {
      JobRec job = task.state() == TaskState.EXITED ? null : store.job(task.job());
      if (job == null) {
        continue;
      }
      images.add(job.spec().image());
      if (task.state() == null || task.state() == TaskState.FETCHING) {
        machine.fetching.add(job.spec().image());
      }
    }
    machine.images = images.toArray(new String[0]);
  }

  /** Whether replicas of services are on the machine, as its owner last told. */
  boolean hostsReplicas(Seen machine) {
    for (RosterTask task : machine.state.tasks()) {
      JobRec job = task.state() == TaskState.EXITED ? null : store.job(task.job());
      if (job != null && job.spec().service() && !job.over()) {
        return true;
      }
    }
    return false;
  }

  private void disown(String node, String machine) {
    Seen seen = machines.get(machine);
    if (seen != null && node.equals(seen.owner)) {
      seen.owner = null;
    }
  }

  /** When the machine's owner was last heard; what it has not changed since then still holds. */
  long heardAt(Seen machine) {
    return machine.owner == null ? Long.MIN_VALUE / 2 : peer(machine.owner).rosterAt;
  }

  /** Whether the machine's owner was heard so lately that a start has a chance there. */
  boolean heardLately(Seen machine) {
    return clock.now() - heardAt(machine) < Constants.ROSTER_STALE_MS;
  }

  void gone(String machine) {
    Seen seen = machines.remove(machine);
    if (seen != null) {
      count(seen.state, -1);
    }
    if (seen != null && seen.owner != null) {
      peer(seen.owner).machines.remove(machine);
    }
  }

  /**
   * Whether the machine's recorded owner has told all that is on it, with commands of former owners
   * dead. The roster's revision then says up to where no start of an older epoch can reach it.
   */
  boolean accounted(String machine, MachineRec record) {
    Seen seen = machines.get(machine);
    return seen != null
        && seen.owner != null
        && seen.state != null
        && seen.owner.equals(record.node())
        && seen.ownerIncarnation == record.incarnation()
        && seen.state.token() == record.token()
        && seen.state.confirmed();
  }
}
