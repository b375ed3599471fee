package mallowstall.core.model;

/**
 * One attempt of a task. A worker may list a rejected attempt beside the one that it runs. Equality
 * is written by hand for the reason that {@link TaskKey} gives.
 *
 * @param job id of the job
 * @param task number of the task
 * @param attempt number of the attempt; later ones are larger
 */
public record TaskAttempt(String job, int task, long attempt) {
  /** The attempt that is reported there. */
  public static TaskAttempt of(TaskReport report) {
    return new TaskAttempt(report.job(), report.task(), report.attempt());
  }

  /** The attempt whose status this is. */
  public static TaskAttempt of(TaskStatus status) {
    return new TaskAttempt(status.job(), status.task(), status.attempt());
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof TaskAttempt that
        && task == that.task
        && attempt == that.attempt
        && job.equals(that.job);
  }

  @Override
  public int hashCode() {
    return 31 * (31 * job.hashCode() + task) + Long.hashCode(attempt);
  }

  /** The task, whatever the attempt. */
  public TaskKey key() {
    return new TaskKey(job, task);
  }
}
