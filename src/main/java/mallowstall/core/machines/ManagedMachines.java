package mallowstall.core.machines;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.ExitReason;
import mallowstall.core.model.FreeCapacity;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.TaskAttempt;
import mallowstall.core.model.TaskReport;
import mallowstall.core.model.TaskState;

/**
 * The machines that this controller leads, in the order in which it became their leader. Mutable.
 */
public final class ManagedMachines {
  /** Size in bytes of one machine's free capacity in a digest, if the machine's name is long. */
  private static final int FREE_CAPACITY_BYTES = 80;

  /**
   * Minimum time in milliseconds without a heartbeat after which a machine is unresponsive and gets
   * no new tasks.
   */
  static final long UNRESPONSIVE_AFTER_MS = 3_500;

  private final EventClock clock;
  private final CoreSettings settings;
  private final ClusterView view;
  private final StateStore store;
  private final Map<String, ManagedMachine> machines = new LinkedHashMap<>();

  /** Creates an empty collection. */
  public ManagedMachines(
      EventClock clock, CoreSettings settings, StateStore store, ClusterView view) {
    this.clock = clock;
    this.settings = settings;
    this.view = view;
    this.store = store;
  }

  /** Returns the machine, or null if this controller doesn't lead it. */
  ManagedMachine get(String id) {
    return machines.get(id);
  }

  /** Returns whether this controller leads the machine. */
  boolean contains(String id) {
    return machines.containsKey(id);
  }

  /**
   * Returns whether this object represents the machine's current leadership, not an earlier one.
   */
  boolean isCurrent(ManagedMachine machine) {
    return machines.get(machine.id()) == machine;
  }

  /** Returns all machines, in the order in which their ids were first added; a live view. */
  Collection<ManagedMachine> all() {
    return machines.values();
  }

  /**
   * Adds a machine whose leadership was written to its entry at the given revision, which is also
   * its fencing token. Replaces an earlier leadership of the machine.
   */
  ManagedMachine add(String id, MachineType type, String zone, boolean spot, long revision) {
    ManagedMachine machine = new ManagedMachine(id, type, zone, spot, revision, clock.now());
    // Heartbeats don't list images, so those published by the previous leader are kept.
    MachineView machineView = view.machine(id);
    if (machineView != null && machineView.status() != null) {
      machine.images().addAll(machineView.status().images());
    }
    machines.put(id, machine);
    return machine;
  }

  /** Removes the machine; returns false if this controller didn't lead it. */
  boolean remove(String id) {
    return machines.remove(id) != null;
  }

  /**
   * Returns whether the task restarts after this exit. The exit of a task that restarts is recorded
   * in status updates only.
   */
  boolean restartsAfterExit(TaskReport task) {
    if (task.exitReason() != ExitReason.DONE) {
      return true;
    }
    JobEntry job = store.job(task.job());
    return job != null && job.spec().isService();
  }

  /**
   * Returns whether the machine may get tasks: its worker's lease is being renewed, and the machine
   * is neither unresponsive, quarantined, faulty nor about to be taken by the cloud.
   */
  boolean usable(ManagedMachine machine) {
    long now = clock.now();
    return !machine.leaseExpired()
        && !machine.health().faulty()
        && !machine.terminationAnnounced()
        && !machine.health().quarantined(now)
        && !unresponsive(machine)
        && now - machine.lastResponseMs() <= unresponsiveAfterMs();
  }

  private long unresponsiveAfterMs() {
    return Math.max(UNRESPONSIVE_AFTER_MS, settings.heartbeatIntervalMs() * 2);
  }

  /** Returns whether the last heartbeat is so old that the machine gets no tasks. */
  boolean unresponsive(ManagedMachine machine) {
    return clock.now() - machine.lastHeartbeatMs() > unresponsiveAfterMs();
  }

  /**
   * Returns the resources that neither tasks nor reservations use. Victims of accepted starts count
   * as ended.
   */
  FreeResources freeResources(ManagedMachine machine) {
    FreeResources free = new FreeResources(machine.type());
    for (TaskReport task : machine.tasks().reports()) {
      if (task.state() == TaskState.EXITED) {
        continue;
      }
      if (machine.tasks().isPreempted(TaskAttempt.of(task))) {
        continue;
      }
      JobEntry job = store.job(task.job());
      if (job != null) {
        free.allocate(job.spec());
      }
    }
    for (Reservation reservation : machine.tasks().reservations()) {
      free.allocate(reservation.spec());
    }
    return free;
  }

  /**
   * Returns the free capacities of the usable machines, or only those with the most free CPUs if
   * not all of them fit into one value of the state service.
   */
  public List<FreeCapacity> freeCapacities() {
    List<FreeCapacity> capacities = new ArrayList<>();
    for (ManagedMachine machine : machines.values()) {
      if (!usable(machine)) {
        continue;
      }
      FreeResources free = freeResources(machine);
      capacities.add(new FreeCapacity(machine.id(), free.cpus(), free.gpus(), free.memoryGb()));
    }
    int limit = Math.max(1, settings.maxValueBytes() / FREE_CAPACITY_BYTES - 2);
    if (capacities.size() <= limit) {
      return capacities;
    }
    capacities.sort(Comparator.comparingDouble(FreeCapacity::freeCpus).reversed());
    return capacities.subList(0, limit);
  }
}
