package mallowstall.core.model;

/**
 * One attempt of a task: a worker may list a refused attempt beside the one that it runs. Compared
 * by hand for the reason that {@link TaskKey} gives.
 */
public record TaskAttempt(String job, int task, long attempt) {
  /** The attempt that is named there. */
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
