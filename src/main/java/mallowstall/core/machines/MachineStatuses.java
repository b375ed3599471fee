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

/** Finds the machines whose status differs from the status last published for them. */
public final class MachineStatuses {
  private final EventClock clock;
  private final ManagedMachines machines;

  /** Creates a comparison of the given machines with their last published status. */
  public MachineStatuses(EventClock clock, ManagedMachines machines) {
    this.clock = clock;
    this.machines = machines;
  }

  /**
   * Returns the machines whose status has changed or is due for a refresh, and records the new
   * status of each as published in the given update.
   */
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

  /** Returns whether the status differs from the published one merely because time has passed. */
  private boolean changedByTime(ManagedMachine machine, long now) {
    MachineStatus published = machine.published().status();
    return machines.usable(machine) != published.usable()
        || machines.unresponsive(machine) != published.unresponsive()
        || machine.draining(now) != published.draining();
  }

  /**
   * Returns the ids of machines whose status differs from the published one although they are not
   * marked as changed. The list must be empty: otherwise a job leader could treat a start as one
   * that never arrived. Only tests call this method; it is slow since it computes every status.
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
        machine.health().faulty(),
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

  /**
   * Returns the reported tasks, followed by the reservations, whose state and exit reason are null.
   */
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

  /**
   * Returns the time in seconds until the cloud takes the machine, or -1, as in messages to peers,
   * if the cloud has not announced an interruption.
   */
  private static double interruptionNoticeSeconds(ManagedMachine machine, long now) {
    return machine.terminationAnnounced()
        ? Math.max(0, (machine.terminationDeadlineMs() - now) / 1000.0)
        : -1;
  }

  /**
   * Returns the time in milliseconds for which the machine has been idle, or without a heartbeat if
   * it is unresponsive or its lease has expired; 0 if it has tasks or reservations.
   */
  private long idleMs(ManagedMachine machine, long now) {
    if (machine.leaseExpired() || machines.unresponsive(machine)) {
      return Math.max(1, now - machine.lastHeartbeatMs());
    }
    MachineTasks tasks = machine.tasks();
    return tasks.isEmpty() ? Math.max(1, now - tasks.idleSinceMs()) : 0;
  }
}
