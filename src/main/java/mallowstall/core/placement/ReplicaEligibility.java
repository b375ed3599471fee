package mallowstall.core.placement;

import mallowstall.core.cluster.KeptResults;
import mallowstall.core.jobs.LedJob;

/**
 * Determines which pending tasks of a job a machine can serve: all tasks of a batch job, and, of a
 * service, the replicas whose result the machine does not keep. Placement, preemption and
 * relocation use this class so that their decisions agree.
 */
public final class ReplicaEligibility {
  private final KeptResults keptResults;

  /** Creates a check against the kept results that the cluster view has recorded. */
  public ReplicaEligibility(KeptResults keptResults) {
    this.keptResults = keptResults;
  }

  /** Returns whether the machine can serve the task. */
  boolean canServe(LedJob ledJob, int task, String machine) {
    return !ledJob.spec().isService() || !keptResults.keepsResult(machine, ledJob.id(), task);
  }

  /** Returns how many of the given number of pending tasks the machine can serve. */
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

  /** Takes the next pending task that the machine can serve; returns -1 if there is none. */
  int pollTask(LedJob ledJob, String machine) {
    return ledJob.pollTask(task -> canServe(ledJob, task, machine));
  }
}
