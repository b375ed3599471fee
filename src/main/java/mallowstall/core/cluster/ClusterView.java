package mallowstall.core.cluster;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
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
 * What this controller knows of all machines and controllers by status updates, its own included.
 * Always partial and a little old: machine leaders check every start again. Mutable.
 */
public final class ClusterView {
  private final EventClock clock;
  private final StateStore store;
  private final Map<String, MachineView> machines = new Object2ObjectOpenHashMap<>();
  private final Map<String, PeerState> peers = new HashMap<>();
  private final TaskCounts taskCounts = new TaskCounts();
  private final KeptResults keptResults;

  /** Machines whose status was taken in while the replica had no entry of them. */
  private final Set<String> machinesWithoutEntry = new HashSet<>();

  private long updatesReceived;
  private boolean lastUpdateChangedMachines;

  /** A view of no machines; {@code store} tells which machines and jobs still exist. */
  public ClusterView(EventClock clock, StateStore store) {
    this.clock = clock;
    this.store = store;
    this.keptResults = new KeptResults(clock, store);
  }

  /** What is known of a controller, which may be this process itself; never null. */
  public PeerState peer(String node) {
    return peers.computeIfAbsent(node, PeerState::new);
  }

  /** What is known of a machine; null if nothing is. */
  public MachineView machine(String id) {
    return machines.get(id);
  }

  /** All machines of which anything is known, in no particular order; a live view. */
  public Collection<MachineView> machines() {
    return machines.values();
  }

  /** The number of status updates applied so far. */
  public long updatesReceived() {
    return updatesReceived;
  }

  /**
   * Applies a status update. The sender builds its next one on the last that was applied, so
   * nothing need be requested after a gap.
   *
   * @return false: not applied, since it is older than what is known or builds on one that was
   *     never received
   */
  boolean applyStatusUpdate(StatusUpdate update) {
    PeerState sender = peer(update.node());
    if (update.incarnation() < sender.incarnation()) {
      return false;
    }
    if (update.incarnation() > sender.incarnation()) {
      sender.startIncarnation(update.incarnation());
    }
    // serials start at 1, so a process that has applied none of this one's gets a full update
    if (update.serial() <= sender.serial() || update.baseSerial() > sender.serial()) {
      return false;
    }
    sender.applyHeader(update, ++updatesReceived, store.incarnation(), clock.now());
    Set<String> listed = applyMachines(update, sender);
    boolean isFullUpdate = update.baseSerial() == 0;
    if (isFullUpdate) {
      for (String id : sender.machines()) {
        if (!listed.contains(id)) {
          clearLeader(update.node(), id);
        }
      }
      sender.replaceMachines(listed);
    } else {
      sender.addMachines(listed);
    }
    for (String id : update.releasedMachines()) {
      if (sender.removeMachine(id)) {
        clearLeader(update.node(), id);
      }
    }
    return true;
  }

  /**
   * Whether the last update applied changed a machine's status or leader, and didn't just repeat.
   */
  boolean lastUpdateChangedMachines() {
    return lastUpdateChangedMachines;
  }

  /** Applies the status of each machine of an update; returns those that its sender leads. */
  private Set<String> applyMachines(StatusUpdate update, PeerState sender) {
    Set<String> led = new HashSet<>();
    lastUpdateChangedMachines = false;
    for (MachineStatus status : update.machines()) {
      // its entry is deleted, and its leader doesn't know that yet
      if (store.returned(status.machine(), status.entryRevision())) {
        continue;
      }
      MachineView machine = machines.computeIfAbsent(status.machine(), MachineView::new);
      MachineStatus former = machine.status();
      if (former != null && former.fencingToken() > status.fencingToken()) {
        continue;
      }
      led.add(status.machine());
      boolean leaderChanged = !sender.node().equals(machine.leader());
      if (leaderChanged && machine.leader() != null) {
        peer(machine.leader()).removeMachine(status.machine());
      }
      lastUpdateChangedMachines |=
          leaderChanged || former == null || !status.sameIgnoringElapsedTime(former);
      taskCounts.subtract(former);
      machine.applyStatus(sender.node(), update.incarnation(), status, clock.now());
      taskCounts.add(status);
      if (store.machine(status.machine()) == null) {
        machinesWithoutEntry.add(status.machine());
      }
      keptResults.recordEnds(status);
    }
    return led;
  }

  private void clearLeader(String node, String id) {
    MachineView machine = machines.get(id);
    if (machine != null && node.equals(machine.leader())) {
      machine.clearLeader();
    }
  }

