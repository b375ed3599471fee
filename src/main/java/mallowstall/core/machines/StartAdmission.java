package mallowstall.core.machines;

import mallowstall.Constants;
import mallowstall.core.cluster.CancellationExchange;
import mallowstall.core.cluster.Connectivity;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.JobBitmaps;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.StartBatch;
import mallowstall.core.model.StartRejection;
import mallowstall.core.model.StartRequest;
import mallowstall.core.model.TaskAttempt;
import mallowstall.core.model.TaskKey;
import mallowstall.core.model.TaskReport;
import mallowstall.core.model.TaskState;

/**
 * Judges starts from holders by what is on the machine, its room, and what the mirror says of the
 * job (the design's vetting by the owner).
 */
public final class StartAdmission {
  private final EventClock clock;
  private final JobBitmaps jobBitmaps;
  private final Connectivity connectivity;
  private final CancellationExchange cancellations;
  private final StateStore store;
  private final ManagedMachines machines;

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public StartAdmission(
      EventClock clock,
      StateStore store,
      JobBitmaps jobBitmaps,
      Connectivity connectivity,
      CancellationExchange cancellations,
      ManagedMachines machines) {
    this.clock = clock;
    this.jobBitmaps = jobBitmaps;
    this.connectivity = connectivity;
    this.cancellations = cancellations;
    this.store = store;
    this.machines = machines;
  }

  /** Why the start is not possible; null: it is. */
  String rejectionReason(StartBatch startBatch, StartRequest start) {
    ManagedMachine machine = machines.get(start.machine());
    if (machine == null || machine.modRevision() > store.revision()) {
      return "not the owner";
    }
    if (!connectivity.mayRenewWorkerLeases()) {
      return "cut off";
    }
    JobEntry job = store.job(start.job());
    if (job == null) {
      return StartRejection.JOB_NOT_KNOWN;
    }
    if (cancellations.isOver(start.job(), job)) {
      return "job is over";
    }
    if (start.leaderEpoch() < job.epoch()) {
      return "older epoch";
    }
    if (!store.isLive(startBatch.node(), startBatch.incarnation())) {
      return "holder's session is gone";
    }
    if (clock.wallClockMs() > start.expiryWallMs()) {
      return "expired";
    }
    JobSpec spec = job.spec();
    if (jobBitmaps.isRecordedCompleted(job, start.task())) {
      return "done already";
    }
    if (!spec.allowsMachine(machine.type().name(), machine.zone(), machine.spot())) {
      return "machine not allowed";
    }
    if (!machine.tokenAcknowledged()) {
      return "machine doesn't show that it hears";
    }
    if (!machines.usable(machine) || machine.drainUntilMs() > clock.now()) {
      return "machine set aside";
    }
    TaskKey key = new TaskKey(start.job(), start.task());
    if (machine.hasTask(key)) {
      return "task is here already";
    }
    return fits(machine, start, spec) ? null : "no room";
  }

  /** Whether the task has room once those that it replaces are gone. */
  private boolean fits(ManagedMachine machine, StartRequest start, JobSpec spec) {
    double[] free = machines.freeResources(machine);
    for (TaskAttempt attempt : start.victims()) {
      TaskReport victim = machine.tasks().get(attempt);
      JobEntry victimJob = store.job(attempt.job());
      boolean freed = victim == null || victim.state() == TaskState.EXITED || victimJob == null;
      // what is replaced already counts as free room, and only once
      if (!freed && !machine.preempted().contains(attempt)) {
        ManagedMachines.subtract(free, victimJob.spec(), -1);
      }
    }
    return spec.cpus() <= free[0] + Constants.AMOUNT_EPSILON
        && spec.gpus() <= free[1] + Constants.AMOUNT_EPSILON
        && spec.memoryGb() <= free[2] + Constants.AMOUNT_EPSILON;
  }
}
