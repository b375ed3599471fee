package mallowstall.core.machines;

import mallowstall.core.model.JobSpec;
import mallowstall.core.model.StartRequest;
import mallowstall.core.model.TaskAttempt;
import mallowstall.core.model.TaskKey;

/** Capacity held for an accepted start that the worker has not reported yet. Mutable. */
final class Reservation {
  private final StartRequest request;
  private final JobSpec spec;
  private boolean sent;

  Reservation(StartRequest request, JobSpec spec) {
    this.request = request;
    this.spec = spec;
  }

  StartRequest request() {
    return request;
  }

  /** Returns the job's specification, which determines the amount of reserved capacity. */
  JobSpec spec() {
    return spec;
  }

  /** Returns the task to start. */
  TaskKey key() {
    return new TaskKey(request.job(), request.task());
  }

  /** Returns the attempt to start. */
  TaskAttempt attempt() {
    return new TaskAttempt(request.job(), request.task(), request.attempt());
  }

  /** Returns whether a command with this start has been sent to the worker. */
  boolean sent() {
    return sent;
  }

  /** Records that a command with this start is sent to the worker. */
  void markSent() {
    sent = true;
  }
}
