package mallowstall.core.machines;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import mallowstall.core.model.MachineStatus;
import mallowstall.core.model.TaskAttempt;
import mallowstall.core.model.TaskKey;

/** The last published status of one machine, and whether it may have changed since. Mutable. */
final class PublishedStatus {
  /** The last attempt whose exit was published, by task; only of tasks that restart. */
  private final Object2LongOpenHashMap<TaskKey> exits = new Object2LongOpenHashMap<>();

  private boolean changed;
  private MachineStatus status;
  private long updateNumber;
  private long publishedMs;

  /** Records that the machine's status may differ from the published one. */
  void markChanged() {
    changed = true;
  }

  /**
   * Returns whether the status may have changed since it was last compared with the published one.
   */
  boolean changed() {
    return changed;
  }

  /** Clears the mark, since the machine's status is being compared with the published one. */
  void clearChanged() {
    changed = false;
  }

  /** Records that the status is published in the status update with the given number. */
  void publish(MachineStatus newStatus, long newUpdateNumber, long now) {
    status = newStatus;
    updateNumber = newUpdateNumber;
    publishedMs = now;
  }

  /** Returns the last published status, or null if none was published. */
  MachineStatus status() {
    return status;
  }

  /** Returns the number of the first status update that contained the status. */
  long updateNumber() {
    return updateNumber;
  }

  /** Returns the time at which the status was published, in milliseconds of the steady clock. */
  long publishedMs() {
    return publishedMs;
  }

  /** Records that a published status contains the attempt's exit. */
  void recordExit(TaskAttempt attempt) {
    exits.put(attempt.key(), attempt.attempt());
  }

  /** Returns whether the last published exit of the task is that of this attempt. */
  boolean isExitPublished(TaskAttempt attempt) {
    return exits.getLong(attempt.key()) == attempt.attempt();
  }

  /** Removes all exits, since a new worker session reports no tasks of earlier sessions. */
  void clearExits() {
    exits.clear();
  }
}
