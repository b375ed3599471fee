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
 * The attempts of led jobs that are or may be on machines, indexed by machine. An attempt is
 * tracked from its start until it is proven to be on no machine, so that no task runs twice.
 * Mutable; not thread-safe.
 */
final class AttemptTracker {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.jobs");

  private final EventClock clock;
  private final PlacementTrigger placementTrigger;
  private final Map<String, Set<ActiveAttempt>> attemptsByMachine = new HashMap<>();

  /** Attempts that were sent to a machine leader and not yet seen on their machine. */
  private final Set<ActiveAttempt> unobservedStarts = new LinkedHashSet<>();

  AttemptTracker(EventClock clock, PlacementTrigger placementTrigger) {
    this.clock = clock;
    this.placementTrigger = placementTrigger;
  }

  /** Tracks an attempt until it is proven to be on no machine. */
  void track(ActiveAttempt active) {
    active.job().addAttempt(active);
    active.recordPlacement(clock.now());
    if (!active.observedOnMachine()) {
      unobservedStarts.add(active);
    }
    attemptsByMachine.computeIfAbsent(active.machine(), key -> new LinkedHashSet<>()).add(active);
  }

  /** The attempt is proven to be on no machine; {@code retry}: its task is to be placed again. */
  void release(ActiveAttempt active, boolean retry) {
    active.job().removeAttempt(active, clock.now());
    removeFromIndex(active);
    if (retry) {
      active.job().requeueUnlessCompleted(active.task());
    }
    placementTrigger.request();
  }

  /** The attempt was not reported where it would be: it has ended there or never arrived. */
  void releaseUnreported(ActiveAttempt active) {
    LOG.debug(
        "attempt no longer reported job={} task={} attempt={} machine={}",
        active.job().id(),
        active.task(),
        active.attempt(),
        active.machine());
    release(active, true);
  }

  /** The machine's worker lists the attempt. */
  void recordObservation(ActiveAttempt active, MachineStatus status, TaskStatus taskStatus) {
    active.recordObservation(taskStatus.state(), status.session(), clock.now());
    if (taskStatus.state() != null) {
      unobservedStarts.remove(active);
    }
  }

  /** The job is no longer led here: its attempts are its next leader's concern. */
  void forgetJob(LedJob ledJob) {
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

  /** The attempts that are or may be on the machine, a live view; null: none. */
  Set<ActiveAttempt> attemptsOn(String machine) {
    return attemptsByMachine.get(machine);
  }

  /** A copy of the machines that have or may have attempts. */
  List<String> machines() {
    return new ArrayList<>(attemptsByMachine.keySet());
  }

  /** A copy of the attempts that were sent and not yet seen on their machine, oldest first. */
  List<ActiveAttempt> unobservedStarts() {
    return new ArrayList<>(unobservedStarts);
  }

  /** The machine is proven to be removed, which ends every attempt on it. */
  void removeMachine(String machine) {
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
