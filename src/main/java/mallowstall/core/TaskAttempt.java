package mallowstall.core;

import mallowstall.core.Model.TaskRef;
import mallowstall.core.Model.TaskReport;

/** One attempt of a task: a worker may list a refused attempt beside the one that it runs. */
record TaskAttempt(String job, int task, long attempt) {
  static TaskAttempt of(TaskReport report) {
    return new TaskAttempt(report.job(), report.task(), report.attempt());
  }

  static TaskAttempt of(TaskRef ref) {
    return new TaskAttempt(ref.job(), ref.task(), ref.attempt());
  }

  TaskKey key() {
    return new TaskKey(job, task);
  }
}
