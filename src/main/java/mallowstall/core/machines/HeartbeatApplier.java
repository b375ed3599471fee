package mallowstall.core.machines;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
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

/** Applies the contents of heartbeats to the machines that this controller leads. */
public final class HeartbeatApplier {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.machines");

  /** Time in milliseconds within which a heartbeat usually arrives and is handled. */
  private static final long HEARTBEAT_TRANSIT_MAX_MS = 500;

  private final EventClock clock;
  private final CoreSettings settings;
  private final StateStore store;
  private final ImageSizes imageSizes;
  private final Predicate<String> jobAtFault;
  private final StatusPublisher statusPublisher;
  private final FencingTokens fencingTokens;

  /**
   * Creates an instance that requests a status update for each heartbeat that changes a machine's
   * status.
   *
   * @param jobAtFault returns for a job ID whether failures of its tasks are attributed to the job
   *     and not counted against the machine
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
   * Applies a heartbeat to the machine.
   *
   * @param sentByWorker true if the worker sent the heartbeat by itself, after which the worker
   *     ignores responses to earlier heartbeats; false if the heartbeat answers a direct command
   */
  void apply(ManagedMachine machine, Heartbeat heartbeat, boolean sentByWorker) {
    long now = clock.now();
    boolean statusChanged = hasNonTaskChanges(machine, heartbeat);
    if (heartbeat.session() > machine.workerSession()) {
      beginSession(machine, now);
    }
    boolean showsPresent = false;
    if (sentByWorker) {
      machine.recordHandledSequence(heartbeat.sequence());
      showsPresent = machine.recordArrival(heartbeat, now, maxHeartbeatGapMs());
    }
    if (machine.commands().settledByAcknowledgement()
        && heartbeat.fencingToken() >= machine.fencingToken()) {
      machine.commands().settle();
    }
    machine.recordHeartbeat(heartbeat, now);
    statusChanged |= applyTasks(machine, heartbeat, now);
    recordImageFetches(machine, heartbeat, sentByWorker);
    if (showsPresent) {
      // The worker composed this heartbeat after the response to the one before.
      machine.imageFetches().recordComposed(now - maxHeartbeatGapMs());
    }
    statusChanged |= removeObsoleteReservations(machine, sentByWorker, now);
    if (statusChanged) {
      machine.published().markChanged();
      statusPublisher.requestPublish();
    }
  }

  /** Returns the longest time in milliseconds between two heartbeats that arrive undelayed. */
  private long maxHeartbeatGapMs() {
    return settings.heartbeatIntervalMs() * 5 / 4 + HEARTBEAT_TRANSIT_MAX_MS;
  }

  /**
   * Returns whether the heartbeat changes anything but tasks in the machine's published status.
   * Most heartbeats change nothing and must not cause a status update to every peer.
   */
  private static boolean hasNonTaskChanges(ManagedMachine machine, Heartbeat heartbeat) {
    return machine.leaseExpired()
        || heartbeat.session() != machine.workerSession()
        || (heartbeat.fencingToken() >= machine.fencingToken() && !machine.tokenAcknowledged())
        || (heartbeat.interruptionNoticeS() == null) == machine.terminationAnnounced()
        || !Objects.equals(heartbeat.address(), machine.address());
  }

  /** Begins a worker session that was unknown so far. The tasks of earlier sessions have ended. */
  private void beginSession(ManagedMachine machine, long now) {
    machine.beginSession();
    if (machine.workerSession() != 0
        && machine.tokenAcknowledged()
        && now - machine.lastResponseMs() < settings.workerLeaseMs() / 2) {
      // The responses don't reach the worker. The machine gets no task until the worker has
      // acknowledged a larger fencing token.
      LOG.info("worker lost its lease although it was answered machine={}", machine.id());
      machine.commands().markOutcomeUnknown();
      fencingTokens.raise(machine);
    }
    // The new session may be known only from the answer to a direct command. If its lease were
    // counted from the last response to the previous session, it would expire although the machine
    // has just got tasks.
    machine.recordResponse(Math.max(machine.lastResponseMs(), now));
  }

  /** Applies the worker's list of tasks. Returns whether anything in it has changed. */
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

  private void recordImageFetches(
      ManagedMachine machine, Heartbeat heartbeat, boolean sentByWorker) {
    Map<String, Set<TaskAttempt>> waiting = new HashMap<>();
    boolean isComplete = true;
    for (TaskReport task : heartbeat.tasks()) {
      if (task.state() != TaskState.FETCHING) {
        continue;
      }
      JobEntry job = store.job(task.job());
      if (job == null) {
        isComplete = false;
      } else {
        waiting
            .computeIfAbsent(job.spec().image(), image -> new HashSet<>())
            .add(TaskAttempt.of(task));
      }
    }
    machine.imageFetches().record(waiting, isComplete, sentByWorker);
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

  /**
   * Removes the reservations of starts that the worker has reported or will never execute. Returns
   * whether any was removed.
   */
  private boolean removeObsoleteReservations(
      ManagedMachine machine, boolean sentByWorker, long now) {
    return machine
        .tasks()
        .removeReservationsIf(reservation -> isObsolete(machine, reservation, sentByWorker), now);
  }

  private boolean isObsolete(
      ManagedMachine machine, Reservation reservation, boolean sentByWorker) {
    if (machine.tasks().isReported(reservation.attempt())) {
      return true;
    }
    // A worker ignores responses to heartbeats before the last one that it sent by itself, so an
    // expired start is never executed even if an earlier response contained it. A start in an
    // unacknowledged direct command may still arrive.
    return sentByWorker
        && !machine.commands().isUnacknowledged(reservation.key())
        && clock.wallClockMs() > reservation.request().expiryWallMs();
  }

  private void recordExit(ManagedMachine machine, TaskReport task) {
    if (task.exitReason() == ExitReason.DONE) {
      machine.health().recordSuccess();
    } else if (task.exitReason() == ExitReason.ERROR && !jobAtFault.test(task.job())) {
      machine.health().recordError(clock.now());
      LOG.info(
          "task failed job={} task={} attempt={} machine={} consecutiveErrors={}",
          task.job(),
          task.task(),
          task.attempt(),
          machine.id(),
          machine.health().consecutiveErrors());
    }
  }
}
