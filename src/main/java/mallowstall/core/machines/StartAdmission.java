package mallowstall.core.machines;

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
 * Decides whether starts that job leaders request are admitted, based on the tasks on the machine,
 * its free resources and the job's entry in the state replica (docs/design.md).
 */
public final class StartAdmission {
  private final EventClock clock;
  private final JobBitmaps jobBitmaps;
  private final Connectivity connectivity;
  private final CancellationExchange cancellations;
  private final StateStore store;
  private final ManagedMachines machines;

  /** Creates an admission check for starts on the given machines. */
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

  /**
   * Returns the reason for which the start is rejected, or null if it is admitted. The reason is
   * sent to peers, so its text is part of the protocol between controllers.
   */
  String rejectionReason(StartBatch startBatch, StartRequest start) {
    ManagedMachine machine = machines.get(start.machine());
    if (machine == null || machine.fencingToken() > store.revision()) {
      return "not the owner";
    }
    if (!connectivity.mayRenewWorkerLeases()) {
      return "cut off";
    }
    JobEntry job = store.job(start.job());
    if (job == null) {
      return StartRejection.JOB_NOT_KNOWN;
    }
    String reason = obsoleteReason(startBatch, start, job);
    return reason != null ? reason : machineReason(machine, start, job.spec());
  }

  /** Returns the reason for which the request itself is obsolete, or null if it is current. */
  private String obsoleteReason(StartBatch startBatch, StartRequest start, JobEntry job) {
    if (cancellations.hasEnded(start.job(), job)) {
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
    return jobBitmaps.isRecordedCompleted(job, start.task()) ? "done already" : null;
  }

  /** Returns the reason for which the machine can't run the task, or null if it can. */
  private String machineReason(ManagedMachine machine, StartRequest start, JobSpec spec) {
    if (!spec.allowsMachine(machine.type().name(), machine.zone(), machine.spot())) {
      return "machine not allowed";
    }
    if (!machine.tokenAcknowledged()) {
      return "machine doesn't show that it hears";
    }
    if (!machines.usable(machine) || machine.draining(clock.now())) {
      return "machine set aside";
    }
    TaskKey key = new TaskKey(start.job(), start.task());
    if (machine.tasks().hasTask(key)) {
      return "task is here already";
    }
    return fits(machine, start, spec) ? null : "no room";
  }

  /** Returns whether the task fits on the machine once the start's victims have ended. */
  private boolean fits(ManagedMachine machine, StartRequest start, JobSpec spec) {
    FreeResources free = machines.freeResources(machine);
    for (TaskAttempt attempt : start.victims()) {
      TaskReport victim = machine.tasks().report(attempt);
      JobEntry victimJob = store.job(attempt.job());
      boolean freed = victim == null || victim.state() == TaskState.EXITED || victimJob == null;
      // The resources of a victim that is marked as preempted already count as free.
      if (!freed && !machine.tasks().isPreempted(attempt)) {
        free.release(victimJob.spec());
      }
    }
    return free.fits(spec);
  }
}
