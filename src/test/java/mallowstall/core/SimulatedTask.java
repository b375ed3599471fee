package mallowstall.core;

import mallowstall.core.model.ExitReason;
import mallowstall.core.model.TaskState;

/** A task on the machine. */
final class SimulatedTask {
  String job;
  int task;
  long attempt;
  TaskState state;
  ExitReason exitReason;
  int step;

  /** When what it does now is done; later if its machine pauses. */
  long dueMs;
}
