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

/** Recovers the machines that this controller's former, ended process led. Mutable. */
public final class RestartRecovery {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.machines");

  private final EventClock clock;
  private final CoreSettings settings;
  private final MachineTypeCatalog types;
  private final StateStore store;
  private final ManagedMachines machines;
  private final MachineEntryWriter entryWriter;
  private final StatusPublisher statusPublisher;

  /**
   * Machines whose entry is being written for a recovery. The value is whether another controller
   * has led the machine since the former process.
   */
  private final Map<String, Boolean> recoveriesInFlight = new HashMap<>();

  /** Machines still to be recovered; null before the first call of {@link #recover}. */
  private ArrayDeque<String> machinesToRecover;

  /** Creates a recovery that does nothing before the first call of {@link #recover}. */
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
   * Handles a superseded entry of the machine, which another controller may have written between
   * the former process and this one. That controller may have renewed the worker's lease, so the
   * lease can't expire before the worker has acknowledged the new fencing token.
   */
  public void handleSupersededEntry(String id, MachineEntry machineEntry) {
    recordInterveningLeader(id, machineEntry);
    ManagedMachine machine = machines.get(id);
    if (machine != null && machine.recovered() && !machineEntry.node().equals(settings.node())) {
      machine.markInterveningLeader();
    }
  }

  /**
   * Records that another controller wrote the machine's entry while the write of this process's own
   * entry for the recovery is in flight.
   */
  void recordInterveningLeader(String id, MachineEntry machineEntry) {
    if (!machineEntry.node().equals(settings.node())) {
      recoveriesInFlight.computeIfPresent(id, (k, v) -> true);
    }
  }

  /**
   * Recovers machines whose entries still name the former incarnation, a few at a time. Each
   * recovery takes a write of its own, and hundreds at once would use up the state service's rate
   * limit, which machines that register by themselves need too.
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
   * Returns whether the entry names a former process of this controller. That process has ended, so
   * no controller answers the worker unless another one has become the machine's leader. In that
   * case {@link #handleSupersededEntry} is called before the lease can expire.
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
    // The former process may have answered the worker until just before this process started.
    machine.markRecovered(
        interveningLeader,
        clock.startedAtMs(),
        clock.now() - ManagedMachines.UNRESPONSIVE_AFTER_MS);
    LOG.info("machine recovered machine={} token={}", id, machine.fencingToken());
    statusPublisher.requestPublish();
  }
}
