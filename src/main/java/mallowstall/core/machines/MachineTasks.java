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

/**
 * Tasks on one machine: those its worker lists, accepted starts, and stops that wait to be sent.
 * Whatever changes the tasks also marks the machine's status as changed and keeps the time from
 * which it has none, so that no caller can forget to. Mutable; times are in ms of the steady clock.
 */
final class MachineTasks {
  private final Runnable markChanged;

  /** When there was a task last, or when the machine was added or emptied. */
  private long busyUntilMs;

  private final Map<TaskAttempt, TaskReport> reports = new LinkedHashMap<>();
  private final Map<TaskKey, Reservation> reservations = new Object2ObjectLinkedOpenHashMap<>();
  private final Map<TaskKey, StopRequest> pendingStops = new HashMap<>();

  /**
   * Victims of accepted starts. Their stop goes out before or with any start that follows, so their
   * resources count as free.
   */
  private final Set<TaskAttempt> preempted = new HashSet<>();

  /** Nothing is on the machine; {@code markChanged} is run with each change of its tasks. */
  MachineTasks(Runnable markChanged, long now) {
    this.markChanged = markChanged;
    this.busyUntilMs = now;
  }

  /** Since when nothing has been on the machine; meaningless while something is. */
  long idleSinceMs() {
    return busyUntilMs;
  }

  private void tasksChange(long now) {
    busyUntilMs = now;
    markChanged.run();
  }

  /** What the worker last reported of its tasks, in its order. */
  Iterable<TaskReport> reports() {
    return reports.values();
  }

  /** How many tasks the worker lists, those that have exited included. */
  int reportCount() {
    return reports.size();
  }

  /** What the worker last reported of the attempt; null: it doesn't list it. */
  TaskReport report(TaskAttempt attempt) {
    return reports.get(attempt);
  }

  /** Whether the worker lists the attempt. */
  boolean isReported(TaskAttempt attempt) {
    return reports.containsKey(attempt);
  }

  /** Takes over a new list of tasks and returns the previous one. */
  Map<TaskAttempt, TaskReport> replaceReports(List<TaskReport> newReports, long now) {
    tasksChange(now);
    Map<TaskAttempt, TaskReport> previous = new HashMap<>(reports);
    reports.clear();
    for (TaskReport task : newReports) {
      reports.put(TaskAttempt.of(task), task);
    }
    preempted.retainAll(reports.keySet());
    return previous;
  }

  /** Whether the worker lists any attempt of the task, or a start of it was accepted. */
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

  /** Whether the worker lists nothing and no start was accepted. */
  boolean isEmpty() {
    return reports.isEmpty() && reservations.isEmpty();
  }

  /** Accepts a start. */
  void reserve(Reservation reservation, long now) {
    tasksChange(now);
    reservations.put(reservation.key(), reservation);
  }

  /** The accepted start of the task; null: there is none. */
  Reservation reservation(TaskKey key) {
    return reservations.get(key);
  }

  /** Accepted starts in order; a live view that can't be changed. */
  Collection<Reservation> reservations() {
    return Collections.unmodifiableCollection(reservations.values());
  }

  /** Drops the accepted starts for which the condition holds; returns whether there were any. */
  boolean removeReservationsIf(Predicate<Reservation> condition, long now) {
    boolean removed = reservations.values().removeIf(condition);
    if (removed) {
      tasksChange(now);
    }
    return removed;
  }

  /** Marks a listed task as the victim of an accepted start; false: it isn't listed, or was. */
  boolean preempt(TaskAttempt attempt) {
    boolean added = reports.containsKey(attempt) && preempted.add(attempt);
    if (added) {
      markChanged.run();
    }
    return added;
  }

  /** Whether the attempt is the victim of an accepted start. */
  boolean isPreempted(TaskAttempt attempt) {
    return preempted.contains(attempt);
  }

  /** Asks for the task to be stopped; a later request replaces an earlier one. */
  void requestStop(StopRequest stop) {
    pendingStops.put(new TaskKey(stop.job(), stop.task()), stop);
  }

  /** The stop that waits for the task; null: there is none. */
  StopRequest pendingStop(TaskKey key) {
    return pendingStops.get(key);
  }

  /** Whether a stop waits for the task. */
  boolean hasPendingStop(TaskKey key) {
    return pendingStops.containsKey(key);
  }

  /** Calls back for each stop that waits. */
  void forEachPendingStop(BiConsumer<TaskKey, StopRequest> action) {
    pendingStops.forEach(action);
  }

  /** The task has exited: its stop needn't be sent. */
  void clearPendingStop(TaskKey key) {
    pendingStops.remove(key);
  }

  /** Drops stops of tasks that are neither listed nor reserved. */
  void dropObsoleteStops() {
    pendingStops.keySet().removeIf(key -> !hasTask(key));
  }

  /** Whether a start or a stop may wait to be sent. */
  boolean hasPendingCommands() {
    return !pendingStops.isEmpty() || !reservations.isEmpty();
  }

  /** Nothing is left on the machine. */
  void clear(long now) {
    tasksChange(now);
    reports.clear();
    reservations.clear();
    pendingStops.clear();
    preempted.clear();
  }
}
