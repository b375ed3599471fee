package mallowstall.core.machines;

import java.util.List;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes over the leadership of a machine whose worker has answered a probe, and sends the new
 * fencing token to the worker.
 */
public final class MachineTakeover {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.machines");

  private final EventClock clock;
  private final Effects effects;
  private final MachineTypeCatalog types;
  private final ManagedMachines machines;
  private final MachineEntryWriter entryWriter;
  private final HeartbeatApplier heartbeatApplier;

  /** Creates an instance that writes machine entries through the given entry writer. */
  public MachineTakeover(
      EventClock clock,
      Effects effects,
      MachineTypeCatalog types,
      ManagedMachines machines,
      MachineEntryWriter entryWriter,
      HeartbeatApplier heartbeatApplier) {
    this.clock = clock;
    this.effects = effects;
    this.types = types;
    this.machines = machines;
    this.entryWriter = entryWriter;
    this.heartbeatApplier = heartbeatApplier;
  }

  /**
   * Takes over the machine, unless a change of its entry is in flight, this controller already
   * leads it, or its machine type is unknown.
   */
  void begin(String id, MachineEntry previousEntry, Heartbeat heartbeat) {
    MachineType type = types.find(previousEntry.type());
    if (type == null || entryWriter.inFlight(id) || machines.contains(id)) {
      return;
    }
    entryWriter.claim(
        id,
        previousEntry,
        clock.now(),
        reply -> {
          if (reply.code() == ResultCode.OK && !machines.contains(id)) {
            complete(id, type, previousEntry, heartbeat, reply.revision());
          }
        });
  }

  private void complete(
      String id, MachineType type, MachineEntry previousEntry, Heartbeat heartbeat, long revision) {
    ManagedMachine machine =
        machines.add(id, type, previousEntry.zone(), previousEntry.spot(), revision);
    // The former leader may renew the worker's lease until the worker acknowledges the new token.
    machine.recordResponse(clock.now());
    heartbeatApplier.apply(machine, heartbeat, false);
    LOG.info(
        "machine failed over machine={} previousLeader={} token={}",
        id,
        previousEntry.node(),
        machine.fencingToken());
    sendFencingToken(machine);
  }

  /** Sends the worker a request with the new fencing token and without commands. */
  private void sendFencingToken(ManagedMachine machine) {
    effects.sendCommands(
        machine.address(),
        machine.commandToken(),
        machine.workerSession(),
        List.of(),
        reply -> {
          Heartbeat heartbeat = reply.heartbeat();
          if (!machines.isCurrent(machine) || reply.code() != ResultCode.OK || heartbeat == null) {
            return;
          }
          machine.recordResponse(clock.now());
          if (heartbeat.session() > machine.workerSession()
              || heartbeat.sequence() > machine.latestHeartbeatSequence()) {
            heartbeatApplier.apply(machine, heartbeat, false);
          }
        });
  }
}
