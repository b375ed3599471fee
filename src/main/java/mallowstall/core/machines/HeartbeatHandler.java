package mallowstall.core.machines;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.function.Predicate;
import mallowstall.Constants;
import mallowstall.core.cluster.CancellationExchange;
import mallowstall.core.cluster.ImageSizes;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.JobBitmaps;
import mallowstall.core.kv.StateStore;
import mallowstall.core.machines.ManagedMachine.Reservation;
import mallowstall.core.model.CommandKind;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.ExitReason;
import mallowstall.core.model.Heartbeat;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes in reports of the machines owned here, and answers them with commands. */
public final class HeartbeatHandler {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.owner");

  private final EventClock clock;
  private final CoreSettings settings;
  private final JobBitmaps jobBitmaps;
  private final ImageSizes imageSizes;
  private final CancellationExchange cancellations;
  private final Predicate<String> jobAtFault;
  private final StateStore store;
  private final ManagedMachines machines;
  private final StatusPublisher statusPublisher;
  private final FencingTokens fencingTokens;

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public HeartbeatHandler(
      EventClock clock,
      CoreSettings settings,
      StateStore store,
      JobBitmaps jobBitmaps,
      ImageSizes imageSizes,
      CancellationExchange cancellations,
      Predicate<String> jobAtFault,
      ManagedMachines machines,
      StatusPublisher statusPublisher,
      FencingTokens fencingTokens) {
    this.clock = clock;
    this.settings = settings;
    this.jobBitmaps = jobBitmaps;
    this.imageSizes = imageSizes;
    this.cancellations = cancellations;
    this.jobAtFault = jobAtFault;
    this.store = store;
    this.machines = machines;
    this.statusPublisher = statusPublisher;
    this.fencingTokens = fencingTokens;
  }

  /** Takes in a report that a worker sent by itself, and answers it. */
  HeartbeatResponse handle(ManagedMachine machine, Heartbeat heartbeat) {
    apply(machine, heartbeat, true);
    return buildResponse(machine);
  }

  /**
   * Takes in what the worker says of itself. {@code byReport}: it sent this by itself, so earlier
   * responses to its reports are dead.
   */
  void apply(ManagedMachine machine, Heartbeat heartbeat, boolean sentByWorker) {
    long now = clock.now();
    boolean statusChanged = changesBeyondTasks(machine, heartbeat);
    if (heartbeat.session() > machine.workerSession) {
      beginSession(machine, now);
    }
    if (sentByWorker) {
      machine.handledHeartbeatSequence = heartbeat.sequence();
    }
    if (machine.commandOutcomeUnknown
        && !machine.tokenWriteInFlight
        && heartbeat.fencingToken() >= machine.fencingToken
        && machine.tokenRaised) {
      machine.clearUnacknowledgedStarts();
    }
    machine.workerSession = heartbeat.session();
    machine.latestHeartbeatSequence = heartbeat.sequence();
    machine.lastHeartbeatMs = now;
    machine.address = heartbeat.address();
    machine.leaseExpired = false;
    if (heartbeat.fencingToken() >= machine.fencingToken) {
      machine.tokenAcknowledged = true;
    }
    machine.terminationDeadlineMs =
        heartbeat.interruptionNoticeS() == null
            ? Long.MAX_VALUE
            : now + (long) (heartbeat.interruptionNoticeS() * 1000);
    statusChanged |= applyTasks(machine, heartbeat);
    statusChanged |= removeSettledReservations(machine, sentByWorker);
    if (!machine.idle()) {
      machine.idleSinceMs = 0;
    } else if (machine.idleSinceMs == 0) {
      machine.idleSinceMs = now;
    }
    if (statusChanged) {
      machine.statusChanged = true;
      statusPublisher.requestPublish();
    }
  }

  /**
   * Whether something that statements tell, tasks apart, is about to change. A report that says
   * nothing new must cost nothing: most do, and each once made a statement to every peer.
   */
  private static boolean changesBeyondTasks(ManagedMachine machine, Heartbeat heartbeat) {
    return machine.leaseExpired
        || heartbeat.session() != machine.workerSession
        || (heartbeat.fencingToken() >= machine.fencingToken && !machine.tokenAcknowledged)
        || (heartbeat.interruptionNoticeS() == null)
            != (machine.terminationDeadlineMs == Long.MAX_VALUE)
        || !Objects.equals(heartbeat.address(), machine.address);
  }

