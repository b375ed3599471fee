package mallowstall.core.jobs;

import mallowstall.Constants;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.model.ExitReason;
import mallowstall.core.model.StartRejection;
import mallowstall.core.model.TaskStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles the exit of a task and the rejection of a start. The task has completed, or it is placed
 * again after a cooldown of the machine, of the replica or of the whole job. Not thread-safe.
 */
final class TaskExitHandler {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.jobs");

  /** Cooldown in milliseconds of a machine for a job after a task of the job failed on it. */
  private static final long JOB_MACHINE_COOLDOWN_MS = 15_000;

  /** Delay in milliseconds before the next start of a job that fails on every machine. */
  private static final long JOB_FAULT_RETRY_INTERVAL_MS = 10_000;

  /** Cooldown in milliseconds of a machine for a job after its leader rejected a start. */
  private static final long START_REJECTED_COOLDOWN_MS = 1_000;

  /**
   * Cooldown in milliseconds of a machine for a job after its leader rejected a start only because
   * the leader's state replica lagged. It is about the time that a watch takes.
   */
  private static final long STATE_REPLICA_LAG_COOLDOWN_MS = 150;

  /**
   * Cooldown in milliseconds of a machine for a job after its worker had no free capacity for a
   * task of the job.
   */
  private static final long INSUFFICIENT_CAPACITY_COOLDOWN_MS = 3_000;

  private final EventClock clock;
  private final AttemptTracker attempts;

  TaskExitHandler(EventClock clock, AttemptTracker attempts) {
    this.clock = clock;
    this.attempts = attempts;
  }

  /**
   * Handles the exit of a task.
   *
   * @param active the tracked attempt if it is the one that has exited, otherwise null
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

  /** Handles a rejection: the machine leader never sent the start to the worker and never will. */
  void handleRejection(LedJob ledJob, StartRejection rejection) {
    ActiveAttempt active = ledJob.activeAttempts().get(rejection.task());
    if (active == null || active.attempt() != rejection.attempt() || active.observedOnMachine()) {
      return;
    }
    boolean stateReplicaLags = rejection.reason().equals(StartRejection.JOB_NOT_KNOWN);
    if (stateReplicaLags && ledJob.spec().isService()) {
      // Guards against placing all replicas on the machines of one leader: until the lag ends, only
      // a machine leader whose state replica already has the job accepts its starts.
      ledJob.delayStartsUntil(
          Math.max(ledJob.startNotBeforeMs(), clock.now() + STATE_REPLICA_LAG_COOLDOWN_MS));
    }
    long cooldownMs = stateReplicaLags ? STATE_REPLICA_LAG_COOLDOWN_MS : START_REJECTED_COOLDOWN_MS;
    ledJob.avoidMachineUntil(rejection.machine(), clock.now() + cooldownMs);
    attempts.release(active, true);
  }

  /**
   * Logs the end of an attempt whose task must run again, and puts its machine on cooldown if the
   * reason calls for it.
   */
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

  /**
   * Handles the exit of a replica. It is started again, whatever the exit reason, until its job is
   * cancelled.
   */
  private void handleReplicaExit(ActiveAttempt active, String machine, ExitReason reason) {
    LedJob ledJob = active.job();
    long ranMs = active.ranMs(clock.now());
    // Old errors, each on another machine, must not add up to a fault of the job itself.
    if (ranMs >= ReplicaRestarts.REPLICA_STABLE_MS) {
      ledJob.clearErrors();
    }
    recordFailure(active, reason);
    // The worker keeps the result of the task and would end each new start at once. The cooldown
    // is longer than the backoff, so that the replica is started on another machine.
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
    // Each replica of a service backs off on its own, because the others may be healthy.
    if (ledJob.errorMachineCount() >= Constants.JOB_FAULT_MACHINES && !ledJob.spec().isService()) {
      ledJob.delayStartsUntil(now + JOB_FAULT_RETRY_INTERVAL_MS);
      LOG.info(
          "job fails on every machine job={} retry_ms={}",
          ledJob.id(),
          JOB_FAULT_RETRY_INTERVAL_MS);
    }
  }
}
