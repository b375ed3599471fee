package mallowstall.core.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.PlacementTrigger;
import mallowstall.core.model.MachineStatus;
import mallowstall.core.model.TaskStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks the attempts of led jobs that are or may be on machines, indexed by machine. An attempt is
 * tracked from its start until it is proven to be on no machine, so that no task runs twice, or
 * until this controller no longer leads the job. Mutable; not thread-safe.
 */
final class AttemptTracker {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.jobs");

  private final EventClock clock;
  private final PlacementTrigger placementTrigger;
  private final Map<String, Set<ActiveAttempt>> attemptsByMachine = new HashMap<>();

  /** Attempts whose start was sent to a machine leader and that no worker has reported yet. */
  private final Set<ActiveAttempt> unobservedStarts = new LinkedHashSet<>();

  AttemptTracker(EventClock clock, PlacementTrigger placementTrigger) {
    this.clock = clock;
    this.placementTrigger = placementTrigger;
  }

  /** Starts tracking an attempt, until it is proven to be on no machine. */
  void track(ActiveAttempt active) {
    active.job().addAttempt(active);
    active.recordPlacement(clock.now());
    if (!active.observedOnMachine()) {
      unobservedStarts.add(active);
    }
    attemptsByMachine.computeIfAbsent(active.machine(), key -> new LinkedHashSet<>()).add(active);
  }

  /**
   * Stops tracking an attempt that is proven to be on no machine.
   *
   * @param retry whether the task is queued to be placed again, unless it has completed
   */
  void release(ActiveAttempt active, boolean retry) {
    active.job().removeAttempt(active, clock.now());
    removeFromIndex(active);
    if (retry) {
      active.job().requeueUnlessCompleted(active.task());
    }
    placementTrigger.request();
  }

  /**
   * Releases an attempt that the status of its machine does not list: the attempt has ended there,
   * or its start never arrived. The task is queued to be placed again.
   */
  void releaseUnreported(ActiveAttempt active) {
    LOG.debug(
        "attempt no longer reported job={} task={} attempt={} machine={}",
        active.job().id(),
        active.task(),
        active.attempt(),
        active.machine());
    release(active, true);
  }

  /** Records that the status of the attempt's machine lists the attempt. */
  void recordObservation(ActiveAttempt active, MachineStatus status, TaskStatus taskStatus) {
    active.recordObservation(taskStatus.state(), status.session(), clock.now());
    if (taskStatus.state() != null) {
      unobservedStarts.remove(active);
    }
  }

  /**
   * Stops tracking the attempts of a job that this controller no longer leads. The job's next
   * leader tracks them.
   */
  void stopTrackingJob(LedJob ledJob) {
    for (ActiveAttempt active : ledJob.activeAttempts().values()) {
      removeFromIndex(active);
    }
  }

  private void removeFromIndex(ActiveAttempt active) {
    unobservedStarts.remove(active);
    Set<ActiveAttempt> attempts = attemptsByMachine.get(active.machine());
    if (attempts == null) {
      return;
    }
    attempts.remove(active);
    if (attempts.isEmpty()) {
      attemptsByMachine.remove(active.machine());
    }
  }

  /** Returns a live view of the attempts that are or may be on the machine, or null if none are. */
  Set<ActiveAttempt> attemptsOn(String machine) {
    return attemptsByMachine.get(machine);
  }

  /** Returns a copy of the ids of all machines that tracked attempts are or may be on. */
  List<String> machines() {
    return new ArrayList<>(attemptsByMachine.keySet());
  }

  /**
   * Returns a copy of the attempts whose start was sent and that no worker has reported yet, oldest
   * first.
   */
  List<ActiveAttempt> unobservedStarts() {
    return new ArrayList<>(unobservedStarts);
  }

  /** Releases all attempts on a machine that is proven to be removed, which ended them. */
  void releaseAttemptsOn(String machine) {
    Set<ActiveAttempt> attempts = attemptsByMachine.get(machine);
    if (attempts == null) {
      return;
    }
    for (ActiveAttempt active : new ArrayList<>(attempts)) {
      LOG.debug(
          "attempt ended with its machine job={} task={} attempt={} machine={}",
          active.job().id(),
          active.task(),
          active.attempt(),
          machine);
      release(active, true);
    }
  }
}
