package mallowstall.core.machines;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mallowstall.Constants;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.cluster.Membership;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.kv.StoredValue;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.MachineEntry;

/**
 * Probes machines whose leader's session has ended although the leader may still answer them.
 *
 * <p>A controller that is isolated from the state service and its peers may continue to answer its
 * workers after its session has ended. These workers don't turn to another controller, and every
 * job with a new leader would wait for them. Therefore one of the other controllers sends a request
 * to each of these workers and takes over the machines that answer. The larger fencing token makes
 * a worker ignore its former leader. Machines that can't be reached, for example in an isolated
 * zone, are not taken over. Mutable.
 */
public final class MachineFailover {
  /** The interval between two scans for machines of ended controllers, in milliseconds. */
  private static final long MACHINE_FAILOVER_SCAN_INTERVAL_MS = 500;

  /** Milliseconds between two probes of one machine, longer than the timeout of a probe. */
  private static final long MACHINE_FAILOVER_RETRY_MS = 5_000;

  /**
   * The maximum number of machines probed in one scan. It bounds the number of sockets and of
   * writes to the state service.
   */
  private static final int MACHINE_FAILOVER_BATCH = 8;

  private final CoreSettings settings;
  private final Effects effects;
  private final StateStore store;
  private final ClusterView view;
  private final Membership membership;
  private final MachineEntryWriter entryWriter;
  private final MachineTakeover takeover;

  /**
   * The time at which a scan first found that the session of a machine's leader had ended, by
   * machine, in milliseconds of the steady clock.
   */
  private final Map<String, Long> leaderlessSinceMs = new HashMap<>();

  /** Times of the last probes of these machines, in milliseconds of the steady clock. */
  private final Map<String, Long> lastProbeMs = new HashMap<>();

  private long nextScanMs;

  /** Creates an instance that probes no machine before its first tick. */
  public MachineFailover(
      CoreSettings settings,
      Effects effects,
      StateStore store,
      ClusterView view,
      Membership membership,
      MachineEntryWriter entryWriter,
      MachineTakeover takeover) {
    this.settings = settings;
    this.effects = effects;
    this.store = store;
    this.view = view;
    this.membership = membership;
    this.entryWriter = entryWriter;
    this.takeover = takeover;
  }

  /** Probes some of the machines whose leader's session has ended, if a scan is due. */
  void tick(long now) {
    if (now < nextScanMs || !store.isSessionValid()) {
      return;
    }
    nextScanMs = now + MACHINE_FAILOVER_SCAN_INTERVAL_MS;
    Set<String> leaderless = new HashSet<>();
    int probesLeft = MACHINE_FAILOVER_BATCH;
    for (Map.Entry<String, StoredValue> stored :
        store.entriesUnder(StateKeys.MACHINE_PREFIX).entrySet()) {
      MachineEntry entry = (MachineEntry) stored.getValue().value();
      if (store.isLive(entry.node(), entry.incarnation())) {
        continue;
      }
      String id = StateKeys.machineOf(stored.getKey());
      leaderless.add(id);
      leaderlessSinceMs.putIfAbsent(id, now);
      if (probesLeft > 0 && probeDue(id, entry, now)) {
        probesLeft--;
        probe(id, entry, now);
      }
    }
    leaderlessSinceMs.keySet().retainAll(leaderless);
    lastProbeMs.keySet().retainAll(leaderless);
  }

  /** Returns whether a probe of the machine is due and this controller is the one that sends it. */
  private boolean probeDue(String id, MachineEntry entry, long now) {
    MachineView machine = view.machine(id);
    return now - leaderlessSinceMs.get(id) >= Constants.MACHINE_FAILOVER_DELAY_MS
        && machine != null
        && machine.status() != null
        && machine.status().address() != null
        && !entryWriter.inFlight(id)
        && now - lastProbeMs.getOrDefault(id, Long.MIN_VALUE / 2) >= MACHINE_FAILOVER_RETRY_MS
        && membership.preferredLeader(id, entry.zone()).equals(settings.node());
  }

  private void probe(String id, MachineEntry entry, long now) {
    lastProbeMs.put(id, now);
    String address = view.machine(id).status().address();
    // No worker session is 0, so the worker rejects the request and answers with its heartbeat.
    effects.sendCommands(
        address, 0, 0, List.of(), reply -> handleAnswer(id, entry, reply.heartbeat()));
  }

  /** Takes over the machine if it answered and its entry has not changed since the probe. */
  private void handleAnswer(String id, MachineEntry probedEntry, Heartbeat heartbeat) {
    if (heartbeat != null
        && heartbeat.machine().equals(id)
        && probedEntry.equals(store.machine(id))) {
      takeover.begin(id, probedEntry, heartbeat);
    }
  }
}
