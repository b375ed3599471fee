package mallowstall.core.machines;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import mallowstall.core.model.StopRequest;
import mallowstall.core.model.TaskAttempt;
import mallowstall.core.model.TaskKey;
import mallowstall.core.model.TaskReport;
import mallowstall.core.model.TaskState;

/**
 * Tasks on one machine: the tasks that its worker reports, the reservations for accepted starts,
 * and the pending stops. Every change of the reported tasks or the reservations marks the machine's
 * status as changed and updates the time since which the machine is idle, so that callers need not
 * do so. Mutable; times are in milliseconds of the steady clock.
 */
final class MachineTasks {
  /** Time in milliseconds for which the end of a running task is kept. */
  private static final long RUNNING_ENDED_KEPT_MS = 10_000;

  private final Runnable markChanged;

  /**
   * The time of the last change of the reported tasks or the reservations, or the time at which the
   * machine was added if there was none.
   */
  private long lastChangeMs;

  private final long addedMs;

  /** When running tasks of a job last ended, by job, for the ends of the last seconds. */
  private Map<String, Long> runningEndedMs = Map.of();

  private final Map<TaskAttempt, TaskReport> reports = new LinkedHashMap<>();
  private final Map<TaskKey, Reservation> reservations = new Object2ObjectLinkedOpenHashMap<>();
  private final Map<TaskKey, StopRequest> pendingStops = new HashMap<>();

  /**
   * Victims of accepted starts. The stop of a victim is sent before or together with any later
   * start, so the resources of victims count as free.
   */
  private final Set<TaskAttempt> preempted = new HashSet<>();

  /**
   * Creates the tasks of a machine that has none.
   *
   * @param markChanged is run on each change that the machine's status shows
   */
  MachineTasks(Runnable markChanged, long now) {
    this.markChanged = markChanged;
    this.lastChangeMs = now;
    this.addedMs = now;
  }

  /**
   * Returns the steady time in milliseconds since which the machine is idle; only meaningful if
   * {@link #isEmpty} is true.
   */
  long idleSinceMs() {
    return lastChangeMs;
  }

  private void recordChange(long now) {
    lastChangeMs = now;
    markChanged.run();
  }

  /**
   * Returns the steady time in milliseconds at which a report last showed that a task of the job
   * had ended, if that was recently, or else the time at which the machine was added.
   */
  long runningEndedMs(String job) {
    return runningEndedMs.getOrDefault(job, addedMs);
  }

  private void recordEnded(String job, long now) {
    if (runningEndedMs.isEmpty()) {
      runningEndedMs = new HashMap<>(); // not before, as most of thousands of machines need none
    }
    runningEndedMs.values().removeIf(endedMs -> now - endedMs > RUNNING_ENDED_KEPT_MS);
    runningEndedMs.put(job, now);
  }

  /** Records which jobs have tasks that ended between the previous reports and the present ones. */
  private void recordEnded(Map<TaskAttempt, TaskReport> previous, long now) {
    previous.forEach(
        (attempt, task) -> {
          if (task.isRunning() && !reports.containsKey(attempt)) {
            recordEnded(task.job(), now);
          }
        });
    reports.forEach(
        (attempt, task) -> {
          TaskReport before = previous.get(attempt);
          boolean hadExited = before != null && before.state() == TaskState.EXITED;
          if (task.state() == TaskState.EXITED && !hadExited) {
            recordEnded(task.job(), now);
          }
        });
  }

  /** Returns the tasks in the worker's last report, in the order of that report. */
  Iterable<TaskReport> reports() {
    return reports.values();
  }

  /** Returns the number of tasks in the worker's last report, including exited ones. */
  int reportCount() {
    return reports.size();
  }

  /** Returns the worker's last report of the attempt, or null if it doesn't contain the attempt. */
  TaskReport report(TaskAttempt attempt) {
    return reports.get(attempt);
  }

  /** Returns whether the worker's last report contains the attempt. */
  boolean isReported(TaskAttempt attempt) {
    return reports.containsKey(attempt);
  }

