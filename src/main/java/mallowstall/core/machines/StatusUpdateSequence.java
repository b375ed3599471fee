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
 * Numbers this controller's status updates and composes them for each receiver. An update contains
 * the changes since the last update that the receiver has acknowledged, or everything. Mutable.
 */
public final class StatusUpdateSequence {
  /** Maximum number of status updates whose time is kept; they cover more than a minute. */
  private static final int STATUS_UPDATE_TIMES_MAX = 600;

  /**
   * Maximum number of released machines that are kept for incremental updates. Beyond it peers get
   * full updates. It is more than twice the largest fleet, whose machines may all change their
   * leader twice.
   */
  private static final int RELEASED_MACHINES_MAX = 10_000;

  private final CoreSettings settings;
  private final StateStore store;
  private final CancellationExchange cancellations;
  private final ManagedMachines machines;
  private final MachineStatuses machineStatuses;

  private long updateNumber;

  /**
   * The times at which the newest updates were composed, in milliseconds of the steady clock, by
   * update number.
   */
  private final Long2LongLinkedOpenHashMap composedMs = new Long2LongLinkedOpenHashMap();

  /**
   * Machines that this controller no longer leads, each with the number of the update that first
   * reports this.
   */
  private final Map<String, Long> releasedMachines = new LinkedHashMap<>();

  /**
   * The smallest number of an update on which an incremental update may build. The machines that
   * were released after earlier updates are no longer kept.
   */
  private long minBaseUpdate;

  /** Creates a sequence of updates about the given machines. */
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

  /**
   * Returns whether this process has its incarnation and a complete state replica. Updates contain
   * the incarnation and the state replica's revision.
   */
  boolean ready() {
    return store.incarnation() != 0 && store.synced();
  }

  /** Begins the next update and returns the machines whose statuses were first published in it. */
  List<ManagedMachine> beginUpdate(long now) {
    updateNumber++;
    composedMs.put(updateNumber, now);
    if (composedMs.size() > STATUS_UPDATE_TIMES_MAX) {
      composedMs.removeFirstLong();
    }
    return machineStatuses.publishChanges(updateNumber, now);
  }

  /** Composes the current update for a peer, incremental if possible, else full. */
  StatusUpdate composeFor(PeerState peer, long now, List<StartRejection> rejections) {
    long baseUpdate = peer.acknowledgedSerial() >= minBaseUpdate ? peer.acknowledgedSerial() : 0;
    List<MachineStatus> statuses = new ArrayList<>();
    for (ManagedMachine machine : machines.all()) {
      if (machine.published().updateNumber() > baseUpdate) {
        statuses.add(machine.published().status());
      }
    }
    // An acknowledgement implies that this update contains all cancellations that are newer than
    // the peer's state replica.
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

  /**
   * Composes the current update for this controller's own view, which has applied all earlier
   * updates.
   */
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
   * Returns the time at which an update was composed, in milliseconds of the steady clock. If the
   * number is unknown or no longer kept, returns a time long before the process started.
   */
  public long composedMs(long number) {
    return composedMs.getOrDefault(number, Long.MIN_VALUE / 2);
  }

  /** Adds to the next update that this controller no longer leads the machine. */
  void addReleased(String id) {
    releasedMachines.put(id, updateNumber + 1);
    if (releasedMachines.size() > RELEASED_MACHINES_MAX) {
      minBaseUpdate = updateNumber + 1;
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
