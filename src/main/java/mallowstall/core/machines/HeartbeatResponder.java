package mallowstall.core.machines;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import mallowstall.core.cluster.CancellationExchange;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.Metrics;
import mallowstall.core.kv.JobBitmaps;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CommandKind;
import mallowstall.core.model.HeartbeatResponse;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.StartRequest;
import mallowstall.core.model.StopRequest;
import mallowstall.core.model.TaskAttempt;
import mallowstall.core.model.TaskKey;
import mallowstall.core.model.TaskReport;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.WorkerCommand;

/** Builds the responses to heartbeats: the tasks that a worker starts, stops and removes. */
public final class HeartbeatResponder {
  /** The maximum number of commands in one heartbeat response. It keeps a line far below 64 KiB. */
  static final int COMMANDS_PER_RESPONSE_MAX = 200;

  /** The part of a stop's grace period beyond the time for saving a checkpoint, in seconds. */
  private static final double CHECKPOINT_SAVE_MARGIN_S = 1;

  /**
   * The margin before the interruption of a machine, in seconds. A task is stopped to save a
   * checkpoint when less time is left than it needs for the checkpoint plus this margin.
   */
  private static final double INTERRUPTION_SAVE_MARGIN_S = 4;

  private final EventClock clock;
  private final Metrics metrics;
  private final StateStore store;
  private final JobBitmaps jobBitmaps;
  private final CancellationExchange cancellations;
  private final ManagedMachines machines;
  private final StatusPublisher statusPublisher;
  private final FencingTokens fencingTokens;

  /** Creates a responder that decides by the state replica and the machines' reservations. */
  public HeartbeatResponder(
      EventClock clock,
      Metrics metrics,
      StateStore store,
      JobBitmaps jobBitmaps,
      CancellationExchange cancellations,
      ManagedMachines machines,
      StatusPublisher statusPublisher,
      FencingTokens fencingTokens) {
    this.clock = clock;
    this.metrics = metrics;
    this.store = store;
    this.jobBitmaps = jobBitmaps;
    this.cancellations = cancellations;
    this.machines = machines;
    this.statusPublisher = statusPublisher;
    this.fencingTokens = fencingTokens;
  }

  /** Returns removals, stops and starts, in this order. The response renews the worker's lease. */
  HeartbeatResponse respond(ManagedMachine machine) {
    if (machine.commands().hasRepeatableStarts()) {
      // The worker rejects repeats from this response on, whatever it lists then.
      fencingTokens.raiseCommandToken(machine);
    }
    List<WorkerCommand> stops = new ArrayList<>();
    List<WorkerCommand> commands = new ArrayList<>();
    for (TaskReport task : machine.tasks().reports()) {
      if (task.state() == TaskState.EXITED) {
        if (canRemove(machine, task) && cannotStartAgain(machine, TaskAttempt.of(task))) {
          commands.add(command(CommandKind.REMOVE, task, 0));
        }
        machine.tasks().clearPendingStop(TaskAttempt.of(task).key());
      } else {
        OptionalDouble grace = stopGraceSeconds(machine, task);
        grace.ifPresent(seconds -> stops.add(command(CommandKind.STOP, task, seconds)));
      }
    }
    machine.tasks().dropObsoleteStops();
    commands.addAll(stops);
    addStarts(machine, commands);
    machine.recordResponse(clock.now());
    return HeartbeatResponse.accepted(machine.commandToken(), commands);
  }

  /**
   * Returns whether no repeated request starts the attempt again once this response has removed it.
   * The worker takes in the response's token before it removes the attempt, so requests under
   * smaller tokens have no effect afterwards.
   */
  private boolean cannotStartAgain(ManagedMachine machine, TaskAttempt attempt) {
    if (!machine.commands().isRepeatable(attempt) || fencingTokens.raiseCommandToken(machine)) {
      return true;
    }
    metrics.increment("removals_held");
    return false;
  }