  /** Replaces the reported tasks and returns the previous ones. */
  Map<TaskAttempt, TaskReport> replaceReports(List<TaskReport> newReports, long now) {
    recordChange(now);
    Map<TaskAttempt, TaskReport> previous = new HashMap<>(reports);
    reports.clear();
    for (TaskReport task : newReports) {
      reports.put(TaskAttempt.of(task), task);
    }
    recordEnded(previous, now);
    preempted.retainAll(reports.keySet());
    return previous;
  }

  /** Returns whether the worker reports any attempt of the task, or the task has a reservation. */
  boolean hasTask(TaskKey key) {
    if (reservations.containsKey(key)) {
      return true;
    }
    for (TaskAttempt attempt : reports.keySet()) {
      if (attempt.key().equals(key)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether the job has a reservation or a reported task that hasn't exited. */
  boolean listsUnfinished(String job) {
    for (TaskReport task : reports.values()) {
      if (task.state() != TaskState.EXITED && task.job().equals(job)) {
        return true;
      }
    }
    for (TaskKey key : reservations.keySet()) {
      if (key.job().equals(job)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether the worker reports no task and there is no reservation. */
  boolean isEmpty() {
    return reports.isEmpty() && reservations.isEmpty();
  }

  /** Adds the reservation of an accepted start. */
  void reserve(Reservation reservation, long now) {
    recordChange(now);
    reservations.put(reservation.key(), reservation);
  }

  /** Returns the reservation of the task, or null if there is none. */
  Reservation reservation(TaskKey key) {
    return reservations.get(key);
  }

  /** Returns the reservations in the order in which they were made; an unmodifiable live view. */
  Collection<Reservation> reservations() {
    return Collections.unmodifiableCollection(reservations.values());
  }

  /** Removes the reservations that match the condition; returns whether there were any. */
  boolean removeReservationsIf(Predicate<Reservation> condition, long now) {
    boolean removed = reservations.values().removeIf(condition);
    if (removed) {
      recordChange(now);
    }
    return removed;
  }

  /**
   * Marks a reported attempt as the victim of an accepted start. Returns false if the worker
   * doesn't report the attempt or the attempt is marked already.
   */
  boolean preempt(TaskAttempt attempt) {
    boolean added = reports.containsKey(attempt) && preempted.add(attempt);
    if (added) {
      markChanged.run();
    }
    return added;
  }

  /** Returns whether the attempt is the victim of an accepted start. */
  boolean isPreempted(TaskAttempt attempt) {
    return preempted.contains(attempt);
  }

  /** Adds a pending stop of the task; it replaces an earlier one. */
  void requestStop(StopRequest stop) {
    pendingStops.put(new TaskKey(stop.job(), stop.task()), stop);
  }

  /** Returns the pending stop of the task, or null if there is none. */
  StopRequest pendingStop(TaskKey key) {
    return pendingStops.get(key);
  }

  /** Returns whether the task has a pending stop. */
  boolean hasPendingStop(TaskKey key) {
    return pendingStops.containsKey(key);
  }

  void forEachPendingStop(BiConsumer<TaskKey, StopRequest> action) {
    pendingStops.forEach(action);
  }

  /** Removes the pending stop of a task that has exited, since it need not be sent any more. */
  void clearPendingStop(TaskKey key) {
    pendingStops.remove(key);
  }

  /** Removes the pending stops of tasks that are neither reported nor reserved. */
  void dropObsoleteStops() {
    pendingStops.keySet().removeIf(key -> !hasTask(key));
  }

  /** Returns whether there may be a start or a stop to send. */
  boolean hasPendingCommands() {
    return !pendingStops.isEmpty() || !reservations.isEmpty();
  }

  /** Removes all tasks, reservations and stops, since nothing is left on the machine. */
  void clear(long now) {
    recordChange(now);
    Map<TaskAttempt, TaskReport> previous = new HashMap<>(reports);
    reports.clear();
    recordEnded(previous, now);
    reservations.clear();
    pendingStops.clear();
    preempted.clear();
  }
}
