package mallowstall.core.model;

/**
 * One attempt of a task. A worker may list a rejected attempt beside the one that it runs. Equality
 * is implemented by hand for the reason given in {@link TaskKey}.
 *
 * @param job id of the job
 * @param task number of the task
 * @param attempt number of the attempt; later attempts have larger numbers
 */
public record TaskAttempt(String job, int task, long attempt) {
  /** Returns the attempt that the report describes. */
  public static TaskAttempt of(TaskReport report) {
    return new TaskAttempt(report.job(), report.task(), report.attempt());
  }

  /** Returns the attempt that the status describes. */
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

  /** Returns the task of this attempt. */
  public TaskKey key() {
    return new TaskKey(job, task);
  }
}
