package mallowstall.core.model;

/**
 * A task in the status of its machine.
 *
 * @param job id of the job
 * @param task number of the task
 * @param attempt number of the attempt
 * @param state state of the attempt, or null if the start is reserved and in no heartbeat yet
 * @param exitReason reason of the exit, or null before the exit
 */
public record TaskStatus(
    String job, int task, long attempt, TaskState state, ExitReason exitReason) {
  @Override
  public boolean equals(Object other) {
    return other instanceof TaskStatus that
        && task == that.task
        && attempt == that.attempt
        && state == that.state
        && exitReason == that.exitReason
        && job.equals(that.job);
  }

  @Override
  public int hashCode() {
    return 31 * (31 * job.hashCode() + task) + Long.hashCode(attempt);
  }
}
