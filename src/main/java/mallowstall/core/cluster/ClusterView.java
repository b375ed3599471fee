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
 * The machines and controllers, this one included, as status updates report them. The view is
 * always partial and slightly out of date, so machine leaders check every start again. Mutable.
 */
public final class ClusterView {
  private final EventClock clock;
  private final StateStore store;
  private final Map<String, MachineView> machines = new Object2ObjectOpenHashMap<>();
  private final Map<String, PeerState> peers = new HashMap<>();
  private final TaskCounts taskCounts = new TaskCounts();
  private final KeptResults keptResults;

  /** Machines whose status was applied while the state replica held no entry for them. */
  private final Set<String> machinesWithoutEntry = new HashSet<>();

  private long updatesReceived;
  private boolean lastUpdateChangedMachines;

  /** Creates an empty view; {@code store} shows which machines and jobs still exist. */
  public ClusterView(EventClock clock, StateStore store) {
    this.clock = clock;
    this.store = store;
    this.keptResults = new KeptResults(clock, store);
  }

  /** Returns the state of a controller, which may be this one; never null. */
  public PeerState peer(String node) {
    return peers.computeIfAbsent(node, PeerState::new);
  }

  /** Returns the view of a machine, or null if the machine is unknown. */
  public MachineView machine(String id) {
    return machines.get(id);
  }

  /** Returns all known machines in no particular order, as a live view. */
  public Collection<MachineView> machines() {
    return machines.values();
  }

  /** Returns the number of status updates applied so far. */
  public long updatesReceived() {
    return updatesReceived;
  }

  /**
   * Applies a status update. The sender builds its next update on the last one that this controller
   * has applied, so this controller doesn't have to request lost updates.
   *
   * @return false if the update isn't applied because a newer one has been applied, or because it
   *     builds on an update that was never received
   */
  boolean applyStatusUpdate(StatusUpdate update) {
    PeerState sender = peer(update.node());
    if (update.incarnation() < sender.incarnation()) {
      return false;
    }
    if (update.incarnation() > sender.incarnation()) {
      sender.startIncarnation(update.incarnation());
    }
    // Serial numbers start at 1: the first update applied of an incarnation must be a full one.
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

  /** Returns whether the last update applied changed the status or the leader of a machine. */
  boolean lastUpdateChangedMachines() {
    return lastUpdateChangedMachines;
  }

  /** Applies the machine statuses of an update; returns the machines whose status was applied. */
  private Set<String> applyMachines(StatusUpdate update, PeerState sender) {
    Set<String> led = new HashSet<>();
    lastUpdateChangedMachines = false;
    for (MachineStatus status : update.machines()) {
      // The machine's entry is deleted, but the machine leader hasn't seen the deletion yet.
      if (store.isMachineReturned(status.machine(), status.entryRevision())) {
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

  /** Removes a machine whose entry was deleted. */
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
   * Removes machines that were returned while the state replica held no entry for them, so that it
   * reported no deletion. This happens if the machine's status arrives during a new listing, or
   * before the state replica reaches the machine's entry: a listing reports no deletion of an entry
   * that the state replica never held. A machine has been returned if the state replica has reached
   * the entry revision in the machine's status and holds no entry for the machine (docs/design.md).
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

  /** Returns whether the entry on which the machine's newest status is based has been deleted. */
  private boolean isReturned(MachineView machine) {
    return machine.status() != null
        && store.isMachineReturned(machine.id(), machine.status().entryRevision());
  }

  /**
   * Returns the ids of machines that were returned but stay in the view until the next call of
   * {@link #removeReturnedMachines}. This method examines all machines and is meant for tests,
   * which compare the two results.
   */
  public List<String> returnedMachines() {
    return machines.values().stream().filter(this::isReturned).map(MachineView::id).toList();
  }

  /** Returns which machines keep results of services' replicas and so can't run these replicas. */
  public KeptResults keptResults() {
    return keptResults;
  }

  /** Returns the number of the job's tasks that are on machines or have been accepted there. */
  public int placedTasks(String job) {
    return taskCounts.placed(job);
  }

  /** Returns the number of the job's running tasks. */
  public int runningTasks(String job) {
    return taskCounts.running(job);
  }

  /** Collects the machine's images again if its status has changed since the last collection. */
  public void refreshImages(MachineView machine) {
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

  /** Returns whether the machine's status lists replicas of services that haven't ended. */
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
   * Returns the steady time in milliseconds at which the last update of the machine's leader
   * arrived, or a time far in the past if the machine has no leader. A machine that the update
   * omits had not changed when the leader composed the update, which may have been earlier.
   */
  public long lastUpdateMs(MachineView machine) {
    return machine.leader() == null ? Long.MIN_VALUE / 2 : peer(machine.leader()).lastUpdateMs();
  }

  /** Returns whether the machine's leader has published so recently that a start may succeed. */
  public boolean hasRecentUpdate(MachineView machine) {
    return clock.now() - lastUpdateMs(machine) < Constants.STATUS_UPDATE_STALE_MS;
  }

  /**
   * Returns whether the leader in the machine's entry has published everything that is on the
   * machine, and commands of former machine leaders can't reach the machine any more. If so, no
   * start by an earlier leader of a job can reach the machine, provided that the job was claimed at
   * or before the revision of the machine leader's state replica.
   */
  public boolean isFullyReported(String id, MachineEntry entry) {
    return reportingGap(id, entry) == ReportingGap.NONE;
  }

  /** Returns why {@link #isFullyReported} doesn't hold for the machine. */
  public ReportingGap reportingGap(String id, MachineEntry entry) {
    MachineView machine = machines.get(id);
    if (machine == null || machine.status() == null) {
      return ReportingGap.NO_STATUS;
    }
    if (machine.leader() == null) {
      return ReportingGap.RELEASED;
    }
    if (!machine.leader().equals(entry.node())) {
      return ReportingGap.OTHER_LEADER;
    }
    if (machine.leaderIncarnation() != entry.incarnation()) {
      return ReportingGap.FORMER_PROCESS;
    }
    if (machine.status().fencingToken() != entry.fencingToken()) {
      return ReportingGap.OTHER_TOKEN;
    }
    return machine.status().tokenAcknowledged()
        ? ReportingGap.NONE
        : ReportingGap.TOKEN_NOT_ACKNOWLEDGED;
  }
}
