package mallowstall.core.cluster;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import mallowstall.Constants;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.MachineStatus;
import mallowstall.core.model.StatusUpdate;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.TaskStatus;

/**
 * What this controller knows of all machines: its own from reports, the others' from their owners'
 * rosters. Always partial and a little old; owners vet every start.
 */
public final class ClusterView {

  public final Map<String, MachineView> machines = new Object2ObjectOpenHashMap<>();

  /**
   * Tasks on machines and running ones among them, by job, as all owners tell. Kept with each
   * machine that changes: counted over all machines in every round, and for every question about a
   * job held elsewhere, they took a third of all processor time.
   */
  private final Object2IntOpenHashMap<String> placedTasks = new Object2IntOpenHashMap<>();

  private final Object2IntOpenHashMap<String> runningTasks = new Object2IntOpenHashMap<>();
  final Map<String, PeerState> peers = new HashMap<>();

  /** Rosters received so far. */
  public long updatesReceived;

  /** Whether the last roster said something new of a machine, and didn't only restate. */
  private boolean lastUpdateChangedMachines;

  private final EventClock clock;
  private final StateStore store;

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public ClusterView(EventClock clock, StateStore store) {
    this.clock = clock;
    this.store = store;
  }

  /** What is known of this controller, which may be this process itself; never null. */
  public PeerState peer(String node) {
    return peers.computeIfAbsent(node, PeerState::new);
  }

  /**
   * Takes in a roster; returns false if it is older than what is known, or builds on a statement
   * that never came. The sender then goes on from the last one that did, so nothing need be asked.
   */
  boolean applyStatusUpdate(StatusUpdate statusUpdate) {
    PeerState sender = peer(statusUpdate.node());
    if (statusUpdate.incarnation() < sender.incarnation()) {
      return false;
    }
    if (statusUpdate.incarnation() > sender.incarnation()) {
      sender.startIncarnation(statusUpdate.incarnation());
    }
    // statements count from 1, so a process that has none of this one's is told all
    if (statusUpdate.serial() <= sender.serial() || statusUpdate.baseSerial() > sender.serial()) {
      return false;
    }
    sender.setLastUpdateOrdinal(++updatesReceived);
    sender.applyHeader(statusUpdate, store.incarnation(), clock.now());
    Set<String> listedMachines = applyMachines(statusUpdate, sender);
    boolean isFullUpdate = statusUpdate.baseSerial() == 0;
    if (isFullUpdate) {
      for (String id : sender.machines()) {
        if (!listedMachines.contains(id)) {
          clearLeader(statusUpdate.node(), id);
        }
      }
      sender.setMachines(listedMachines);
    } else {
      sender.machines().addAll(listedMachines);
    }
    for (String id : statusUpdate.releasedMachines()) {
      if (sender.machines().remove(id)) {
        clearLeader(statusUpdate.node(), id);
      }
    }
    return true;
  }

  /** Whether the last roster taken in said something new of a machine, or of its owner. */
  boolean lastUpdateChangedMachines() {
    return lastUpdateChangedMachines;
  }

  /** Takes in the machines that the roster names; returns those that are its sender's. */
  private Set<String> applyMachines(StatusUpdate statusUpdate, PeerState sender) {
    Set<String> listedMachines = new HashSet<>();
    lastUpdateChangedMachines = false;
    for (MachineStatus status : statusUpdate.machines()) {
      // returned: its record is dropped, only its owner hasn't heard of it yet
      if (store.returned(status.machine(), status.entryRevision())) {
        continue;
      }
      MachineView machine = machines.computeIfAbsent(status.machine(), MachineView::new);
      if (machine.status() != null && machine.status().fencingToken() > status.fencingToken()) {
        continue;
      }
      listedMachines.add(status.machine());
      boolean leaderChanged = !sender.node().equals(machine.leader());
      if (leaderChanged && machine.leader() != null) {
        peer(machine.leader()).machines().remove(status.machine());
      }
      lastUpdateChangedMachines |=
          leaderChanged
              || machine.status() == null
              || !status.sameIgnoringElapsedTime(machine.status());
      machine.setLeader(sender.node());
      machine.setLeaderIncarnation(statusUpdate.incarnation());
      machine.setUpdatedAtMs(clock.now());
      adjustCount(machine.status(), -1);
      machine.setStatus(status);
      adjustCount(status, 1);
    }
    return listedMachines;
  }

