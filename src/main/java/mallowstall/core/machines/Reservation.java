package mallowstall.core.machines;

import mallowstall.core.model.JobSpec;
import mallowstall.core.model.StartRequest;
import mallowstall.core.model.TaskAttempt;
import mallowstall.core.model.TaskKey;

/** Capacity set aside for an accepted start that no heartbeat has listed yet. Mutable. */
final class Reservation {
  private final StartRequest request;
  private final JobSpec spec;
  private boolean sent;

  Reservation(StartRequest request, JobSpec spec) {
    this.request = request;
    this.spec = spec;
  }

  /** The accepted request. */
  StartRequest request() {
    return request;
  }

  /** The job's specification, which says how much capacity is set aside. */
  JobSpec spec() {
    return spec;
  }

  /** The task that is to be started. */
  TaskKey key() {
    return new TaskKey(request.job(), request.task());
  }

  /** The attempt that is to be started. */
  TaskAttempt attempt() {
    return new TaskAttempt(request.job(), request.task(), request.attempt());
  }

  /** Whether a command with this start has left for the worker. */
  boolean sent() {
    return sent;
  }

  /** A command with this start leaves for the worker. */
  void markSent() {
    sent = true;
  }
}
