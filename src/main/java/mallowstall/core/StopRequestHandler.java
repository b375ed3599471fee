package mallowstall.core;

import mallowstall.Constants;
import mallowstall.core.Model.StopOrder;
import mallowstall.core.Model.Stops;
import mallowstall.core.Model.TaskReport;
import mallowstall.core.Model.TaskState;
import mallowstall.core.OwnedMachine.Reservation;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Stops tasks on machines led here: as job leaders ask, or since their job is cancelled. */
final class StopRequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.owner");

  private final EventClock clock;
  private final OwnedMachines machines;
  private final RosterPublisher publisher;
  private final DirectCommands commands;

  StopRequestHandler(
      EventClock clock,
      OwnedMachines machines,
      RosterPublisher publisher,
      DirectCommands commands) {
    this.clock = clock;
    this.machines = machines;
    this.publisher = publisher;
    this.commands = commands;
  }

  /** Stops and drains from holders and from the fleet. */
  void stops(Stops stops) {
    for (StopOrder stop : stops.stops()) {
      OwnedMachine machine = machines.get(stop.machine());
      if (machine == null) {
        continue;
      }
      TaskKey key = new TaskKey(stop.job(), stop.task());
      Reservation reservation = machine.reservations.get(key);
      if (machine.tasks.containsKey(new TaskAttempt(stop.job(), stop.task(), stop.attempt()))
          || (reservation != null && reservation.order.attempt() == stop.attempt())) {
        LOG.info(
            "stop {}/{} attempt {} on {} asked by {}",
            stop.job(),
            stop.task(),
            stop.attempt(),
            stop.machine(),
            stops.node());
        machine.stops.put(key, stop);
        commands.wanted(machine);
      }
    }
    for (String id : stops.drains()) {
      OwnedMachine machine = machines.get(id);
      if (machine != null) {
        machine.drainUntil = clock.now() + Constants.DRAIN_LIFE_MS;
        publisher.touch();
      }
    }
  }

  /**
   * The job is cancelled: its tasks that wait for their image are stopped at once, at the worker's
   * own address, since they would begin before the next report's answer. Those that run are stopped
   * by that answer, as are these if the command goes astray.
   */
  void cancelled(String job) {
    publisher.touch(); // peers hear of it soon
    for (OwnedMachine machine : machines.all()) {
      for (TaskReport task : machine.tasks.values()) {
        if (task.state() != TaskState.FETCHING || !task.job().equals(job)) {
          continue;
        }
        machine.stops.put(
            new TaskKey(job, task.task()),
            new StopOrder(machine.id, job, task.task(), task.attempt(), 0));
        commands.wanted(machine);
      }
    }
  }
}
