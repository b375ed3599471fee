package mallowstall.core.placement;

import mallowstall.core.cluster.KeptResults;
import mallowstall.core.jobs.LedJob;

/**
 * Which pending tasks of a job a machine can serve: all of a batch job, and of a service those
 * replicas whose result the machine doesn't keep. Placement, preemption and relocation all ask
 * here, so that they agree.
 */
public final class ReplicaEligibility {
  private final KeptResults keptResults;

  /** Asks what the cluster view has learned of results that are kept. */
  public ReplicaEligibility(KeptResults keptResults) {
    this.keptResults = keptResults;
  }

  /** Whether the machine can serve the task. */
  boolean canServe(LedJob ledJob, int task, String machine) {
    return !ledJob.spec().isService() || !keptResults.keepsResult(machine, ledJob.id(), task);
  }

  /** Of so many pending tasks, how many the machine can serve. */
  int servableTasks(LedJob ledJob, int pendingTasks, String machine) {
    if (!ledJob.spec().isService()) {
      return pendingTasks;
    }
    int servable = pendingTasks;
    for (int replica : keptResults.replicasWithResult(machine, ledJob.id())) {
      if (ledJob.isPending(replica)) {
        servable--;
      }
    }
    return Math.max(0, servable);
  }

  /** The next pending task of the job that the machine can serve; -1: none. */
  int pollTask(LedJob ledJob, String machine) {
    return ledJob.pollTask(task -> canServe(ledJob, task, machine));
  }
}
