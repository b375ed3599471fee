package mallowstall.core.machines;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mallowstall.Constants;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.kv.StoredValue;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Recovers the machines that this controller's former process led, which has ended. Mutable. */
public final class RestartRecovery {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.machines");

  private final EventClock clock;
  private final CoreSettings settings;
  private final MachineTypeCatalog types;
  private final StateStore store;
  private final ManagedMachines machines;
  private final MachineEntryWriter entryWriter;
  private final StatusPublisher statusPublisher;

  /** Machines whose entry is being written, and whether another controller has led them since. */
  private final Map<String, Boolean> recoveriesInFlight = new HashMap<>();

  /** Machines still to be recovered; null before the first look. */
  private ArrayDeque<String> machinesToRecover;

  /** Recovers nothing before the first call of {@link #recover}. */
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
   * Another controller led the machine between the former process and this one. It may have renewed
   * the worker's lease, which can't expire then before the worker has acknowledged the new token.
   */
  public void handleCompetingEntry(String id, MachineEntry machineEntry) {
    noteInterveningLeader(id, machineEntry);
    ManagedMachine machine = machines.get(id);
    if (machine != null && machine.recovered() && !machineEntry.node().equals(settings.node())) {
      machine.markInterveningLeader();
    }
  }

  /** The same while this process's own entry is still being written. */
  void noteInterveningLeader(String id, MachineEntry machineEntry) {
    if (!machineEntry.node().equals(settings.node())) {
      recoveriesInFlight.computeIfPresent(id, (k, v) -> true);
    }
  }

  /**
   * Recovers machines that are still recorded under the former incarnation, a few at a time: each
   * takes a write of its own, and hundreds at once would use up the state service's rate limit for
   * machines that register by themselves.
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
   * Whether the entry names a former process of this controller. That process has ended, so nobody
   * answers the machine unless another controller has taken it, of which {@link
   * #handleCompetingEntry} is called before the lease can expire.
   */
  private boolean isFromFormerIncarnation(MachineEntry machineEntry) {
    return machineEntry != null
        && machineEntry.node().equals(settings.node())
        && machineEntry.incarnation() != store.incarnation();
  }

  private void recover(String id, MachineType type, MachineEntry machineEntry) {
    recoveriesInFlight.put(id, false);
    boolean accepted =
        entryWriter.claim(
            id,
            machineEntry,
            clock.now(),
            reply -> {
              boolean interveningLeader = recoveriesInFlight.remove(id);
              if (reply.code() == ResultCode.OK && !machines.contains(id)) {
                completeRecovery(id, type, machineEntry, reply.revision(), interveningLeader);
              }
            });
    if (!accepted) {
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
    // the former process may have answered until just before this one began
    machine.markRecovered(
        interveningLeader,
        clock.startedAtMs(),
        clock.now() - ManagedMachines.UNRESPONSIVE_AFTER_MS);
    LOG.info("machine recovered machine={} token={}", id, machine.fencingToken());
    statusPublisher.requestPublish();
  }
}