  /** The machine's entry was deleted: nothing is known of it any more. */
  public void removeMachine(String id) {
    keptResults.removeMachine(id);
    MachineView machine = machines.remove(id);
    if (machine == null) {
      return;
    }
    taskCounts.subtract(machine.status());
    if (machine.leader() != null) {
      peer(machine.leader()).removeMachine(id);
    }
  }

  /**
   * Removes the machines that prove to be returned although no deletion of their entry was seen: a
   * status may name one while the replica is listed anew, or is behind the entry, and a listing
   * reports no deletion of what it never held. A replica that has passed the revision of the entry
   * that the status goes by, and holds none, proves it (docs/design.md).
   *
   * @return the machines that were removed
   */
  public List<String> removeReturnedMachines() {
    if (machinesWithoutEntry.isEmpty()) {
      return List.of();
    }
    List<String> returned = new ArrayList<>();
    for (String id : new ArrayList<>(machinesWithoutEntry)) {
      MachineView machine = machines.get(id);
      if (machine == null || store.machine(id) != null) {
        machinesWithoutEntry.remove(id);
      } else if (isReturned(machine)) {
        machinesWithoutEntry.remove(id);
        removeMachine(id);
        returned.add(id);
      }
    }
    return returned;
  }

  /** Whether the entry by which the machine's newest status goes has been deleted. */
  private boolean isReturned(MachineView machine) {
    return machine.status() != null
        && store.returned(machine.id(), machine.status().entryRevision());
  }

  /**
   * Names of machines that have been returned and are in the view all the same, until {@link
   * #removeReturnedMachines} is called next; for tests, which compare with looking at all machines.
   */
  public List<String> returnedMachines() {
    return machines.values().stream().filter(this::isReturned).map(MachineView::id).toList();
  }

  /** Which machines keep results of replicas, and so can't serve these. */
  public KeptResults keptResults() {
    return keptResults;
  }

  /** The number of the job's tasks that are on machines or were accepted there. */
  public int placedTasks(String job) {
    return taskCounts.placed(job);
  }

  /** The number of the job's tasks that run. */
  public int runningTasks(String job) {
    return taskCounts.running(job);
  }

  /** Collects the machine's images anew if its status has changed since they were. */
  public void updateDerivedState(MachineView machine) {
    if (machine.hasCurrentImages()) {
      return;
    }
    Set<String> images = new LinkedHashSet<>(machine.status().images());
    List<String> fetching = new ArrayList<>();
    for (TaskStatus task : machine.status().tasks()) {
      JobEntry job = task.state() == TaskState.EXITED ? null : store.job(task.job());
      if (job == null) {
        continue;
      }
      images.add(job.spec().image());
      if (task.state() == null || task.state() == TaskState.FETCHING) {
        fetching.add(job.spec().image());
      }
    }
    machine.setCurrentImages(images.toArray(new String[0]), fetching);
  }

  /** Whether replicas of services are on the machine, by its status. */
  public boolean hostsReplicas(MachineView machine) {
    for (TaskStatus task : machine.status().tasks()) {
      JobEntry job = task.state() == TaskState.EXITED ? null : store.job(task.job());
      if (job != null && job.spec().isService() && !job.isTerminal()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Steady time in ms of the last update from the machine's leader; far in the past if it has none.
   * What that update doesn't name has not changed up to then.
   */
  public long lastUpdateMs(MachineView machine) {
    return machine.leader() == null ? Long.MIN_VALUE / 2 : peer(machine.leader()).lastUpdateMs();
  }

  /** Whether the machine's leader published so lately that a start has a chance there. */
  public boolean hasRecentUpdate(MachineView machine) {
    return clock.now() - lastUpdateMs(machine) < Constants.STATUS_UPDATE_STALE_MS;
  }

  /**
   * Whether the leader in the machine's entry has published all that is on it, and commands of
   * former leaders can't reach it any more. The revision of that leader's replica then tells up to
   * which claims of a job's leadership no start of an earlier one can reach the machine.
   */
  public boolean isFullyReported(String id, MachineEntry entry) {
    MachineView machine = machines.get(id);
    return machine != null
        && machine.leader() != null
        && machine.status() != null
        && machine.leader().equals(entry.node())
        && machine.leaderIncarnation() == entry.incarnation()
        && machine.status().fencingToken() == entry.fencingToken()
        && machine.status().tokenAcknowledged();
  }
}
