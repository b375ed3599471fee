package mallowstall.core.machines;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.TransactionResult;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.kv.StoredValue;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Machines that a new process of this controller takes over from its former one, which is dead.
 * Mutable.
 */
public final class RestartRecovery {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.owner");

  private final EventClock clock;
  private final CoreSettings settings;
  private final MachineTypeCatalog types;
  private final StateStore store;
  private final ManagedMachines machines;
  private final MachineEntryWriter entryWriter;
  private final StatusPublisher statusPublisher;

  /** Machines being asked for, and whether another controller has owned them since. */
  private final Map<String, Boolean> recoveriesInFlight = new HashMap<>();

  /** Machines still to be asked for; null: not looked for yet. */
  private ArrayDeque<String> machinesToRecover;

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public RestartRecovery(
      EventClock clock,
      CoreSettings settings,
      StateStore store,
      MachineTypeCatalog types,
      ManagedMachines machines,
      MachineEntryWriter entryWriter,
      StatusPublisher statusPublisher) {
    this.clock = clock;
    this.settings = settings;
    this.types = types;
    this.store = store;
    this.machines = machines;
    this.entryWriter = entryWriter;
    this.statusPublisher = statusPublisher;
  }

  /**
   * Another controller owned the machine between the record that this one took over from its former
   * process and its own. That one may have answered the worker since, so the lease doesn't count
   * from the former process's end: the machine can't be written off before it is confirmed.
   */
  public void handleCompetingEntry(String id, MachineEntry machineEntry) {
    noteInterveningLeader(id, machineEntry);
    ManagedMachine machine = machines.get(id);
    if (machine != null && machine.recovered() && !machineEntry.node().equals(settings.node())) {
      machine.setInterveningLeader(true);
    }
  }

  /** The same, told while the record is still being asked for. */
  void noteInterveningLeader(String id, MachineEntry machineEntry) {
    if (!machineEntry.node().equals(settings.node())) {
      recoveriesInFlight.computeIfPresent(id, (k, v) -> true);
    }
  }

  /**
   * Takes over what stands in the former process's name, a few at a time: each takes a change of
   * its own. Asked for at once, hundreds used up the state service's rate for ten seconds, in which
   * none of the machines that came back by themselves could be taken over.
   */
  public void recover() {
    if (machinesToRecover == null) {
      machinesToRecover = new ArrayDeque<>(machinesOfFormerIncarnation());
    }
    while (!machinesToRecover.isEmpty()
        && recoveriesInFlight.size() < Constants.RECOVERY_CONCURRENCY) {
      String id = machinesToRecover.poll();
      MachineEntry machineEntry = store.machine(id);
      MachineType type =
          isFromFormerIncarnation(machineEntry) ? types.find(machineEntry.type()) : null;
      if (type != null && !machines.contains(id) && !entryWriter.inFlight(id)) {
        recover(id, type, machineEntry);
      }
    }
  }

  private List<String> machinesOfFormerIncarnation() {
    List<String> former = new ArrayList<>();
    for (Map.Entry<String, StoredValue> entry :
        store.entriesUnder(StateKeys.MACHINE_PREFIX).entrySet()) {
      if (isFromFormerIncarnation((MachineEntry) entry.getValue().value())) {
        former.add(StateKeys.machineOf(entry.getKey()));
      }
    }
    return former;
  }

  /**
   * Whether the record names a former process of this controller: that process is dead, so nobody
   * answers the machine unless it has gone to another controller, which {@link
   * #handleCompetingEntry} tells at the latest before the write-off.
   */
  private boolean isFromFormerIncarnation(MachineEntry machineEntry) {
    return machineEntry != null
        && machineEntry.node().equals(settings.node())
        && machineEntry.incarnation() != store.incarnation();
  }

  private void recover(String id, MachineType type, MachineEntry machineEntry) {
    entryWriter.markInFlight(id, clock.now());
    recoveriesInFlight.put(id, false);
    Consumer<TransactionResult> callback =
        reply -> {
          entryWriter.clearInFlight(id);
          boolean interveningLeader = recoveriesInFlight.remove(id);
          if (reply.code() == ResultCode.OK && !machines.contains(id)) {
            completeRecovery(id, type, machineEntry, reply.revision(), interveningLeader);
          }
        };
    if (!entryWriter.writeEntry(
        id, machineEntry.type(), machineEntry.zone(), machineEntry.spot(), callback)) {
      entryWriter.clearInFlight(id);
      recoveriesInFlight.remove(id);
    }
  }

  private void completeRecovery(
      String id,
      MachineType type,
      MachineEntry machineEntry,
      long revision,
      boolean interveningLeader) {
    ManagedMachine machine =
        machines.add(id, type, machineEntry.zone(), machineEntry.spot(), revision);
    machine.setRecovered(true);
    machine.setInterveningLeader(interveningLeader);
    // the former process may have answered until just before this one began
    machine.setLastResponseMs(clock.startedAtMs());
    machine.setLastHeartbeatMs(clock.now() - Constants.UNRESPONSIVE_AFTER_MS);
    LOG.info("machine {} kept from the former process, term {}", id, machine.fencingToken());
    statusPublisher.requestPublish();
  }
}