  private void adjustCount(MachineStatus status, int delta) {
    if (status == null) {
      return;
    }
    for (TaskStatus task : status.tasks()) {
      if (task.state() == TaskState.EXITED) {
        continue;
      }
      adjustCount(placedTasks, task.job(), delta);
      if (task.state() == TaskState.RUNNING) {
        adjustCount(runningTasks, task.job(), delta);
      }
    }
  }

  private static void adjustCount(Object2IntOpenHashMap<String> counts, String job, int delta) {
    if (counts.addTo(job, delta) + delta == 0) {
      counts.removeInt(job);
    }
  }

  /** Tasks of the job that are on machines, or were accepted there. */
  public int placedTasks(String job) {
    return placedTasks.getInt(job);
  }

  /** Number of the job's tasks that machine leaders show as running. */
  public int runningTasks(String job) {
    return runningTasks.getInt(job);
  }

  /** Brings what follows from the machine's tasks up to date with what its owner told last. */
  @SuppressWarnings("ReferenceEquality") // a new status object is a new status
  public void updateDerivedState(MachineView machine) {
    if (machine.derivedFrom() == machine.status()) {
      return;
    }
    machine.setDerivedFrom(machine.status());
    Set<String> images = new LinkedHashSet<>(machine.status().images());
    machine.setFetchingImages(new ArrayList<>());
    for (TaskStatus task : machine.status().tasks()) {
      JobEntry job = task.state() == TaskState.EXITED ? null : store.job(task.job());
      if (job == null) {
        continue;
      }
      images.add(job.spec().image());
      if (task.state() == null || task.state() == TaskState.FETCHING) {
        machine.fetchingImages().add(job.spec().image());
      }
    }
    machine.setImages(images.toArray(new String[0]));
  }

  /** Whether replicas of services are on the machine, as its owner last told. */
  public boolean hostsReplicas(MachineView machine) {
    for (TaskStatus task : machine.status().tasks()) {
      JobEntry job = task.state() == TaskState.EXITED ? null : store.job(task.job());
      if (job != null && job.spec().isService() && !job.isTerminal()) {
        return true;
      }
    }
    return false;
  }

  private void clearLeader(String node, String machine) {
    MachineView machineView = machines.get(machine);
    if (machineView != null && node.equals(machineView.leader())) {
      machineView.setLeader(null);
    }
  }

  /** When the machine's owner was last heard; what it has not changed since then still holds. */
  public long lastUpdateMs(MachineView machine) {
    return machine.leader() == null ? Long.MIN_VALUE / 2 : peer(machine.leader()).lastUpdateMs();
  }

  /** Whether the machine's owner was heard so lately that a start has a chance there. */
  public boolean hasRecentUpdate(MachineView machine) {
    return clock.now() - lastUpdateMs(machine) < Constants.STATUS_UPDATE_STALE_MS;
  }

  /** The machine's entry was deleted: nothing is known of it any more. */
  public void removeMachine(String machine) {
    MachineView machineView = machines.remove(machine);
    if (machineView != null) {
      adjustCount(machineView.status(), -1);
    }
    if (machineView != null && machineView.leader() != null) {
      peer(machineView.leader()).machines().remove(machine);
    }
  }

  /**
   * Whether the machine's recorded owner has told all that is on it, with commands of former owners
   * dead. The roster's revision then says up to where no start of an older epoch can reach it.
   */
  public boolean isFullyReported(String machine, MachineEntry entry) {
    MachineView machineView = machines.get(machine);
    return machineView != null
        && machineView.leader() != null
        && machineView.status() != null
        && machineView.leader().equals(entry.node())
        && machineView.leaderIncarnation() == entry.incarnation()
        && machineView.status().fencingToken() == entry.fencingToken()
        && machineView.status().tokenAcknowledged();
  }
}