  private static WorkerCommand command(CommandKind kind, TaskReport task, double graceSeconds) {
    return new WorkerCommand(kind, task.job(), task.task(), task.attempt(), graceSeconds);
  }

  /** Returns whether the worker may remove the exited task from its list. */
  private boolean canRemove(ManagedMachine machine, TaskReport task) {
    JobEntry job = store.job(task.job());
    TaskAttempt attempt = TaskAttempt.of(task);
    if (job == null || machine.commands().isUnacknowledged(attempt.key())) {
      return false;
    }
    return cancellations.hasEnded(task.job(), job)
        || jobBitmaps.isRecordedCompleted(job, task.task())
        || (machines.restartsAfterExit(task) && machine.published().isExitPublished(attempt));
  }

  /** Returns the grace period in seconds of the stop to send, or empty if none is needed. */
  private OptionalDouble stopGraceSeconds(ManagedMachine machine, TaskReport task) {
    JobEntry job = store.job(task.job());
    if (noLongerNeeded(task.job(), job, task.task())) {
      return OptionalDouble.of(0);
    }
    StopRequest stop = machine.tasks().pendingStop(TaskAttempt.of(task).key());
    if (stop != null && stop.attempt() == task.attempt()) {
      return task.state() == TaskState.CHECKPOINTING
          ? OptionalDouble.empty()
          : OptionalDouble.of(stop.gracePeriodS());
    }
    return job != null && mustCheckpointNow(machine, task, job.spec())
        ? OptionalDouble.of(job.spec().checkpointSaveS() + CHECKPOINT_SAVE_MARGIN_S)
        : OptionalDouble.empty();
  }

  private boolean noLongerNeeded(String id, JobEntry job, int task) {
    return cancellations.hasEnded(id, job)
        || (job != null && jobBitmaps.isRecordedCompleted(job, task));
  }

  /** Returns whether the time before the cloud's interruption just suffices for a checkpoint. */
  private boolean mustCheckpointNow(ManagedMachine machine, TaskReport task, JobSpec spec) {
    return machine.terminationAnnounced()
        && task.state() == TaskState.RUNNING
        && spec.checkpointIntervalS() > 0
        && machine.terminationDeadlineMs() - clock.now()
            < (spec.checkpointSaveS() + INTERRUPTION_SAVE_MARGIN_S) * 1000;
  }

  /** Rejects obsolete reserved starts and adds the others, up to the limit of one response. */
  private void addStarts(ManagedMachine machine, List<WorkerCommand> commands) {
    machine
        .tasks()
        .removeReservationsIf(reservation -> rejectIfObsolete(machine, reservation), clock.now());
    for (Reservation reservation : machine.tasks().reservations()) {
      if (commands.size() >= COMMANDS_PER_RESPONSE_MAX) {
        return;
      }
      if (machine.commands().isUnacknowledged(reservation.key())) {
        continue;
      }
      StartRequest start = reservation.request();
      reservation.markSent();
      commands.add(
          new WorkerCommand(CommandKind.START, start.job(), start.task(), start.attempt(), 0));
    }
  }

  /** Rejects the start if it must not be executed any more. Returns whether it was rejected. */
  private boolean rejectIfObsolete(ManagedMachine machine, Reservation reservation) {
    StartRequest start = reservation.request();
    TaskKey key = reservation.key();
    if (machine.commands().isUnacknowledged(key)) {
      return false;
    }
    boolean noLongerNeeded = noLongerNeeded(start.job(), store.job(start.job()), start.task());
    boolean tooLate =
        machine.tasks().hasPendingStop(key) || clock.wallClockMs() > start.expiryWallMs();
    if (!noLongerNeeded && !tooLate) {
      return false;
    }
    // The worker ignores responses to heartbeats before this one, so it never executes the start.
    statusPublisher.rejectStart(start, noLongerNeeded ? "not wanted any more" : "too late");
    return true;
  }
}
