package mallowstall.core.machines;

import mallowstall.core.kernel.EventClock;
import mallowstall.core.model.StopBatch;
import mallowstall.core.model.StopRequest;
import mallowstall.core.model.TaskAttempt;
import mallowstall.core.model.TaskKey;
import mallowstall.core.model.TaskReport;
import mallowstall.core.model.TaskState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stops tasks on machines that this controller leads, at the request of job leaders or because
 * their job was cancelled.
 */
public final class StopRequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.machines");

  /** Time in milliseconds after which a drain request expires if the machine wasn't returned. */
  private static final long DRAIN_EXPIRY_MS = 20_000;

  private final EventClock clock;
  private final ManagedMachines machines;
  private final StatusPublisher statusPublisher;
  private final DirectCommands commands;

  /** Creates a handler that adds stops to the machines and enqueues direct commands for them. */
  public StopRequestHandler(
      EventClock clock,
      ManagedMachines machines,
      StatusPublisher statusPublisher,
      DirectCommands commands) {
    this.clock = clock;
    this.machines = machines;
    this.statusPublisher = statusPublisher;
    this.commands = commands;
  }

  /** Handles a batch of stops from job leaders and of drains from the autoscaler. */
  public void handle(StopBatch stopBatch) {
    for (StopRequest stop : stopBatch.stops()) {
      ManagedMachine machine = machines.get(stop.machine());
      if (machine == null) {
        continue;
      }
      TaskKey key = new TaskKey(stop.job(), stop.task());
      Reservation reservation = machine.tasks().reservation(key);
      if (machine.tasks().isReported(new TaskAttempt(stop.job(), stop.task(), stop.attempt()))
          || (reservation != null && reservation.request().attempt() == stop.attempt())) {
        LOG.info(
            "stop requested job={} task={} attempt={} machine={} peer={}",
            stop.job(),
            stop.task(),
            stop.attempt(),
            stop.machine(),
            stopBatch.node());
        machine.tasks().requestStop(stop);
        commands.enqueue(machine);
      }
    }
    for (String id : stopBatch.machinesToDrain()) {
      ManagedMachine machine = machines.get(id);
      if (machine != null) {
        machine.drainUntil(clock.now() + DRAIN_EXPIRY_MS);
        statusPublisher.requestPublish();
      }
    }
  }

  /**
   * Stops the tasks of a cancelled job that are fetching their image. They are stopped by a direct
   * command, since they would begin to run before the next heartbeat is answered. The response to
   * that heartbeat stops the running tasks, and also the fetching ones if the command is lost.
   */
  public void stopCancelled(String job) {
    statusPublisher.requestPublish(); // the update sends the cancellation to peers
    for (ManagedMachine machine : machines.all()) {
      for (TaskReport task : machine.tasks().reports()) {
        if (task.state() != TaskState.FETCHING || !task.job().equals(job)) {
          continue;
        }
        machine
            .tasks()
            .requestStop(new StopRequest(machine.id(), job, task.task(), task.attempt(), 0));
        commands.enqueue(machine);
      }
    }
  }
}
