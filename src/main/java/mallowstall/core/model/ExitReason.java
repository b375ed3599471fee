package mallowstall.core.model;

/** The reason for which an attempt of a task exited. */
public enum ExitReason {
  /** The task completed. */
  DONE,
  /** The task was stopped by a command. */
  STOPPED,
  /** The task failed, or it exited for a reason that is unknown to this version. */
  ERROR,
  /** The task was not started, because the machine had too little free capacity. */
  INSUFFICIENT_CAPACITY,
  /** The task was not started, because another attempt of it is on the machine. */
  BUSY,
  /** The task was not started, because the job or the task doesn't exist. */
  TASK_NOT_FOUND
}
