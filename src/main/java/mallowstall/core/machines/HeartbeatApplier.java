package mallowstall.core.machines;

import java.util.Map;
import java.util.Objects;
import java.util.function.Predicate;
import mallowstall.core.cluster.ImageSizes;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.ExitReason;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.TaskAttempt;
import mallowstall.core.model.TaskReport;
import mallowstall.core.model.TaskState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes over what heartbeats say of machines led here. */
public final class HeartbeatApplier {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.machines");

  private final EventClock clock;
  private final CoreSettings settings;
  private final StateStore store;
  private final ImageSizes imageSizes;
  private final Predicate<String> jobAtFault;
  private final StatusPublisher statusPublisher;
  private final FencingTokens fencingTokens;

  /**
   * Takes over heartbeats and requests status updates for what they change.
   *
   * @param jobAtFault whether failures of a job's tasks say nothing of the machine, by job
   */
  public HeartbeatApplier(
      EventClock clock,
      CoreSettings settings,
      StateStore store,
      ImageSizes imageSizes,
      Predicate<String> jobAtFault,
      StatusPublisher statusPublisher,
      FencingTokens fencingTokens) {
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.imageSizes = imageSizes;
    this.jobAtFault = jobAtFault;
    this.statusPublisher = statusPublisher;
    this.fencingTokens = fencingTokens;
  }

  /**
   * Takes over what the worker says of itself.
   *
   * @param sentByWorker the worker sent it by itself, so that it ignores earlier responses to its
   *     heartbeats; false: it answered a direct command
   */
  void apply(ManagedMachine machine, Heartbeat heartbeat, boolean sentByWorker) {
    long now = clock.now();
    boolean statusChanged = changesBeyondTasks(machine, heartbeat);
    if (heartbeat.session() > machine.workerSession()) {
      beginSession(machine, now);
    }
    if (sentByWorker) {
      machine.recordHandledSequence(heartbeat.sequence());
    }
    if (machine.commands().settledByAcknowledgement()
        && heartbeat.fencingToken() >= machine.fencingToken()) {
      machine.commands().settle();
    }
    machine.recordHeartbeat(heartbeat, now);
    statusChanged |= applyTasks(machine, heartbeat, now);
    statusChanged |= removeSettledReservations(machine, sentByWorker, now);
    if (statusChanged) {
      machine.published().markChanged();
      statusPublisher.requestPublish();
    }
  }

  /**
   * Whether something in status updates, but for tasks, is about to change; most heartbeats change
   * nothing and must not cause an update to every peer.
   */
  private static boolean changesBeyondTasks(ManagedMachine machine, Heartbeat heartbeat) {
    return machine.leaseExpired()
        || heartbeat.session() != machine.workerSession()
        || (heartbeat.fencingToken() >= machine.fencingToken() && !machine.tokenAcknowledged())
        || (heartbeat.interruptionNoticeS() == null) == machine.terminationAnnounced()
        || !Objects.equals(heartbeat.address(), machine.address());
  }

  /** The worker has begun a session that wasn't known: the tasks of earlier ones have ended. */
  private void beginSession(ManagedMachine machine, long now) {
    machine.beginSession();
    if (machine.workerSession() != 0
        && machine.tokenAcknowledged()
        && now - machine.lastResponseMs() < settings.workerLeaseMs() / 2) {
      // answers don't reach it: no task before it has acknowledged a larger token
      LOG.info("worker lost its lease although it was answered machine={}", machine.id());
      machine.commands().markOutcomeUnknown();
      fencingTokens.raise(machine);
    }
    // The session may be known from a direct command's answer alone: counted from the former
    // session's last answer, the lease would expire with tasks that the machine just got.
    machine.recordResponse(Math.max(machine.lastResponseMs(), now));
  }

  /** Takes over the worker's tasks; returns whether anything about them is new. */
  private boolean applyTasks(ManagedMachine machine, Heartbeat heartbeat, long now) {
    if (hasSameTasks(machine, heartbeat)) {
      return false;
    }
    Map<TaskAttempt, TaskReport> previousTasks =
        machine.tasks().replaceReports(heartbeat.tasks(), now);
    for (TaskReport task : heartbeat.tasks()) {
      TaskReport previous = previousTasks.get(TaskAttempt.of(task));
      boolean changed = previous == null || previous.state() != task.state();
      if (!changed) {
        continue;
      }
      JobEntry job = store.job(task.job());
      if (job != null
          && (task.state() == TaskState.RUNNING || task.exitReason() == ExitReason.DONE)) {
        machine.images().use(job.spec().image(), imageSizes::gigabytes);
      }
      if (task.state() == TaskState.EXITED) {
        recordExit(machine, task);
      }
    }
    return true;
  }

  private static boolean hasSameTasks(ManagedMachine machine, Heartbeat heartbeat) {
    if (machine.tasks().reportCount() != heartbeat.tasks().size()) {
      return false;
    }
    for (TaskReport task : heartbeat.tasks()) {
      TaskReport known = machine.tasks().report(TaskAttempt.of(task));
      if (known == null
          || known.state() != task.state()
          || known.exitReason() != task.exitReason()
          || known.checkpointed() != task.checkpointed()) {
        return false;
      }
    }
    return true;
  }

  /** Drops reservations that have arrived or never will; returns whether there were any. */
  private boolean removeSettledReservations(
      ManagedMachine machine, boolean sentByWorker, long now) {
    return machine
        .tasks()
        .removeReservationsIf(reservation -> isSettled(machine, reservation, sentByWorker), now);
  }

  private boolean isSettled(ManagedMachine machine, Reservation reservation, boolean sentByWorker) {
    if (machine.tasks().isReported(reservation.attempt())) {
      return true;
    }
    // sent or not: the worker ignores responses from before a heartbeat that it sent by itself
    return sentByWorker
        && !machine.commands().isUnacknowledged(reservation.key()) // else it may still arrive
        && clock.wallClockMs() > reservation.request().expiryWallMs();
  }

  private void recordExit(ManagedMachine machine, TaskReport task) {
    if (task.exitReason() == ExitReason.DONE) {
      machine.recordSuccess();
    } else if (task.exitReason() == ExitReason.ERROR && !jobAtFault.test(task.job())) {
      machine.recordError(clock.now());
      LOG.info(
          "task failed job={} task={} attempt={} machine={} consecutiveErrors={}",
          task.job(),
          task.task(),
          task.attempt(),
          machine.id(),
          machine.consecutiveErrors());
    }
  }
}
