package mallowstall.core;

import mallowstall.core.model.ExitReason;
import mallowstall.core.model.TaskState;

/** One attempt of a task on a simulated machine. */
final class SimulatedTask {
  String job;
  int task;
  long attempt;
  TaskState state;
  ExitReason exitReason;
  int step;

  /** The time at which its present step ends. A pause of the worker postpones it. */
  long dueMs;
}
