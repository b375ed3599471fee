package mallowstall.core;

import mallowstall.Constants;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
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
  /** The owner's mirror lags: worth another try soon. */
  static final String NOT_KNOWN = "job not known here yet";

  private final Core core;
  private final Store store;
  private final OwnedMachines machines;

  StartVetting(Core core, Store store, OwnedMachines machines) {
    this.core = core;
    this.store = store;
    this.machines = machines;
  }

  /** Why the start is not possible; null: it is. */
  String refusal(Starts starts, StartOrder start) {
    OwnedMachine machine = machines.get(start.machine());
    if (machine == null || machine.version > store.revision()) {
      return "not the owner";
    }
    if (!core.mayKeepAlive()) {
      return "cut off";
    }
    JobRec job = store.job(start.job());
    if (job == null) {
      return NOT_KNOWN;
    }
    if (core.isOver(start.job(), job)) {
      return "job is over";
    }
    if (start.epoch() < job.epoch()) {
      return "older epoch";
    }
    if (!store.live(starts.node(), starts.incarnation())) {
      return "holder's session is gone";
    }
    if (core.wall() > start.expiryWallMs()) {
      return "expired";
    }
    JobSpec spec = job.spec();
    if (core.isRecordedDone(job, start.task())) {
      return "done already";
    }
    if (!OwnedMachines.allowed(spec, machine.type.name(), machine.zone, machine.spot)) {
      return "machine not allowed";
    }
    if (!machine.confirmed) {
      return "machine doesn't show that it hears";
    }
    if (!machines.usable(machine) || machine.drainUntil > core.now()) {
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
