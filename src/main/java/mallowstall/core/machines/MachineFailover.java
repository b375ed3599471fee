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
 * Probes machines whose leader's session has ended but which it may still answer.
 *
 * <p>A controller without state service and peers may go on answering its workers after its session
 * has ended. They never turn to another controller then, and every job that changed its leader
 * would wait for them. So one of the other controllers asks each of them directly, and takes over
 * those that answer: the larger fencing token makes a worker ignore its former leader. Machines
 * that can't be reached, as in a zone that is cut off, are left alone. Mutable.
 */
public final class MachineFailover {
  /** ms. Between two scans for machines of ended controllers. */
  private static final long MACHINE_FAILOVER_SCAN_INTERVAL_MS = 500;

  /** ms. Before the same machine is asked again: longer than the request's timeout. */
  private static final long MACHINE_FAILOVER_RETRY_MS = 5_000;

  /** Count. Most machines asked in one scan: bounds sockets and changes of the state service. */
  private static final int MACHINE_FAILOVER_BATCH = 8;

  private final CoreSettings settings;
  private final Effects effects;
  private final StateStore store;
  private final ClusterView view;
  private final Membership membership;
  private final MachineEntryWriter entryWriter;
  private final MachineTakeover takeover;

  /** Machines whose leader's session has ended, and since when, in ms of the steady clock. */
  private final Map<String, Long> leaderlessSinceMs = new HashMap<>();

  /** When such machines were last probed, in ms of the steady clock. */
  private final Map<String, Long> lastProbeMs = new HashMap<>();

  private long nextScanMs;

  /** Probes nothing before its first tick. */
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

  /** Probes some of the machines whose leader's session has ended. */
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

  /** Whether this controller is the one to probe the machine, and may do so now. */
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
    // no session is 0, so the worker refuses the request and answers with its heartbeat
    effects.sendCommands(
        address, 0, 0, List.of(), reply -> handleAnswer(id, entry, reply.heartbeat()));
  }

  /** Takes the machine over if it has answered and its entry hasn't changed since the probe. */
  private void handleAnswer(String id, MachineEntry probedEntry, Heartbeat heartbeat) {
    if (heartbeat != null
        && heartbeat.machine().equals(id)
        && probedEntry.equals(store.machine(id))) {
      takeover.begin(id, probedEntry, heartbeat);
    }
  }
}
