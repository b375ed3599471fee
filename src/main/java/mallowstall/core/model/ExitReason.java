package mallowstall.core.model;

/** Why an attempt of a task exited. */
public enum ExitReason {
  /** It has completed. */
  DONE,
  /** It was told to stop. */
  STOPPED,
  /** It failed, or for a reason that this version doesn't know. */
  ERROR,
  /** The machine had too little free capacity to start it. */
  INSUFFICIENT_CAPACITY,
  /** The worker ran another attempt of the task. */
  BUSY,
  /** The worker doesn't know the attempt that it was to stop. */
  TASK_NOT_FOUND
}
