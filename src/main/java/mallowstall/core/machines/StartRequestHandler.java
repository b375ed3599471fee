package mallowstall.core.machines;

import mallowstall.core.kernel.Metrics;
import mallowstall.core.kv.StateStore;
import mallowstall.core.machines.ManagedMachine.Reservation;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.StartBatch;
import mallowstall.core.model.StartRequest;
import mallowstall.core.model.StopRequest;
import mallowstall.core.model.TaskAttempt;
import mallowstall.core.model.TaskKey;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reserves capacity for the starts that job leaders request, or rejects them by name. */
public final class StartRequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.owner");

  private final Metrics metrics;
  private final StateStore store;
  private final ManagedMachines machines;
  private final StatusPublisher statusPublisher;
  private final DirectCommands commands;
  private final StartAdmission startAdmission;

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public StartRequestHandler(
      Metrics metrics,
      StateStore store,
      ManagedMachines machines,
      StatusPublisher statusPublisher,
      DirectCommands commands,
      StartAdmission startAdmission) {
    this.metrics = metrics;
    this.store = store;
    this.machines = machines;
    this.statusPublisher = statusPublisher;
    this.commands = commands;
    this.startAdmission = startAdmission;
  }

  /** Starts from a holder; each is booked or refused. */
  public void handle(StartBatch startBatch) {
    for (StartRequest start : startBatch.starts()) {
      String refusal = startAdmission.rejectionReason(startBatch, start);
      if (refusal == null) {
        reserve(start);
      } else {
        statusPublisher.rejectStart(start, refusal);
      }
    }
    statusPublisher.requestPublish();
  }

  private void reserve(StartRequest start) {
    ManagedMachine machine = machines.get(start.machine());
    JobSpec spec = store.job(start.job()).spec();
    machine
        .reservations()
        .put(new TaskKey(start.job(), start.task()), new Reservation(start, spec));
    for (TaskAttempt attempt : start.victims()) {
      if (machine.tasks().containsKey(attempt) && machine.preempted().add(attempt)) {
        preempt(machine, attempt, start);
      }
    }
    machine.setIdleSinceMs(0);
    machine.setStatusChanged(true);
    commands.enqueue(machine);
    LOG.debug(
        "start {}/{} attempt {} booked on {}",
        start.job(),
        start.task(),
        start.attempt(),
        start.machine());
  }

  /** Stops a task that the accepted start replaces. */
  private void preempt(ManagedMachine machine, TaskAttempt attempt, StartRequest start) {
    LOG.info(
        "{}/{} stops {}/{} on {}",
        start.job(),
        start.task(),
        attempt.job(),
        attempt.task(),
        machine.id());
    metrics.increment("preemptions");
    StopRequest stop =
        new StopRequest(machine.id(), attempt.job(), attempt.task(), attempt.attempt(), 0);
    machine.pendingStops().put(attempt.key(), stop);
  }
}
