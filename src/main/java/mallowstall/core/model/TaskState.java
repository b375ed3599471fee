package mallowstall.core.model;

/** What a worker says of a task. */
public enum TaskState {
  FETCHING,
  RUNNING,
  CHECKPOINTING,
  EXITED
}
