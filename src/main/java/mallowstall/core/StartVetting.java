package mallowstall.core;

import mallowstall.Constants;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.Refusal;
import mallowstall.core.Model.StartOrder;
import mallowstall.core.Model.Starts;
import mallowstall.core.Model.TaskRef;
import mallowstall.core.Model.TaskReport;
import mallowstall.core.Model.TaskState;

/**
 * Judges starts from holders by what is on the machine, its room, and what the mirror says of the
 * job (the design's vetting by the owner).
 */
final class StartVetting {
  private final EventClock clock;
  private final JobEntries jobEntries;
  private final Connectivity connectivity;
  private final Cancellations cancellations;
  private final Store store;
  private final OwnedMachines machines;

  StartVetting(
      EventClock clock,
      Store store,
      JobEntries jobEntries,
      Connectivity connectivity,
      Cancellations cancellations,
      OwnedMachines machines) {
    this.clock = clock;
    this.jobEntries = jobEntries;
    this.connectivity = connectivity;
    this.cancellations = cancellations;
    this.store = store;
    this.machines = machines;
  }

  /** Why the start is not possible; null: it is. */
  String refusal(Starts starts, StartOrder start) {
    OwnedMachine machine = machines.get(start.machine());
    if (machine == null || machine.version > store.revision()) {
      return "not the owner";
    }
    if (!connectivity.mayKeepAlive()) {
      return "cut off";
    }
    JobRec job = store.job(start.job());
    if (job == null) {
      return Refusal.JOB_NOT_KNOWN;
    }
    if (cancellations.isOver(start.job(), job)) {
      return "job is over";
    }
    if (start.epoch() < job.epoch()) {
      return "older epoch";
    }
    if (!store.live(starts.node(), starts.incarnation())) {
      return "holder's session is gone";
    }
    if (clock.wallClock() > start.expiryWallMs()) {
      return "expired";
    }
    JobSpec spec = job.spec();
    if (jobEntries.recorded(job, start.task())) {
      return "done already";
    }
    if (!spec.allowsMachine(machine.type.name(), machine.zone, machine.spot)) {
      return "machine not allowed";
    }
    if (!machine.confirmed) {
      return "machine doesn't show that it hears";
    }
    if (!machines.usable(machine) || machine.drainUntil > clock.now()) {
      return "machine set aside";
    }
    TaskKey key = new TaskKey(start.job(), start.task());
    if (machine.holds(key)) {
      return "task is here already";
    }
    return fits(machine, start, spec) ? null : "no room";
  }

  /** Whether the task has room once those that it replaces are gone. */
  private boolean fits(OwnedMachine machine, StartOrder start, JobSpec spec) {
    double[] free = machines.free(machine);
    for (TaskRef ref : start.instead()) {
      TaskAttempt attempt = TaskAttempt.of(ref);
      TaskReport replaced = machine.tasks.get(attempt);
      JobRec other = store.job(ref.job());
      boolean gone = replaced == null || replaced.state() == TaskState.EXITED || other == null;
      // what is replaced already counts as free room, and only once
      if (!gone && !machine.replaced.contains(attempt)) {
        OwnedMachines.minus(free, other.spec(), -1);
      }
    }
    return spec.cpus() <= free[0] + Constants.ROUNDING
        && spec.gpus() <= free[1] + Constants.ROUNDING
        && spec.memoryGb() <= free[2] + Constants.ROUNDING;
  }
}
