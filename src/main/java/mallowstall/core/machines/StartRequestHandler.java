package mallowstall.core.machines;

import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.Metrics;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.StartBatch;
import mallowstall.core.model.StartRequest;
import mallowstall.core.model.StopRequest;
import mallowstall.core.model.TaskAttempt;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reserves capacity for the starts that job leaders request, or rejects the starts. */
public final class StartRequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.machines");

  private final EventClock clock;
  private final Metrics metrics;
  private final StateStore store;
  private final ManagedMachines machines;
  private final StatusPublisher statusPublisher;
  private final DirectCommands commands;
  private final StartAdmission startAdmission;

  /** Creates a handler that enqueues direct commands for the starts that are admitted. */
  public StartRequestHandler(
      EventClock clock,
      Metrics metrics,
      StateStore store,
      ManagedMachines machines,
      StatusPublisher statusPublisher,
      DirectCommands commands,
      StartAdmission startAdmission) {
    this.clock = clock;
    this.metrics = metrics;
    this.store = store;
    this.machines = machines;
    this.statusPublisher = statusPublisher;
    this.commands = commands;
    this.startAdmission = startAdmission;
  }

  /**
   * Handles a batch of starts from a job leader. The next status update reports each of them as
   * reserved or rejected.
   */
  public void handle(StartBatch startBatch) {
    for (StartRequest start : startBatch.starts()) {
      String rejection = startAdmission.rejectionReason(startBatch, start);
      if (rejection == null) {
        reserve(start);
      } else {
        statusPublisher.rejectStart(start, rejection);
      }
    }
    statusPublisher.requestPublish();
  }

  private void reserve(StartRequest start) {
    ManagedMachine machine = machines.get(start.machine());
    JobSpec spec = store.job(start.job()).spec();
    machine.tasks().reserve(new Reservation(start, spec), clock.now());
    for (TaskAttempt attempt : start.victims()) {
      if (machine.tasks().preempt(attempt)) {
        preempt(machine, attempt, start);
      }
    }
    commands.enqueue(machine);
    LOG.debug(
        "start reserved job={} task={} attempt={} machine={}",
        start.job(),
        start.task(),
        start.attempt(),
        start.machine());
  }

  /** Requests the stop of a victim of the accepted start. */
  private void preempt(ManagedMachine machine, TaskAttempt attempt, StartRequest start) {
    LOG.info(
        "task preempted job={} task={} attempt={} machine={} reason={}/{}",
        attempt.job(),
        attempt.task(),
        attempt.attempt(),
        machine.id(),
        start.job(),
        start.task());
    metrics.increment("preemptions");
    StopRequest stop =
        new StopRequest(machine.id(), attempt.job(), attempt.task(), attempt.attempt(), 0);
    machine.tasks().requestStop(stop);
  }
}
