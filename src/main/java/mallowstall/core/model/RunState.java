package mallowstall.core.model;

/** What a controller knows about the running tasks of a job. */
public enum RunState {
  /** At least one task was running. */
  RUNNING,
  /** No task was running. */
  IDLE,
  /** Neither is known. */
  UNKNOWN
}
