package mallowstall.core.model;

/** The action that a worker takes on an attempt of a task. */
public enum CommandKind {
  /** Fetch the image and run the task. */
  START,
  /** End the task, after a grace period to save a checkpoint. */
  STOP,
  /** Remove the exited task from the worker, because its exit is recorded. */
  REMOVE
}
