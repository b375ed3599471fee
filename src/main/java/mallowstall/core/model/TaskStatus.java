package mallowstall.core.model;

/** One task as its owner knows it; {@code state} null: accepted, not yet seen on the machine. */
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
