package mallowstall.core.model;

/** Why a task exited. */
public enum ExitReason {
  DONE,
  STOPPED,
  ERROR,
  INSUFFICIENT_CAPACITY,
  BUSY,
  TASK_NOT_FOUND
}
