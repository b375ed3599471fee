package mallowstall.core.machines;

import java.util.ArrayList;
import java.util.List;
import mallowstall.Constants;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.model.MachineStatus;
import mallowstall.core.model.StartRequest;
import mallowstall.core.model.TaskAttempt;
import mallowstall.core.model.TaskReport;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.TaskStatus;

/** Finds the machines whose status has changed since it was last published. */
public final class MachineStatuses {
  private final EventClock clock;
  private final ManagedMachines machines;

  /** Compares the machines with what was published of them. */
  public MachineStatuses(EventClock clock, ManagedMachines machines) {
    this.clock = clock;
    this.machines = machines;
  }

  /** Records the new status of each machine that changed, and returns these machines. */
  List<ManagedMachine> publishChanges(long updateNumber, long now) {
    List<ManagedMachine> changed = new ArrayList<>();
    for (ManagedMachine machine : machines.all()) {
      PublishedStatus published = machine.published();
      boolean publishedRecently =
          published.status() != null
              && now - published.publishedMs() < Constants.MACHINE_STATUS_REFRESH_MS;
      if (publishedRecently && !published.changed() && !changedByTime(machine, now)) {
        continue;
      }
      published.clearChanged();
      MachineStatus status = statusOf(machine, now);
      if (publishedRecently && status.sameIgnoringElapsedTime(published.status())) {
        continue;
      }
      published.publish(status, updateNumber, now);
      changed.add(machine);
      for (TaskReport task : machine.tasks().reports()) {
        if (task.state() == TaskState.EXITED && machines.restartsAfterExit(task)) {
          published.recordExit(TaskAttempt.of(task));
        }
      }
    }
    return changed;
  }

  /** Whether the status differs from the published one by the passing of time alone. */
  private boolean changedByTime(ManagedMachine machine, long now) {
    MachineStatus published = machine.published().status();
    return machines.usable(machine) != published.usable()
        || machines.unresponsive(machine) != published.unresponsive()
        || machine.draining(now) != published.draining();
  }

  /**
   * Names of machines whose status differs from the published one although nothing marks them as
   * changed. There must be none, or job leaders could take a start for one that never arrived; for
   * tests, which compare with the slow way of publishing everything each time.
   */
  public List<String> unpublishedChanges() {
    List<String> machineIds = new ArrayList<>();
    long now = clock.now();
    for (ManagedMachine machine : machines.all()) {
      PublishedStatus published = machine.published();
      if (published.status() == null || published.changed() || changedByTime(machine, now)) {
        continue;
      }
      if (!statusOf(machine, now).sameIgnoringElapsedTime(published.status())) {
        machineIds.add(machine.id());
      }
    }
    return machineIds;
  }

  private MachineStatus statusOf(ManagedMachine machine, long now) {
    List<TaskStatus> taskStatuses = taskStatuses(machine.tasks());
    FreeResources free = machines.freeResources(machine);
    return new MachineStatus(
        machine.id(),
        machine.address(),
        machine.fencingToken(),
        machine.fencingToken(),
        machine.workerSession(),
        machine.latestHeartbeatSequence(),
        machine.tokenAcknowledged(),
        machines.usable(machine),
        machine.draining(now),
        machine.faulty(),
        machines.unresponsive(machine),
        machine.leaseExpired(),
        machine.type().name(),
        machine.zone(),
        machine.spot(),
        interruptionNoticeSeconds(machine, now),
        free.cpus(),
        free.gpus(),
        free.memoryGb(),
        idleMs(machine, now),
        machine.images().toList(),
        taskStatuses);
  }

  /** Listed tasks, then accepted starts, which have neither state nor exit reason. */
  private static List<TaskStatus> taskStatuses(MachineTasks tasks) {
    List<TaskStatus> statuses = new ArrayList<>(tasks.reportCount() + tasks.reservations().size());
    for (TaskReport task : tasks.reports()) {
      statuses.add(
          new TaskStatus(task.job(), task.task(), task.attempt(), task.state(), task.exitReason()));
    }
    for (Reservation reservation : tasks.reservations()) {
      StartRequest start = reservation.request();
      statuses.add(new TaskStatus(start.job(), start.task(), start.attempt(), null, null));
    }
    return statuses;
  }

  /** Seconds until the cloud takes the machine; -1, as on the wire: not announced. */
  private static double interruptionNoticeSeconds(ManagedMachine machine, long now) {
    return machine.terminationAnnounced()
        ? Math.max(0, (machine.terminationDeadlineMs() - now) / 1000.0)
        : -1;
  }

  /** How long the machine has been idle, or unresponsive; 0: it has work. */
  private long idleMs(ManagedMachine machine, long now) {
    if (machine.leaseExpired() || machines.unresponsive(machine)) {
      return Math.max(1, now - machine.lastHeartbeatMs());
    }
    MachineTasks tasks = machine.tasks();
    return tasks.isEmpty() ? Math.max(1, now - tasks.idleSinceMs()) : 0;
  }
}