  /** The worker has begun a session that wasn't known: the tasks of earlier ones are gone. */
  private void beginSession(ManagedMachine machine, long now) {
    machine.publishedExits.clear();
    machine.clearUnacknowledgedStarts(); // the worker refuses commands for an earlier session
    machine.handledHeartbeatSequence = 0;
    if (machine.workerSession != 0
        && machine.tokenAcknowledged
        && now - machine.lastResponseMs < settings.workerLeaseMs() / 2) {
      // Its lease ran out although it was answered: it doesn't hear. It gets no task before it
      // has shown a new term; once a deaf machine drew start after start.
      LOG.info("machine {} lost its lease although it was answered", machine.id);
      machine.commandOutcomeUnknown = true;
      fencingTokens.raise(machine);
    }
    // Its lease counts from when the session began, which may be known from a direct command's
    // answer alone: counted from the former session's last report, a machine that reaches no
    // controller was written off with tasks that it had just got.
    machine.lastResponseMs = Math.max(machine.lastResponseMs, now);
  }

  /** Takes over the worker's tasks; returns whether anything about them is new. */
  private boolean applyTasks(ManagedMachine machine, Heartbeat heartbeat) {
    if (hasSameTasks(machine, heartbeat)) {
      return false;
    }
    Map<TaskAttempt, TaskReport> previousTasks = new HashMap<>(machine.tasks);
    machine.tasks.clear();
    for (TaskReport task : heartbeat.tasks()) {
      TaskAttempt attempt = TaskAttempt.of(task);
      machine.tasks.put(attempt, task);
      TaskReport previous = previousTasks.get(attempt);
      boolean changed = previous == null || previous.state() != task.state();
      if (!changed) {
        continue;
      }
      JobEntry job = store.job(task.job());
      if (job != null
          && (task.state() == TaskState.RUNNING || task.exitReason() == ExitReason.DONE)) {
        machine.cacheImage(job.spec().image(), imageSizes::gigabytes);
      }
      if (task.state() == TaskState.EXITED) {
        recordExit(machine, task);
      }
    }
    machine.preempted.retainAll(machine.tasks.keySet());
    return true;
  }

  private static boolean hasSameTasks(ManagedMachine machine, Heartbeat heartbeat) {
    if (machine.tasks.size() != heartbeat.tasks().size()) {
      return false;
    }
    for (TaskReport task : heartbeat.tasks()) {
      TaskReport known = machine.tasks.get(TaskAttempt.of(task));
      if (known == null
          || known.state() != task.state()
          || known.exitReason() != task.exitReason()
          || known.checkpointed() != task.checkpointed()) {
        return false;
      }
    }
    return true;
  }

  /** Drops accepted starts that have arrived or never will; returns whether there were any. */
  private boolean removeSettledReservations(ManagedMachine machine, boolean sentByWorker) {
    int sizeBefore = machine.reservations.size();
    Iterator<Reservation> iterator = machine.reservations.values().iterator();
    while (iterator.hasNext()) {
      Reservation reservation = iterator.next();
      StartRequest start = reservation.request;
      TaskKey key = new TaskKey(start.job(), start.task());
      if (machine.tasks.containsKey(new TaskAttempt(key.job(), key.task(), start.attempt()))) {
        iterator.remove();
      } else if (!sentByWorker || machine.unacknowledgedStarts.containsKey(key)) {
        // may still arrive at the worker
      } else if (clock.wallClockMs() > start.expiryWallMs()) {
        // sent or not: a response is never executed once a later report was sent, and this is one
        iterator.remove();
      }
    }
    return machine.reservations.size() != sizeBefore;
  }

  private void recordExit(ManagedMachine machine, TaskReport task) {
    if (task.exitReason() == ExitReason.DONE) {
      machine.consecutiveErrors = 0;
    } else if (task.exitReason() == ExitReason.ERROR && !jobAtFault.test(task.job())) {
      machine.consecutiveErrors++;
      LOG.info(
          "task {}/{} failed on {}, {} in a row",
          task.job(),
          task.task(),
          machine.id,
          machine.consecutiveErrors);
      if (machine.consecutiveErrors >= Constants.QUARANTINE_ERRORS) {
        machine.quarantineUntilMs = clock.now() + Constants.QUARANTINE_MS;
        if (machine.consecutiveErrors >= Constants.REPLACEMENT_ERRORS) {
          machine.faulty = true;
        }
      }
    }
  }

