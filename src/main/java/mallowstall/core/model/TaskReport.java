package mallowstall.core.model;

/**
 * A task in a heartbeat.
 *
 * @param job id of the job
 * @param task number of the task
 * @param attempt number of the attempt
 * @param state state of the attempt
 * @param exitReason why it exited; null before
 * @param checkpointed whether a checkpoint was saved
 */
public record TaskReport(
    String job,
    int task,
    long attempt,
    TaskState state,
    ExitReason exitReason,
    boolean checkpointed) {}
