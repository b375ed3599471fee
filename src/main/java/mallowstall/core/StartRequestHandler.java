package mallowstall.core;

import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.StartOrder;
import mallowstall.core.Model.Starts;
import mallowstall.core.Model.StopOrder;
import mallowstall.core.Model.TaskRef;
import mallowstall.core.OwnedMachine.Reservation;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reserves capacity for the starts that job leaders request, or rejects them by name. */
final class StartRequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.owner");

  private final Metrics metrics;
  private final Store store;
  private final OwnedMachines machines;
  private final RosterPublisher publisher;
  private final DirectCommands commands;
  private final StartVetting vetting;

  StartRequestHandler(
      Metrics metrics,
      Store store,
      OwnedMachines machines,
      RosterPublisher publisher,
      DirectCommands commands,
      StartVetting vetting) {
    this.metrics = metrics;
    this.store = store;
    this.machines = machines;
    this.publisher = publisher;
    this.commands = commands;
    this.vetting = vetting;
  }

  /** Starts from a holder; each is booked or refused. */
  void starts(Starts starts) {
    for (StartOrder start : starts.starts()) {
      String refusal = vetting.refusal(starts, start);
      if (refusal == null) {
        book(start);
      } else {
        publisher.refuse(start, refusal);
      }
    }
    publisher.touch();
  }

  private void book(StartOrder start) {
    OwnedMachine machine = machines.get(start.machine());
    JobSpec spec = store.job(start.job()).spec();
    machine.reservations.put(new TaskKey(start.job(), start.task()), new Reservation(start, spec));
    for (TaskRef ref : start.instead()) {
      TaskAttempt attempt = TaskAttempt.of(ref);
      if (machine.tasks.containsKey(attempt) && machine.replaced.add(attempt)) {
        replace(machine, attempt, start);
      }
    }
    machine.idleSince = 0;
    machine.changed = true;
    commands.wanted(machine);
    LOG.debug(
        "start {}/{} attempt {} booked on {}",
        start.job(),
        start.task(),
        start.attempt(),
        start.machine());
  }

  /** Stops a task that the accepted start replaces. */
  private void replace(OwnedMachine machine, TaskAttempt attempt, StartOrder start) {
    LOG.info(
        "{}/{} stops {}/{} on {}",
        start.job(),
        start.task(),
        attempt.job(),
        attempt.task(),
        machine.id);
    metrics.count("preemptions");
    StopOrder stop = new StopOrder(machine.id, attempt.job(), attempt.task(), attempt.attempt(), 0);
    machine.stops.put(attempt.key(), stop);
  }
}
