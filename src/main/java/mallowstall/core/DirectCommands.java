package mallowstall.core;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import mallowstall.Constants;
import mallowstall.core.Effects.Code;
import mallowstall.core.Effects.OrderReply;
import mallowstall.core.Model.Command;
import mallowstall.core.Model.CommandKind;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.Report;
import mallowstall.core.Model.StartOrder;
import mallowstall.core.Model.TaskReport;
import mallowstall.core.Model.TaskState;
import mallowstall.core.OwnedMachine.Reservation;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends starts and stops to the worker's own address, one request a machine at a time. Such a
 * command may be executed at any time until it is answered or the worker shows a larger term, so
 * one that goes astray raises the term. Mutable.
 */
final class DirectCommands {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.owner");

  private final EventClock clock;
  private final Effects effects;
  private final Connectivity connectivity;
  private final Cancellations cancellations;
  private final Store store;
  private final WorkerReports reports;
  private final OwnedMachines machines;
  private final Terms terms;

  /** Machines for which something may wait to be sent to their own address. */
  private final Set<OwnedMachine> waiting = new LinkedHashSet<>();

  DirectCommands(
      EventClock clock,
      Effects effects,
      Store store,
      Connectivity connectivity,
      Cancellations cancellations,
      WorkerReports reports,
      OwnedMachines machines,
      Terms terms) {
    this.clock = clock;
    this.effects = effects;
    this.connectivity = connectivity;
    this.cancellations = cancellations;
    this.store = store;
    this.reports = reports;
    this.machines = machines;
    this.terms = terms;
  }

  /** Something may wait to be sent to this machine. */
  void wanted(OwnedMachine machine) {
    waiting.add(machine);
  }

  /** Sends what waits for a machine's next report to its own address, one request at a time. */
  void push() {
    if (waiting.isEmpty()) {
      return;
    }
    List<OwnedMachine> now = new ArrayList<>(waiting);
    waiting.clear();
    for (OwnedMachine machine : now) {
      if (!machines.has(machine) || machine.stops.isEmpty() && machine.reservations.isEmpty()) {
        continue;
      }
      if (clock.now() - machine.commandSentAt < Constants.ORDER_GAP_MS) {
        waiting.add(machine);
      } else {
        push(machine);
      }
    }
  }

  private void push(OwnedMachine machine) {
    if (!reachable(machine)) {
      return;
    }
    List<Command> commands = stopsFor(machine);
    List<Reservation> starts = startsFor(machine, Constants.COMMANDS_MAX - commands.size());
    for (Reservation reservation : starts) {
      StartOrder start = reservation.order;
      commands.add(new Command(CommandKind.START, start.job(), start.task(), start.attempt(), 0));
      reservation.sent = true;
      machine.openStarts.put(new TaskKey(start.job(), start.task()), start.attempt());
    }
    if (!commands.isEmpty()) {
      send(machine, commands);
    }
  }

  /** Whether a command may be sent to the machine now. */
  private boolean reachable(OwnedMachine machine) {
    return !machine.commandOpen
        && !machine.commandLost
        && !machine.termChanging
        && machine.address != null
        && machine.session != 0
        && machine.confirmed
        && !machines.silent(machine)
        && connectivity.mayKeepAlive();
  }

  private static List<Command> stopsFor(OwnedMachine machine) {
    List<Command> commands = new ArrayList<>();
    machine.stops.forEach(
        (key, stop) -> {
          TaskReport task =
              machine.tasks.get(new TaskAttempt(key.job(), key.task(), stop.attempt()));
          boolean runs =
              task != null && task.state() != TaskState.EXITED && task.state() != TaskState.SAVING;
          if (runs) {
            commands.add(
                new Command(
                    CommandKind.STOP, key.job(), key.task(), stop.attempt(), stop.graceS()));
          }
        });
    return commands;
  }

  /** Accepted starts that haven't been sent, as many at most. */
  private List<Reservation> startsFor(OwnedMachine machine, int most) {
    List<Reservation> starts = new ArrayList<>();
    for (Reservation reservation : machine.reservations.values()) {
      StartOrder start = reservation.order;
      JobRec job = store.job(start.job());
      boolean wanted =
          !reservation.sent
              && !machine.stops.containsKey(new TaskKey(start.job(), start.task()))
              && job != null
              && !cancellations.isOver(start.job(), job)
              && clock.wallClock() <= start.expiryWallMs();
      if (wanted && starts.size() < most) {
        starts.add(reservation);
      }
    }
    return starts;
  }

  private void send(OwnedMachine machine, List<Command> commands) {
    machine.commandOpen = true;
    machine.commandSentAt = clock.now();
    long session = machine.session;
    effects.order(
        machine.address,
        machine.term,
        session,
        commands,
        reply -> {
          machine.commandOpen = false;
          if (machines.has(machine) && machine.session == session) {
            answered(machine, reply);
          }
        });
  }

  private void answered(OwnedMachine machine, OrderReply reply) {
    if (reply.code() == Code.UNKNOWN) {
      if (machine.openStarts.isEmpty()) {
        return;
      }
      LOG.info("commands to {} went astray: raising its term", machine.id);
      machine.commandLost = true;
      terms.raise(machine);
      return;
    }
    machine.clearOpenStarts();
    Report report = reply.report();
    if (report != null
        && !machine.lost
        && report.machine().equals(machine.id)
        && (report.session() > machine.session
            || (report.session() == machine.session && report.seq() > machine.newestReport))) {
      reports.take(machine, report, false);
    }
    waiting.add(machine);
  }
}
