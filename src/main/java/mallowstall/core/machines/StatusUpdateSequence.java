package mallowstall.core.machines;

import it.unimi.dsi.fastutil.longs.Long2LongLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mallowstall.core.cluster.CancellationExchange;
import mallowstall.core.cluster.PeerState;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.MachineStatus;
import mallowstall.core.model.StartRejection;
import mallowstall.core.model.StatusUpdate;

/**
 * Numbers this controller's status updates and composes them for each receiver: what has changed
 * since the last update that the receiver has acknowledged, or everything. Mutable.
 */
public final class StatusUpdateSequence {
  /** Count. Status updates whose time of sending is kept: more than a minute of them. */
  private static final int STATUS_UPDATE_TIMES_MAX = 600;

  /**
   * Count. Released machines that are remembered for incremental updates; beyond it peers get full
   * ones. More than twice the largest fleet, whose machines may all change leader twice.
   */
  private static final int RELEASED_MACHINES_MAX = 10_000;

  private final CoreSettings settings;
  private final StateStore store;
  private final CancellationExchange cancellations;
  private final ManagedMachines machines;
  private final MachineStatuses machineStatuses;

  private long updateNumber;

  /** When the newest updates were composed, in ms of the steady clock. */
  private final Long2LongLinkedOpenHashMap composedMs = new Long2LongLinkedOpenHashMap();

  /** Machines that are no longer led here, with the update that says so. */
  private final Map<String, Long> releasedMachines = new LinkedHashMap<>();

  /** No increment can be built on earlier updates: the machines released since are forgotten. */
  private long releasesKnownFrom;

  /** Composes updates from the machines led here. */
  public StatusUpdateSequence(
      CoreSettings settings,
      StateStore store,
      CancellationExchange cancellations,
      ManagedMachines machines,
      MachineStatuses machineStatuses) {
    this.settings = settings;
    this.store = store;
    this.cancellations = cancellations;
    this.machines = machines;
    this.machineStatuses = machineStatuses;
  }

  /** Whether this process has its incarnation and a complete replica, which updates name. */
  boolean ready() {
    return store.incarnation() != 0 && store.synced();
  }

  /** Begins the next update and returns the machines that have changed since the last. */
  List<ManagedMachine> beginUpdate(long now) {
    updateNumber++;
    composedMs.put(updateNumber, now);
    if (composedMs.size() > STATUS_UPDATE_TIMES_MAX) {
      composedMs.removeFirstLong();
    }
    return machineStatuses.publishChanges(updateNumber, now);
  }

  /** The current update for a peer: an increment if possible, else everything. */
  StatusUpdate composeFor(PeerState peer, long now, List<StartRejection> rejections) {
    long baseUpdate =
        peer.acknowledgedSerial() >= releasesKnownFrom ? peer.acknowledgedSerial() : 0;
    List<MachineStatus> statuses = new ArrayList<>();
    for (ManagedMachine machine : machines.all()) {
      if (machine.published().updateNumber() > baseUpdate) {
        statuses.add(machine.published().status());
      }
    }
    // an acknowledgement vouches for all cancellations that are newer than the peer's replica
    boolean acknowledges =
        peer.replicaRevision() > 0 && cancellations.retainsSince(peer.replicaRevision());
    return new StatusUpdate(
        settings.node(),
        store.incarnation(),
        updateNumber,
        baseUpdate,
        acknowledges ? peer.incarnation() : 0,
        acknowledges ? peer.serial() : 0,
        store.revision(),
        peer.lastStartsIncarnation(),
        peer.lastStartsConnection(),
        peer.lastStartsSequence(),
        now - store.freshAtMs(),
        acknowledges ? cancellations.cancelledSince(peer.replicaRevision()) : List.of(),
        statuses,
        baseUpdate == 0 ? List.of() : releasedSince(baseUpdate),
        rejections);
  }

  /** The current update for this controller's own view; it has applied all earlier ones. */
  StatusUpdate composeForSelf(
      PeerState self, List<ManagedMachine> changed, List<StartRejection> rejections) {
    List<MachineStatus> statuses = new ArrayList<>();
    for (ManagedMachine machine : changed) {
      statuses.add(machine.published().status());
    }
    return new StatusUpdate(
        settings.node(),
        store.incarnation(),
        updateNumber,
        self.serial(),
        store.incarnation(),
        updateNumber,
        store.revision(),
        self.lastStartsIncarnation(),
        self.lastStartsConnection(),
        self.lastStartsSequence(),
        0,
        List.of(),
        statuses,
        releasedSince(self.serial()),
        rejections);
  }

  /**
   * When an update was composed, in ms of the steady clock; long before the process began if the
   * number is unknown or forgotten.
   */
  public long composedMs(long number) {
    return composedMs.getOrDefault(number, Long.MIN_VALUE / 2);
  }

  /** The next update says that the machine is no longer led here. */
  void addReleased(String id) {
    releasedMachines.put(id, updateNumber + 1);
    if (releasedMachines.size() > RELEASED_MACHINES_MAX) {
      releasesKnownFrom = updateNumber + 1;
      releasedMachines.clear();
    }
  }

  private List<String> releasedSince(long since) {
    List<String> released = new ArrayList<>();
    releasedMachines.forEach(
        (id, releasedIn) -> {
          if (releasedIn > since && !machines.contains(id)) {
            released.add(id);
          }
        });
    return released;
  }
}
