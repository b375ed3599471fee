package mallowstall.core.model;

/** State of an attempt as its worker reports it. */
public enum TaskState {
  /** Its image is being fetched. */
  FETCHING,
  RUNNING,
  /** Saves a checkpoint before it stops. */
  CHECKPOINTING,
  EXITED
}
