package mallowstall.core.machines;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import mallowstall.core.cluster.CancellationExchange;
import mallowstall.core.cluster.Connectivity;
import mallowstall.core.kernel.CommandResult;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CommandKind;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.StartRequest;
import mallowstall.core.model.TaskAttempt;
import mallowstall.core.model.TaskReport;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.WorkerCommand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends starts and stops to the workers' own addresses, one request per machine at a time. A worker
 * may execute a command at any time until it answers the request or acknowledges a larger fencing
 * token. Therefore the token is raised when the outcome of a start is unknown. Mutable.
 */
public final class DirectCommands {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.machines");

  /**
   * The minimum time between two requests to one worker, in milliseconds. The starts of a burst
   * share one request.
   */
  private static final long COMMAND_REQUEST_INTERVAL_MIN_MS = 30;

  private final EventClock clock;
  private final Effects effects;
  private final Connectivity connectivity;
  private final CancellationExchange cancellations;
  private final StateStore store;
  private final HeartbeatApplier heartbeatApplier;
  private final ManagedMachines machines;
  private final FencingTokens fencingTokens;

  /** The machines that may have pending commands. */
  private final Set<ManagedMachine> machinesWithPendingCommands = new LinkedHashSet<>();

  /** Creates a sender that sends nothing until a machine is enqueued. */
  public DirectCommands(
      EventClock clock,
      Effects effects,
      StateStore store,
      Connectivity connectivity,
      CancellationExchange cancellations,
      HeartbeatApplier heartbeatApplier,
      ManagedMachines machines,
      FencingTokens fencingTokens) {
    this.clock = clock;
    this.effects = effects;
    this.connectivity = connectivity;
    this.cancellations = cancellations;
    this.store = store;
    this.heartbeatApplier = heartbeatApplier;
    this.machines = machines;
    this.fencingTokens = fencingTokens;
  }

  /** Enqueues a machine that may have pending commands. */
  void enqueue(ManagedMachine machine) {
    machinesWithPendingCommands.add(machine);
  }

  /** Sends pending commands that would otherwise wait for the machines' next heartbeats. */
  public void sendPending() {
    if (machinesWithPendingCommands.isEmpty()) {
      return;
    }
    List<ManagedMachine> batch = new ArrayList<>(machinesWithPendingCommands);
    machinesWithPendingCommands.clear();
    for (ManagedMachine machine : batch) {
      if (!machines.isCurrent(machine) || !machine.tasks().hasPendingCommands()) {
        continue;
      }
      if (clock.now() - machine.commands().lastSentMs() < COMMAND_REQUEST_INTERVAL_MIN_MS) {
        machinesWithPendingCommands.add(machine);
      } else {
        sendPending(machine);
      }
    }
  }

  private void sendPending(ManagedMachine machine) {
    if (!canSendTo(machine)) {
      return;
    }
    List<WorkerCommand> commands = stopsFor(machine);
    List<Reservation> starts =
        startsFor(machine, HeartbeatResponder.COMMANDS_PER_RESPONSE_MAX - commands.size());
    for (Reservation reservation : starts) {
      StartRequest start = reservation.request();
      commands.add(
          new WorkerCommand(CommandKind.START, start.job(), start.task(), start.attempt(), 0));
      reservation.markSent();
      machine.commands().addStart(reservation.attempt());
    }
    if (!commands.isEmpty()) {
      send(machine, commands);
    }
  }

  /** Returns whether a request may be sent to the machine now. */
  private boolean canSendTo(ManagedMachine machine) {
    return machine.commands().ready()
        && machine.address() != null
        && machine.workerSession() != 0
        && machine.tokenAcknowledged()
        && !machines.unresponsive(machine)
        && connectivity.mayRenewWorkerLeases();
  }

  private static List<WorkerCommand> stopsFor(ManagedMachine machine) {
    List<WorkerCommand> commands = new ArrayList<>();
    machine
        .tasks()
        .forEachPendingStop(
            (key, stop) -> {
              TaskReport task =
                  machine.tasks().report(new TaskAttempt(key.job(), key.task(), stop.attempt()));
              boolean running =
                  task != null
                      && task.state() != TaskState.EXITED
                      && task.state() != TaskState.CHECKPOINTING;
              if (running) {
                commands.add(
                    new WorkerCommand(
                        CommandKind.STOP,
                        key.job(),
                        key.task(),
                        stop.attempt(),
                        stop.gracePeriodS()));
              }
            });
    return commands;
  }

  /** Returns at most {@code limit} reserved starts that are unsent and still valid. */
  private List<Reservation> startsFor(ManagedMachine machine, int limit) {
    List<Reservation> starts = new ArrayList<>();
    for (Reservation reservation : machine.tasks().reservations()) {
      StartRequest start = reservation.request();
      JobEntry job = store.job(start.job());
      boolean due =
          !reservation.sent()
              && !machine.tasks().hasPendingStop(reservation.key())
              && job != null
              && !cancellations.hasEnded(start.job(), job)
              && clock.wallClockMs() <= start.expiryWallMs();
      if (due && starts.size() < limit) {
        starts.add(reservation);
      }
    }
    return starts;
  }

  private void send(ManagedMachine machine, List<WorkerCommand> commands) {
    machine.commands().beginRequest(clock.now());
    long session = machine.workerSession();
    effects.sendCommands(
        machine.address(),
        machine.commandToken(),
        session,
        commands,
        reply -> {
          machine.commands().endRequest();
          if (machines.isCurrent(machine) && machine.workerSession() == session) {
            handleResult(machine, reply);
          }
        });
  }

  private void handleResult(ManagedMachine machine, CommandResult reply) {
    if (reply.code() == ResultCode.OUTCOME_UNKNOWN) {
      if (!machine.commands().hasUnacknowledgedStarts()) {
        return;
      }
      LOG.info(
          "command outcome unknown, raising token machine={} token={}",
          machine.id(),
          machine.fencingToken());
      machine.commands().markOutcomeUnknown();
      fencingTokens.raise(machine);
      return;
    }
    machine.commands().settle();
    Heartbeat heartbeat = reply.heartbeat();
    if (heartbeat != null
        && !machine.leaseExpired()
        && heartbeat.machine().equals(machine.id())
        && machine.isNewer(heartbeat)) {
      heartbeatApplier.apply(machine, heartbeat, false);
      machine.recordReport(machine.commands().lastSentMs());
      machine.imageFetches().recordComposed(machine.commands().lastSentMs());
    }
    machinesWithPendingCommands.add(machine);
  }
}
