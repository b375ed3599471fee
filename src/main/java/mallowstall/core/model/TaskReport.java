package mallowstall.core.model;

/**
 * A task in a heartbeat.
 *
 * @param job id of the job
 * @param task number of the task
 * @param attempt number of the attempt
 * @param state state of the attempt
 * @param exitReason reason of the exit, or null before the exit
 * @param checkpointed whether a checkpoint was saved
 */
public record TaskReport(
    String job,
    int task,
    long attempt,
    TaskState state,
    ExitReason exitReason,
    boolean checkpointed) {
  /** Returns whether the task runs. A task that saves a checkpoint still does. */
  public boolean isRunning() {
    return state == TaskState.RUNNING || state == TaskState.CHECKPOINTING;
  }
}
