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
import mallowstall.core.Model.JobRec;
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
    long at;

    RosterMachine m;

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
      return m.freeCpus() - sentCpus;
    }

    double freeGpus() {
      return m.freeGpus() - sentGpus;
    }

    double freeMemory() {
      return m.freeMemoryGb() - sentMemory;
    }

    boolean takes() {
      return m != null
          && owner != null
          && m.confirmed()
          && m.usable()
          && !m.draining()
          && !m.silent()
          && !m.replace();
    }

    /** Whether it will be gone before long, by the cloud's notice or since it fails its tasks. */
    boolean leaves() {
      return m != null && owner != null && (m.noticeS() >= 0 || m.replace());
    }

    /** For how long it has been idle, or silent; what was told then has gone on since. */
    long idleMs(long now) {
      return m.idleMs() == 0 ? 0 : m.idleMs() + now - at;
    }
  }

  /** What is known of a controller's roster. */
  static final class Peer {
    final String node;
    long incarnation;
    long serial;
    long connection;
    long nextSeq = 1;
    long ackedConnection;
    long ackedSeq;
    long rosterAt = Long.MIN_VALUE / 2;

    /** Which of the rosters received here its last one was. */
    long received;

    /** Its newest statement that this controller has taken in, and the process that made it. */
    long heardIncarnation;

    long heardSerial;

    /** This controller's newest statement that the peer has taken in; 0: tell it all. */
    long knows;

    long rosterRevision;
    long mirrorFreshAt = Long.MIN_VALUE / 2;

    /**
     * Up to when this controller knows of all cancellations that the peer has told users: its
     * statement names them, and it was made after it had taken in one that was sent from here at
     * this time. Dated from its arrival, a statement that a cut had held back passed for new.
     */
    long cancelsKnownAt = Long.MIN_VALUE / 2;

    /** What this controller acknowledges to that one. */
    long gotConnection;

    long gotSeq;
    long gotIncarnation;
    Set<String> machines = new HashSet<>();

    Peer(String node) {
      this.node = node;
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

  private final Core core;

  View(Core core) {
    this.core = core;
  }

  Peer peer(String node) {
    return peers.computeIfAbsent(node, Peer::new);
  }

  /**
   * Takes in a roster; returns false if it is older than what is known, or builds on a statement
   * that never came. The sender then goes on from the last one that did, so nothing need be asked.
   */
  boolean roster(Roster r) {
    Peer p = peer(r.node());
    if (r.incarnation() < p.incarnation) {
      return false;
    }
    if (r.incarnation() > p.incarnation) {
      p.incarnation = r.incarnation();
      p.ackedConnection = 0;
      p.ackedSeq = 0;
      p.serial = 0;
      p.heardIncarnation = r.incarnation();
      p.heardSerial = 0;
    }
    // statements count from 1, so a process that has none of this one's is told all
    if (r.serial() <= p.serial || r.since() > p.serial) {
      return false;
    }
    p.serial = r.serial();
    p.heardSerial = r.serial();
    p.knows = r.heardIncarnation() == core.incarnation() ? r.heardSerial() : 0;
    p.received = ++received;
    long now = core.now();
    p.rosterAt = now;
    p.rosterRevision = r.mirrorRevision();
    // Connections are numbered anew by each process: what the peer acknowledges of a former one
    // says nothing of this one's starts. Taking it for an answer once started a task twice.
    boolean mine = r.ackedIncarnation() == core.incarnation();
    p.ackedConnection = mine ? r.ackedConnection() : 0;
    p.ackedSeq = mine ? r.ackedSeq() : 0;
    p.mirrorFreshAt = now - r.sinceMirrorMs();
    Set<String> names = r.since() == 0 ? new HashSet<>() : null;
    for (RosterMachine m : r.machines()) {
      // returned: its record is dropped, only its owner hasn't heard of it yet
      if (core.returned(m.machine(), m.version())) {
        continue;
      }
      Seen s = machines.computeIfAbsent(m.machine(), Seen::new);
      if (s.m != null && s.m.token() > m.token()) {
        continue;
      }
      if (names != null) {
        names.add(m.machine());
      }
      if (s.owner != null && !s.owner.equals(r.node())) {
        peer(s.owner).machines.remove(m.machine());
      }
      s.owner = r.node();
      s.ownerIncarnation = r.incarnation();
      s.at = now;
      count(s.m, -1);
      s.m = m;
      count(m, 1);
      if (names == null) {
        p.machines.add(m.machine());
      }
    }
    for (String id : r.gone())
      if (p.machines.remove(id)) {
        disown(r.node(), id);
      }
    if (names != null) {
      for (String id : p.machines)
        if (!names.contains(id)) {
          disown(r.node(), id);
        }
      p.machines = names;
    }
    return true;
  }

  private void count(RosterMachine m, int by) {
    if (m == null) {
      return;
    }
    for (RosterTask t : m.tasks()) {
      if (t.state() == TaskState.EXITED) {
        continue;
      }
      count(placed, t.job(), by);
      if (t.state() == TaskState.RUNNING) {
        count(running, t.job(), by);
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
  void derive(Seen s) {
    if (s.derived == s.m) {
      return;
    }
    s.derived = s.m;
    Set<String> images = new LinkedHashSet<>(s.m.images());
    s.fetching = new ArrayList<>();
    for (RosterTask t : s.m.tasks()) {
      JobRec r = t.state() == TaskState.EXITED ? null : core.store().job(t.job());
      if (r == null) {
        continue;
      }
      images.add(r.spec().image());
      if (t.state() == null || t.state() == TaskState.FETCHING) {
        s.fetching.add(r.spec().image());
      }
    }
    s.images = images.toArray(new String[0]);
  }

  /** Whether replicas of services are on the machine, as its owner last told. */
  boolean hostsReplicas(Seen s) {
    for (RosterTask t : s.m.tasks()) {
      JobRec r = t.state() == TaskState.EXITED ? null : core.store().job(t.job());
      if (r != null && r.spec().service() && !r.over()) {
        return true;
      }
    }
    return false;
  }

  private void disown(String node, String machine) {
    Seen s = machines.get(machine);
    if (s != null && node.equals(s.owner)) {
      s.owner = null;
    }
  }

  /** When the machine's owner was last heard; what it has not changed since then still holds. */
  long heardAt(Seen s) {
    return s.owner == null ? Long.MIN_VALUE / 2 : peer(s.owner).rosterAt;
  }

  void gone(String machine) {
    Seen s = machines.remove(machine);
    if (s != null) {
      count(s.m, -1);
    }
    if (s != null && s.owner != null) {
      peer(s.owner).machines.remove(machine);
    }
  }

  /**
   * Whether the machine's recorded owner has told all that is on it, with commands of former owners
   * dead. The roster's revision then says up to where no start of an older epoch can reach it.
   */
  boolean accounted(String machine, MachineRec rec) {
    Seen s = machines.get(machine);
    return s != null
        && s.owner != null
        && s.m != null
        && s.owner.equals(rec.node())
        && s.ownerIncarnation == rec.incarnation()
        && s.m.token() == rec.token()
        && s.m.confirmed();
  }
}
