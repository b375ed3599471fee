package mallowstall.core.model;

/** Why an attempt of a task exited. */
public enum ExitReason {
  /** It has completed. */
  DONE,
  /** It was stopped by command. */
  STOPPED,
  /** It failed, or for a reason that this version doesn't know. */
  ERROR,
  /** Not started: the machine had too little free capacity. */
  INSUFFICIENT_CAPACITY,
  /** Not started: another attempt of the task is on the machine. */
  BUSY,
  /** Not started: there is no such job or task. */
  TASK_NOT_FOUND
}
