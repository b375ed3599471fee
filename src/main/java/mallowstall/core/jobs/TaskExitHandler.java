package mallowstall.core.jobs;

import mallowstall.Constants;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.model.ExitReason;
import mallowstall.core.model.StartRejection;
import mallowstall.core.model.TaskStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What follows from the end of a task or the rejection of a start: the task is completed, or runs
 * again, after a cooldown of the machine, of the replica or of the whole job. Not thread-safe.
 */
final class TaskExitHandler {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.jobs");

  /** ms. A job gets no task on a machine for so long after an error there. */
  private static final long JOB_MACHINE_COOLDOWN_MS = 15_000;

  /** ms. Between tries of a job that fails everywhere. */
  private static final long JOB_FAULT_RETRY_INTERVAL_MS = 10_000;

  /** ms. A machine whose leader rejected a start isn't tried again for that job for so long. */
  private static final long START_REJECTED_COOLDOWN_MS = 1_000;

  /** ms. The same if the leader's state replica only lagged: about as long as a watch takes. */
  private static final long REPLICA_LAG_COOLDOWN_MS = 150;

  /** ms. A machine whose worker had no free capacity isn't tried again for that job for so long. */
  private static final long INSUFFICIENT_CAPACITY_COOLDOWN_MS = 3_000;

  private final EventClock clock;
  private final AttemptTracker attempts;

  TaskExitHandler(EventClock clock, AttemptTracker attempts) {
    this.clock = clock;
    this.attempts = attempts;
  }

  /**
   * Takes in the end of a task.
   *
   * @param active the tracked attempt if it is the one that has ended, else null
   */
  void handleExit(LedJob ledJob, ActiveAttempt active, String machine, TaskStatus taskStatus) {
    if (ledJob.spec().isService()) {
      if (active != null) {
        handleReplicaExit(active, machine, taskStatus.exitReason());
      }
    } else if (taskStatus.exitReason() == ExitReason.DONE) {
      if (!ledJob.completed().contains(taskStatus.task())) {
        ledJob.completed().add(taskStatus.task());
        ledJob.clearErrors();
      }
      if (active != null) {
        attempts.release(active, false);
      }
    } else if (active != null) {
      recordFailure(active, taskStatus.exitReason());
      attempts.release(active, true);
    }
  }

  /** A machine leader has answered that it never passed this start on and never will. */
  void handleRejection(LedJob ledJob, StartRejection rejection) {
    ActiveAttempt active = ledJob.activeAttempts().get(rejection.task());
    if (active == null || active.attempt() != rejection.attempt() || active.observedOnMachine()) {
      return;
    }
    boolean replicaLags = rejection.reason().equals(StartRejection.JOB_NOT_KNOWN);
    if (replicaLags && ledJob.spec().isService()) {
      // guards spreading: until the lag ends, the one leader that knows the job would get them all
      ledJob.delayStartsUntil(
          Math.max(ledJob.startNotBeforeMs(), clock.now() + REPLICA_LAG_COOLDOWN_MS));
    }
    long cooldownMs = replicaLags ? REPLICA_LAG_COOLDOWN_MS : START_REJECTED_COOLDOWN_MS;
    ledJob.avoidMachineUntil(rejection.machine(), clock.now() + cooldownMs);
    attempts.release(active, true);
  }

  /** A task has ended and must run again: remembers where it shouldn't be tried. */
  private void recordFailure(ActiveAttempt active, ExitReason reason) {
    if (reason == ExitReason.ERROR) {
      recordError(active.job(), active.machine());
    } else if (reason == ExitReason.INSUFFICIENT_CAPACITY) {
      active
          .job()
          .avoidMachineUntil(active.machine(), clock.now() + INSUFFICIENT_CAPACITY_COOLDOWN_MS);
    }
    LOG.info(
        "attempt ended job={} task={} attempt={} machine={} reason={}",
        active.job().id(),
        active.task(),
        active.attempt(),
        active.machine(),
        reason);
  }

  /** A replica runs again until its job is cancelled, whatever the reason of its exit. */
  private void handleReplicaExit(ActiveAttempt active, String machine, ExitReason reason) {
    LedJob ledJob = active.job();
    long ranMs = active.ranMs(clock.now());
    // errors of long ago, each on another machine, don't make it the job's own fault
    if (ranMs >= ReplicaRestarts.REPLICA_STABLE_MS) {
      ledJob.clearErrors();
    }
    recordFailure(active, reason);
    // the worker keeps the result; the cooldown outlasts the backoff, so it is tried elsewhere
    if (reason == ExitReason.DONE) {
      ledJob.avoidMachineUntil(machine, clock.now() + JOB_MACHINE_COOLDOWN_MS);
    }
    boolean startFailed =
        reason == ExitReason.STOPPED
            || reason == ExitReason.INSUFFICIENT_CAPACITY
            || reason == ExitReason.BUSY;
    boolean startable =
        startFailed || ledJob.restarts().recordExit(active.task(), ranMs, clock.now());
    attempts.release(active, startable);
  }

  private void recordError(LedJob ledJob, String machine) {
    long now = clock.now();
    ledJob.recordError(machine, now + JOB_MACHINE_COOLDOWN_MS);
    // replicas back off one by one: the others may be well
    if (ledJob.errorMachineCount() >= Constants.JOB_FAULT_MACHINES && !ledJob.spec().isService()) {
      ledJob.delayStartsUntil(now + JOB_FAULT_RETRY_INTERVAL_MS);
      LOG.info(
          "job fails on every machine job={} retry_ms={}",
          ledJob.id(),
          JOB_FAULT_RETRY_INTERVAL_MS);
    }
  }
}
