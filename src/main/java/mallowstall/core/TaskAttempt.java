package mallowstall.core;

import mallowstall.core.Model.TaskRef;
import mallowstall.core.Model.TaskReport;

/**
 * One attempt of a task: a worker may list a refused attempt beside the one that it runs. Compared
 * by hand for the reason that {@link TaskKey} gives.
 */
record TaskAttempt(String job, int task, long attempt) {
  static TaskAttempt of(TaskReport report) {
    return new TaskAttempt(report.job(), report.task(), report.attempt());
  }

  static TaskAttempt of(TaskRef ref) {
    return new TaskAttempt(ref.job(), ref.task(), ref.attempt());
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof TaskAttempt one
        && task == one.task
        && attempt == one.attempt
        && job.equals(one.job);
  }

  @Override
  public int hashCode() {
    return 31 * (31 * job.hashCode() + task) + Long.hashCode(attempt);
  }

  TaskKey key() {
    return new TaskKey(job, task);
  }
}
