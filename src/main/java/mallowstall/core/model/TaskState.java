package mallowstall.core.model;

/** State of an attempt as reported by its worker. */
public enum TaskState {
  /** The image of the task is being fetched. */
  FETCHING,
  RUNNING,
  /** The task saves a checkpoint before it stops. */
  CHECKPOINTING,
  EXITED
}