  /** Stops, forgets and starts what the worker should, in one answer. */
  private HeartbeatResponse buildResponse(ManagedMachine machine) {
    List<WorkerCommand> stops = new ArrayList<>();
    List<WorkerCommand> commands = new ArrayList<>();
    for (TaskReport task : machine.tasks.values()) {
      if (task.state() == TaskState.EXITED) {
        if (canForget(machine, task)) {
          commands.add(command(CommandKind.REMOVE, task, 0));
        }
        machine.pendingStops.remove(TaskAttempt.of(task).key());
      } else {
        OptionalDouble grace = stopGraceSeconds(machine, task);
        grace.ifPresent(seconds -> stops.add(command(CommandKind.STOP, task, seconds)));
      }
    }
    machine.pendingStops.keySet().removeIf(key -> !machine.hasTask(key));
    commands.addAll(stops);
    addStarts(machine, commands);
    machine.lastResponseMs = clock.now();
    return HeartbeatResponse.accepted(machine.fencingToken, commands);
  }

  private static WorkerCommand command(CommandKind kind, TaskReport task, double graceSeconds) {
    return new WorkerCommand(kind, task.job(), task.task(), task.attempt(), graceSeconds);
  }

  /** Whether the worker needn't list the ended task any more. */
  private boolean canForget(ManagedMachine machine, TaskReport task) {
    JobEntry job = store.job(task.job());
    TaskKey key = TaskAttempt.of(task).key();
    if (job == null || machine.unacknowledgedStarts.containsKey(key)) {
      return false;
    }
    return cancellations.isOver(task.job(), job)
        || jobBitmaps.isRecordedCompleted(job, task.task())
        || (machines.restartsAfterExit(task)
            && machine.publishedExits.getLong(key) == task.attempt());
  }

  /** Seconds that the task gets to save before it is stopped; none: it goes on. */
  private OptionalDouble stopGraceSeconds(ManagedMachine machine, TaskReport task) {
    JobEntry job = store.job(task.job());
    if (cancellations.isOver(task.job(), job)
        || (job != null && jobBitmaps.isRecordedCompleted(job, task.task()))) {
      return OptionalDouble.of(0);
    }
    StopRequest stop = machine.pendingStops.get(TaskAttempt.of(task).key());
    if (stop != null && stop.attempt() == task.attempt()) {
      return task.state() == TaskState.CHECKPOINTING
          ? OptionalDouble.empty()
          : OptionalDouble.of(stop.gracePeriodS());
    }
    return job != null && mustCheckpointNow(machine, task, job.spec())
        ? OptionalDouble.of(job.spec().checkpointSaveS() + Constants.CHECKPOINT_SAVE_MARGIN_S)
        : OptionalDouble.empty();
  }

  /** Whether the machine will soon be taken, so that the task has just the time to save. */
  private boolean mustCheckpointNow(ManagedMachine machine, TaskReport task, JobSpec spec) {
    return machine.terminationDeadlineMs != Long.MAX_VALUE
        && task.state() == TaskState.RUNNING
        && spec.checkpointIntervalS() > 0
        && machine.terminationDeadlineMs - clock.now()
            < (spec.checkpointSaveS() + Constants.INTERRUPTION_SAVE_MARGIN_S) * 1000;
  }

  /** Adds accepted starts as far as the answer has room; refuses those that came too late. */
  private void addStarts(ManagedMachine machine, List<WorkerCommand> commands) {
    Iterator<Reservation> reservations = machine.reservations.values().iterator();
    while (reservations.hasNext() && commands.size() < Constants.COMMANDS_PER_RESPONSE_MAX) {
      Reservation reservation = reservations.next();
      StartRequest start = reservation.request;
      TaskKey key = new TaskKey(start.job(), start.task());
      if (machine.unacknowledgedStarts.containsKey(key)) {
        continue;
      }
      JobEntry job = store.job(start.job());
      boolean noLongerNeeded =
          cancellations.isOver(start.job(), job)
              || (job != null && jobBitmaps.isRecordedCompleted(job, start.task()));
      if (noLongerNeeded
          || machine.pendingStops.containsKey(key)
          || clock.wallClockMs() > start.expiryWallMs()) {
        // every earlier response is dead by now (this answers a later report), so it never runs
        reservations.remove();
        machine.statusChanged = true;
        statusPublisher.rejectStart(start, noLongerNeeded ? "not wanted any more" : "too late");
        continue;
      }
      reservation.sent = true;
      commands.add(
          new WorkerCommand(CommandKind.START, start.job(), start.task(), start.attempt(), 0));
    }
  }
}
