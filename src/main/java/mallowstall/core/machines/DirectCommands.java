package mallowstall.core.machines;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import mallowstall.Constants;
import mallowstall.core.cluster.CancellationExchange;
import mallowstall.core.cluster.Connectivity;
import mallowstall.core.kernel.CommandResult;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kv.StateStore;
import mallowstall.core.machines.ManagedMachine.Reservation;
import mallowstall.core.model.CommandKind;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.StartRequest;
import mallowstall.core.model.TaskAttempt;
import mallowstall.core.model.TaskKey;
import mallowstall.core.model.TaskReport;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.WorkerCommand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends starts and stops to the worker's own address, one request a machine at a time. Such a
 * command may be executed at any time until it is answered or the worker shows a larger term, so
 * one that goes astray raises the term. Mutable.
 */
public final class DirectCommands {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.owner");

  private final EventClock clock;
  private final Effects effects;
  private final Connectivity connectivity;
  private final CancellationExchange cancellations;
  private final StateStore store;
  private final HeartbeatHandler heartbeatHandler;
  private final ManagedMachines machines;
  private final FencingTokens fencingTokens;

  /** Machines for which something may wait to be sent to their own address. */
  private final Set<ManagedMachine> machinesWithPendingCommands = new LinkedHashSet<>();

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public DirectCommands(
      EventClock clock,
      Effects effects,
      StateStore store,
      Connectivity connectivity,
      CancellationExchange cancellations,
      HeartbeatHandler heartbeatHandler,
      ManagedMachines machines,
      FencingTokens fencingTokens) {
    this.clock = clock;
    this.effects = effects;
    this.connectivity = connectivity;
    this.cancellations = cancellations;
    this.store = store;
    this.heartbeatHandler = heartbeatHandler;
    this.machines = machines;
    this.fencingTokens = fencingTokens;
  }

  /** Something may wait to be sent to this machine. */
  void enqueue(ManagedMachine machine) {
    machinesWithPendingCommands.add(machine);
  }

  /** Sends what waits for a machine's next report to its own address, one request at a time. */
  public void sendPending() {
    if (machinesWithPendingCommands.isEmpty()) {
      return;
    }
    List<ManagedMachine> batch = new ArrayList<>(machinesWithPendingCommands);
    machinesWithPendingCommands.clear();
    for (ManagedMachine machine : batch) {
      if (!machines.isCurrent(machine)
          || (machine.pendingStops.isEmpty() && machine.reservations.isEmpty())) {
        continue;
      }
      if (clock.now() - machine.commandSentAtMs < Constants.COMMAND_REQUEST_INTERVAL_MIN_MS) {
        machinesWithPendingCommands.add(machine);
      } else {
        sendPending(machine);
      }
    }
  }

  private void sendPending(ManagedMachine machine) {
    if (!reachable(machine)) {
      return;
    }
    List<WorkerCommand> commands = stopsFor(machine);
    List<Reservation> starts =
        startsFor(machine, Constants.COMMANDS_PER_RESPONSE_MAX - commands.size());
    for (Reservation reservation : starts) {
      StartRequest start = reservation.request;
      commands.add(
          new WorkerCommand(CommandKind.START, start.job(), start.task(), start.attempt(), 0));
      reservation.sent = true;
      machine.unacknowledgedStarts.put(new TaskKey(start.job(), start.task()), start.attempt());
    }
    if (!commands.isEmpty()) {
      send(machine, commands);
    }
  }

  /** Whether a command may be sent to the machine now. */
  private boolean reachable(ManagedMachine machine) {
    return !machine.commandInFlight
        && !machine.commandOutcomeUnknown
        && !machine.tokenWriteInFlight
        && machine.address != null
        && machine.workerSession != 0
        && machine.tokenAcknowledged
        && !machines.unresponsive(machine)
        && connectivity.mayRenewWorkerLeases();
  }

  private static List<WorkerCommand> stopsFor(ManagedMachine machine) {
    List<WorkerCommand> commands = new ArrayList<>();
    machine.pendingStops.forEach(
        (key, stop) -> {
          TaskReport task =
              machine.tasks.get(new TaskAttempt(key.job(), key.task(), stop.attempt()));
          boolean running =
              task != null
                  && task.state() != TaskState.EXITED
                  && task.state() != TaskState.CHECKPOINTING;
          if (running) {
            commands.add(
                new WorkerCommand(
                    CommandKind.STOP, key.job(), key.task(), stop.attempt(), stop.gracePeriodS()));
          }
        });
    return commands;
  }

  /** Accepted starts that haven't been sent, as many at most. */
  private List<Reservation> startsFor(ManagedMachine machine, int limit) {
    List<Reservation> starts = new ArrayList<>();
    for (Reservation reservation : machine.reservations.values()) {
      StartRequest start = reservation.request;
      JobEntry job = store.job(start.job());
      boolean due =
          !reservation.sent
              && !machine.pendingStops.containsKey(new TaskKey(start.job(), start.task()))
              && job != null
              && !cancellations.isOver(start.job(), job)
              && clock.wallClockMs() <= start.expiryWallMs();
      if (due && starts.size() < limit) {
        starts.add(reservation);
      }
    }
    return starts;
  }

  private void send(ManagedMachine machine, List<WorkerCommand> commands) {
    machine.commandInFlight = true;
    machine.commandSentAtMs = clock.now();
    long session = machine.workerSession;
    effects.sendCommands(
        machine.address,
        machine.fencingToken,
        session,
        commands,
        reply -> {
          machine.commandInFlight = false;
          if (machines.isCurrent(machine) && machine.workerSession == session) {
            handleResult(machine, reply);
          }
        });
  }

  private void handleResult(ManagedMachine machine, CommandResult reply) {
    if (reply.code() == ResultCode.OUTCOME_UNKNOWN) {
      if (machine.unacknowledgedStarts.isEmpty()) {
        return;
      }
      LOG.info("commands to {} went astray: raising its term", machine.id);
      machine.commandOutcomeUnknown = true;
      fencingTokens.raise(machine);
      return;
    }
    machine.clearUnacknowledgedStarts();
    Heartbeat heartbeat = reply.heartbeat();
    if (heartbeat != null
        && !machine.leaseExpired
        && heartbeat.machine().equals(machine.id)
        && (heartbeat.session() > machine.workerSession
            || (heartbeat.session() == machine.workerSession
                && heartbeat.sequence() > machine.latestHeartbeatSequence))) {
      heartbeatHandler.apply(machine, heartbeat, false);
    }
    machinesWithPendingCommands.add(machine);
  }
}
