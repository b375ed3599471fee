package mallowstall.core.model;

/** What a worker is to do with an attempt of a task. */
public enum CommandKind {
  /** Fetch the image and run the task. */
  START,
  /** End the task, after a grace period to save a checkpoint. */
  STOP,
  /** Forget the exited task: its exit is recorded. */
  REMOVE
}
