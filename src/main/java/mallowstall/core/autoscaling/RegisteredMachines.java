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

/** Counts the machines that have an entry, and finds those that are to be returned. Mutable. */
public final class RegisteredMachines {
  /**
   * Time in milliseconds, added to one and a half heartbeat intervals, within which a worker whose
   * controller has ended registers with another controller. The worker waits 4 s for the missing
   * response and 1 s before the next attempt; the rest is for the registration.
   */
  private static final long WORKER_REREGISTRATION_MS = 7_500;

  /**
   * Time in seconds. An unresponsive machine with less time left of its interruption notice counts
   * as taken back by the cloud.
   */
  private static final double INTERRUPTION_IMMINENT_S = 2;

  /**
   * Time in milliseconds that is added to the heartbeat interval. A machine that hosts replicas and
   * is unresponsive for longer than the sum is returned, which proves that the replicas have ended.
   * Its tasks would be lost anyway some seconds later, when its lease expires.
   */
  private static final long UNRESPONSIVE_REPLICA_HOST_MARGIN_MS = 5_000;

  /**
   * Time in milliseconds that is added to the worker lease. A machine that is unresponsive for
   * longer than the sum is returned.
   */
  private static final long UNRESPONSIVE_SCALE_IN_MARGIN_MS = 12_000;

  private final CoreSettings settings;
  private final StateStore store;
  private final ClusterView view;
  private final PendingMachines pendingMachines;
  private final ReturnedMachines returnedMachines;

  /**
   * Steady time in milliseconds since which a machine has no current and complete status, by id.
   */
  private final Map<String, Long> statusUnknownSinceMs = new HashMap<>();

  /**
   * Steady time in milliseconds since which the replicas of a faulty machine are to be relocated,
   * by id.
   */
  private final Map<String, Long> replaceSinceMs = new HashMap<>();

  /** Creates a counter that removes registered machines from the pending ones. */
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

  /** Counts all registered machines, and drops the times kept for machines without an entry. */
  void count(MachineCensus census, long now) {
    for (Map.Entry<String, StoredValue> entry :
        store.entriesUnder(StateKeys.MACHINE_PREFIX).entrySet()) {
      String id = StateKeys.machineOf(entry.getKey());
      countMachine(id, (MachineEntry) entry.getValue().value(), census, now);
    }
    census.resolveLost();
    statusUnknownSinceMs.keySet().retainAll(census.registered());
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
      statusUnknownSinceMs.remove(id);
      countWithKnownStatus(machine, census, now);
      return;
    }
    if (leaderLive && isPeerUnresponsive(entry.node(), now)) {
      census.addExpected(MachineKind.of(entry));
      return;
    }
    long statusUnknownMs = now - statusUnknownSinceMs.computeIfAbsent(id, k -> now);
    if (statusUnknownMs > settings.workerLeaseMs() + 2 * UNRESPONSIVE_SCALE_IN_MARGIN_MS) {
      census.addToReturn(id);
    } else if (!leaderLive && statusUnknownMs > failoverGraceMs()) {
      census.addUnmanaged(id);
    } else if (statusUnknownMs <= failoverGraceMs()) {
      census.addStarting(MachineKind.of(entry));
    } else {
      census.addExpected(MachineKind.of(entry));
    }
  }

  private boolean isPeerUnresponsive(String node, long now) {
    return !node.equals(settings.node())
        && now - view.peer(node).lastUpdateMs() > Constants.STATUS_UPDATE_STALE_MS;
  }

  /** Counts a machine whose leader has a session and has published the machine's full status. */
  private void countWithKnownStatus(MachineView machine, MachineCensus census, long now) {
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

  /**
   * Returns the time in milliseconds within which a machine may register again after its leader's
   * session has ended.
   */
  private long failoverGraceMs() {
    return WORKER_REREGISTRATION_MS + settings.heartbeatIntervalMs() * 3 / 2;
  }

  /**
   * Returns whether an unresponsive machine is at the end of its interruption notice. The cloud has
   * then taken it back, and returning it proves at once that its tasks have ended, which its lease
   * expiry would prove only later.
   */
  private static boolean isReclaimedByCloud(MachineView machine, long now) {
    double remainingS =
        machine.status().interruptionNoticeS() - (now - machine.updatedAtMs()) / 1000.0;
    return machine.status().interruptionNoticeS() >= 0 && remainingS < INTERRUPTION_IMMINENT_S;
  }

  /**
   * Returns the time in milliseconds after which an unresponsive machine that hosts replicas may be
   * returned. It is some heartbeats longer than the time after which a machine counts as
   * unresponsive.
   */
  private long unresponsiveHostMs() {
    return UNRESPONSIVE_REPLICA_HOST_MARGIN_MS + settings.heartbeatIntervalMs();
  }

  /** Returns whether the time to relocate the replicas of a faulty machine is over. */
  private boolean isReplacementOverdue(String id, long now) {
    return now - replaceSinceMs.computeIfAbsent(id, k -> now) > Constants.RELOCATION_RESERVATION_MS;
  }
}
