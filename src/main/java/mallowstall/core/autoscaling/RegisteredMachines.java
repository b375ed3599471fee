package mallowstall.core.autoscaling;

import java.util.HashMap;
import java.util.Map;
import mallowstall.Constants;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.cluster.ReturnedMachines;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.kv.StoredValue;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.MachineEntry;

/** Counts the machines that have an entry in the state, and finds those to be returned. Mutable. */
public final class RegisteredMachines {
  /**
   * ms. Within this and one and a half heartbeat intervals a worker whose controller has ended has
   * registered with another: 4 s for the missing response, 1 s before the next try, the rest for
   * the registration.
   */
  private static final long WORKER_REREGISTRATION_MS = 7_500;

  /** s. With less than this left of its notice an unresponsive machine counts as removed. */
  private static final double INTERRUPTION_IMMINENT_S = 2;

  /**
   * ms. Added to the heartbeat interval: a machine with replicas that is unresponsive for longer is
   * returned, which proves that they have ended. Its tasks would be lost with its lease some
   * seconds later.
   */
  private static final long UNRESPONSIVE_REPLICA_HOST_MARGIN_MS = 5_000;

  /** ms. Added to a worker's lease: a machine unresponsive for longer is returned. */
  private static final long UNRESPONSIVE_SCALE_IN_MARGIN_MS = 12_000;

  private final CoreSettings settings;
  private final StateStore store;
  private final ClusterView view;
  private final PendingMachines pendingMachines;
  private final ReturnedMachines returnedMachines;

  /** Machines of which no status update tells, and since when. */
  private final Map<String, Long> unaccountedSinceMs = new HashMap<>();

  /** Faulty machines with replicas that are still to be relocated, and since when. */
  private final Map<String, Long> replaceSinceMs = new HashMap<>();

  /** Machines that turn out to be registered are pending no longer. */
  public RegisteredMachines(
      CoreSettings settings,
      StateStore store,
      ClusterView view,
      PendingMachines pendingMachines,
      ReturnedMachines returnedMachines) {
    this.settings = settings;
    this.store = store;
    this.view = view;
    this.pendingMachines = pendingMachines;
    this.returnedMachines = returnedMachines;
  }

  /** Counts all registered machines and forgets those that no longer are. */
  void count(MachineCensus census, long now) {
    for (Map.Entry<String, StoredValue> entry :
        store.entriesUnder(StateKeys.MACHINE_PREFIX).entrySet()) {
      String id = StateKeys.machineOf(entry.getKey());
      countMachine(id, (MachineEntry) entry.getValue().value(), census, now);
    }
    census.resolveLost();
    unaccountedSinceMs.keySet().retainAll(census.registered());
    replaceSinceMs.keySet().retainAll(census.registered());
  }

  private void countMachine(String id, MachineEntry entry, MachineCensus census, long now) {
    census.addRegistered(id);
    pendingMachines.remove(id);
    if (returnedMachines.contains(id)) {
      census.addLateEntry(id);
      return;
    }
    MachineView machine = view.machine(id);
    boolean leaderLive = store.isLive(entry.node(), entry.incarnation());
    if (view.isFullyReported(id, entry)
        && leaderLive
        && now - view.lastUpdateMs(machine) < 2 * Constants.STATUS_UPDATE_STALE_MS) {
      unaccountedSinceMs.remove(id);
      countAccounted(machine, census, now);
      return;
    }
    if (leaderLive && isPeerUnresponsive(entry.node(), now)) {
      census.addExpected(entry.type());
      return;
    }
    long unaccountedMs = now - unaccountedSinceMs.computeIfAbsent(id, k -> now);
    if (unaccountedMs > settings.workerLeaseMs() + 2 * UNRESPONSIVE_SCALE_IN_MARGIN_MS) {
      census.addToReturn(id);
    } else if (!leaderLive && unaccountedMs > failoverGraceMs()) {
      census.addUnmanaged(id);
    } else {
      census.addExpected(entry.type());
    }
  }

  private boolean isPeerUnresponsive(String node, long now) {
    return !node.equals(settings.node())
        && now - view.peer(node).lastUpdateMs() > Constants.STATUS_UPDATE_STALE_MS;
  }

  /** A machine whose leader is live and has published its status. */
  private void countAccounted(MachineView machine, MachineCensus census, long now) {
    if (machine.status().unresponsive()) {
      countUnresponsive(machine, census, now);
    } else if (machine.status().needsReplacement()) {
      if (!view.hostsReplicas(machine) || isReplacementOverdue(machine.id(), now)) {
        census.addToReturn(machine.id());
      }
    } else if (machine.status().interruptionNoticeS() < 0) {
      census.addAvailable(machine);
    }
  }

  private void countUnresponsive(MachineView machine, MachineCensus census, long now) {
    long unresponsiveMs = machine.idleMs(now);
    if (isReclaimedByCloud(machine, now)
        || unresponsiveMs > settings.workerLeaseMs() + UNRESPONSIVE_SCALE_IN_MARGIN_MS) {
      census.addToReturn(machine.id());
      return;
    }
    census.addUnresponsive();
    if (unresponsiveMs > unresponsiveHostMs() && view.hostsReplicas(machine)) {
      census.addUnresponsiveHost(machine.id());
    }
  }

  /** How long a machine whose leader has no session may take to register with another. */
  private long failoverGraceMs() {
    return WORKER_REREGISTRATION_MS + settings.heartbeatIntervalMs() * 3 / 2;
  }

  /**
   * Unresponsive at the end of its interruption notice: the cloud has taken it back, and a return
   * proves at once what its lease would prove only later.
   */
  private static boolean isReclaimedByCloud(MachineView machine, long now) {
    double remainingS =
        machine.status().interruptionNoticeS() - (now - machine.updatedAtMs()) / 1000.0;
    return machine.status().interruptionNoticeS() >= 0 && remainingS < INTERRUPTION_IMMINENT_S;
  }

  /** Some heartbeats later than where a machine counts as unresponsive. */
  private long unresponsiveHostMs() {
    return UNRESPONSIVE_REPLICA_HOST_MARGIN_MS + settings.heartbeatIntervalMs();
  }

  /** Whether a faulty machine's replicas have had their time to be relocated. */
  private boolean isReplacementOverdue(String id, long now) {
    return now - replaceSinceMs.computeIfAbsent(id, k -> now) > Constants.RELOCATION_RESERVATION_MS;
  }
}
