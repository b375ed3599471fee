package mallowstall.core.machines;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.cluster.Membership;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.TransactionResult;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.kv.StoredValue;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes machines from a controller whose session is gone but which may still answer them.
 *
 * <p>A controller without state service and peers may go on answering its workers after its session
 * is gone; they never turn to another then, and every job taken over would wait for them. So each
 * is asked directly, by one of the others, and shown a larger term: from then on it drops what its
 * former owner says, which sends it away in turn when it sees that term. What can't be reached, as
 * in a zone that is cut off, is left alone. Mutable.
 */
public final class MachineFailover {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.owner");

  private final EventClock clock;
  private final CoreSettings settings;
  private final Effects effects;
  private final ClusterView view;
  private final MachineTypeCatalog types;
  private final Membership membership;
  private final StateStore store;
  private final HeartbeatHandler heartbeatHandler;
  private final ManagedMachines machines;
  private final MachineEntryWriter entryWriter;

  /** Machines whose recorded owner is gone, since when. */
  private final Map<String, Long> leaderlessSinceMs = new HashMap<>();

  /** When such machines were last asked. */
  private final Map<String, Long> lastProbeMs = new HashMap<>();

  private long nextProbeMs;

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public MachineFailover(
      EventClock clock,
      CoreSettings settings,
      Effects effects,
      StateStore store,
      ClusterView view,
      MachineTypeCatalog types,
      Membership membership,
      ManagedMachines machines,
      MachineEntryWriter entryWriter,
      HeartbeatHandler heartbeatHandler) {
    this.clock = clock;
    this.settings = settings;
    this.effects = effects;
    this.view = view;
    this.types = types;
    this.membership = membership;
    this.store = store;
    this.heartbeatHandler = heartbeatHandler;
    this.machines = machines;
    this.entryWriter = entryWriter;
  }

  /** Asks some of the machines whose recorded owner is gone. */
  void tick(long now) {
    if (now < nextProbeMs || !store.isSessionValid()) {
      return;
    }
    nextProbeMs = now + Constants.MACHINE_FAILOVER_SCAN_INTERVAL_MS;
    Set<String> leaderless = new HashSet<>();
    int probesLeft = Constants.MACHINE_FAILOVER_BATCH;
    for (Map.Entry<String, StoredValue> entry :
        store.entriesUnder(StateKeys.MACHINE_PREFIX).entrySet()) {
      MachineEntry machineEntry = (MachineEntry) entry.getValue().value();
      if (store.isLive(machineEntry.node(), machineEntry.incarnation())) {
        continue;
      }
      String id = StateKeys.machineOf(entry.getKey());
      leaderless.add(id);
      leaderlessSinceMs.putIfAbsent(id, now);
      if (probesLeft > 0 && probeDue(id, machineEntry, now)) {
        probesLeft--;
        probe(id, machineEntry, now);
      }
    }
    leaderlessSinceMs.keySet().retainAll(leaderless);
    lastProbeMs.keySet().retainAll(leaderless);
  }

  /** Whether it is for this controller to ask the machine now. */
  private boolean probeDue(String id, MachineEntry machineEntry, long now) {
    MachineView machine = view.machine(id);
    return now - leaderlessSinceMs.get(id) >= Constants.MACHINE_FAILOVER_DELAY_MS
        && machine != null
        && machine.status() != null
        && machine.status().address() != null
        && !entryWriter.inFlight(id)
        && now - lastProbeMs.getOrDefault(id, Long.MIN_VALUE / 2)
            >= Constants.MACHINE_FAILOVER_RETRY_MS
        && membership.preferredLeader(id, machineEntry.zone()).equals(settings.node());
  }

  private void probe(String id, MachineEntry machineEntry, long now) {
    lastProbeMs.put(id, now);
    String address = view.machine(id).status().address();
    // no session is 0, so this is refused, with the worker's report
    effects.sendCommands(
        address, 0, 0, List.of(), reply -> claimMachine(id, machineEntry, reply.heartbeat()));
  }

  /** The machine has answered: unless its record has changed since, it is this controller's. */
  private void claimMachine(String id, MachineEntry expectedEntry, Heartbeat heartbeat) {
    MachineType type = types.find(expectedEntry.type());
    MachineEntry currentEntry = store.machine(id);
    if (heartbeat == null
        || !heartbeat.machine().equals(id)
        || type == null
        || !expectedEntry.equals(currentEntry)) {
      return;
    }
    if (entryWriter.inFlight(id) || machines.contains(id)) {
      return;
    }
    entryWriter.markInFlight(id, clock.now());
    Consumer<TransactionResult> callback =
        reply -> {
          entryWriter.clearInFlight(id);
          if (reply.code() == ResultCode.OK && !machines.contains(id)) {
            completeFailover(id, type, expectedEntry, heartbeat, reply.revision());
          }
        };
    if (!entryWriter.writeEntry(
        id, expectedEntry.type(), expectedEntry.zone(), expectedEntry.spot(), callback)) {
      entryWriter.clearInFlight(id);
    }
  }

  private void completeFailover(
      String id, MachineType type, MachineEntry previousEntry, Heartbeat heartbeat, long revision) {
    ManagedMachine machine =
        machines.add(id, type, previousEntry.zone(), previousEntry.spot(), revision);
    // until it shows the new term, its former owner may renew its lease
    machine.setLastResponseMs(clock.now());
    heartbeatHandler.apply(machine, heartbeat, false);
    LOG.info(
        "machine {} taken from {}, which is gone, term {}",
        id,
        previousEntry.node(),
        machine.fencingToken());
    sendFencingToken(machine);
  }

  /** Shows the worker the term without any command. */
  private void sendFencingToken(ManagedMachine machine) {
    effects.sendCommands(
        machine.address(),
        machine.fencingToken(),
        machine.workerSession(),
        List.of(),
        reply -> {
          Heartbeat heartbeat = reply.heartbeat();
          if (!machines.isCurrent(machine) || reply.code() != ResultCode.OK || heartbeat == null) {
            return;
          }
          machine.setLastResponseMs(clock.now());
          if (heartbeat.session() > machine.workerSession()
              || heartbeat.sequence() > machine.latestHeartbeatSequence()) {
            heartbeatHandler.apply(machine, heartbeat, false);
          }
        });
  }
}
