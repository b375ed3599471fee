package mallowstall.core.machines;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import mallowstall.core.model.MachineStatus;
import mallowstall.core.model.TaskAttempt;
import mallowstall.core.model.TaskKey;

/** What status updates have last said of one machine. Mutable. */
final class PublishedStatus {
  /** Exits of tasks that restart, by the attempt that was published last. */
  private final Object2LongOpenHashMap<TaskKey> exits = new Object2LongOpenHashMap<>();

  private boolean changed;
  private MachineStatus status;
  private long updateNumber;
  private long publishedMs;

  /** Something that status updates carry may have changed. */
  void markChanged() {
    changed = true;
  }

  /** Whether something that status updates carry may have changed since the last look. */
  boolean changed() {
    return changed;
  }

  /** The machine's status is compared with the published one now. */
  void clearChanged() {
    changed = false;
  }

  /** The status goes out with the update of this number. */
  void publish(MachineStatus newStatus, long newUpdateNumber, long now) {
    status = newStatus;
    updateNumber = newUpdateNumber;
    publishedMs = now;
  }

  /** The status published last; null before the first. */
  MachineStatus status() {
    return status;
  }

  /** The update that carried the status first. */
  long updateNumber() {
    return updateNumber;
  }

  /** When the status was published, in ms of the steady clock. */
  long publishedMs() {
    return publishedMs;
  }

  /** The attempt's exit is part of a published status. */
  void recordExit(TaskAttempt attempt) {
    exits.put(attempt.key(), attempt.attempt());
  }

  /** Whether the attempt's exit was the last of its task to be published. */
  boolean isExitPublished(TaskAttempt attempt) {
    return exits.getLong(attempt.key()) == attempt.attempt();
  }

  /** A new worker session lists none of the tasks of earlier ones. */
  void clearExits() {
    exits.clear();
  }
}
