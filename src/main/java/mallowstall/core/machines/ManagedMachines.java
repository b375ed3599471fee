package mallowstall.core.machines;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mallowstall.Constants;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.StateStore;
import mallowstall.core.machines.ManagedMachine.Reservation;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.ExitReason;
import mallowstall.core.model.FreeCapacity;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.TaskAttempt;
import mallowstall.core.model.TaskReport;
import mallowstall.core.model.TaskState;

/** The machines that this controller owns, and what follows from what they report. Mutable. */
public final class ManagedMachines {
  private final EventClock clock;
  private final CoreSettings settings;
  private final ClusterView view;
  private final StateStore store;
  private final Map<String, ManagedMachine> machines = new LinkedHashMap<>();

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public ManagedMachines(
      EventClock clock, CoreSettings settings, StateStore store, ClusterView view) {
    this.clock = clock;
    this.settings = settings;
    this.view = view;
    this.store = store;
  }

  /** The machine, if this controller owns it; else null. */
  ManagedMachine get(String id) {
    return machines.get(id);
  }

  boolean contains(String id) {
    return machines.containsKey(id);
  }

  /** Whether it is still the one that this controller owns under that name. */
  boolean isCurrent(ManagedMachine machine) {
    return machines.get(machine.id()) == machine;
  }

  Collection<ManagedMachine> all() {
    return machines.values();
  }

  /** This controller's from the change of that revision on, which is its term too. */
  ManagedMachine add(String id, MachineType type, String zone, boolean spot, long revision) {
    ManagedMachine machine = new ManagedMachine(id, type, zone, spot, revision, revision);
    machine.setIdleSinceMs(clock.now());
    // reports don't name images: without what its last owner told of them, tasks were sent to
    // machines that had to fetch theirs, each time that machines changed owner
    MachineView machineView = view.machine(id);
    if (machineView != null && machineView.status() != null) {
      machine.cachedImages().addAll(machineView.status().images());
    }
    machines.put(id, machine);
    return machine;
  }

  /** Whether the machine was owned until now. */
  boolean remove(String id) {
    return machines.remove(id) != null;
  }

  /** Whether the task runs again after this end, whose only trace is what statements tell of it. */
  boolean restartsAfterExit(TaskReport task) {
    if (task.exitReason() != ExitReason.DONE) {
      return true;
    }
    JobEntry job = store.job(task.job());
    return job != null && job.spec().isService();
  }

  /** A machine whose reports come to nobody answers commands, but loses its tasks each lease. */
  boolean usable(ManagedMachine machine) {
    long now = clock.now();
    return !machine.leaseExpired()
        && !machine.faulty()
        && machine.terminationDeadlineMs() == Long.MAX_VALUE
        && machine.quarantineUntilMs() <= now
        && !unresponsive(machine)
        && now - machine.lastResponseMs() <= unresponsiveAfterMs();
  }

  private long unresponsiveAfterMs() {
    return Math.max(Constants.UNRESPONSIVE_AFTER_MS, settings.heartbeatIntervalMs() * 2);
  }

  /** Whether the machine hasn't been heard for so long that it gets no tasks. */
  boolean unresponsive(ManagedMachine machine) {
    return clock.now() - machine.lastHeartbeatMs() > unresponsiveAfterMs();
  }

  /** Processors, GPUs and memory that nothing on the machine and no accepted start takes. */
  double[] freeResources(ManagedMachine machine) {
    double[] free = {machine.type().cpus(), machine.type().gpus(), machine.type().memoryGb()};
    for (TaskReport task : machine.tasks().values()) {
      if (task.state() == TaskState.EXITED) {
        continue;
      }
      if (machine.preempted().contains(TaskAttempt.of(task))) {
        continue;
      }
      JobEntry job = store.job(task.job());
      if (job != null) {
        subtract(free, job.spec(), 1);
      }
    }
    for (Reservation reservation : machine.reservations().values()) {
      subtract(free, reservation.spec, 1);
    }
    return free;
  }

  /** Takes the room of so many tasks of the job away. */
  static void subtract(double[] free, JobSpec spec, int times) {
    free[0] -= times * spec.cpus();
    free[1] -= times * spec.gpus();
    free[2] -= times * spec.memoryGb();
  }

  /** The roomiest machines, as many as fit into one value of the state service. */
  public List<FreeCapacity> freeCapacities() {
    List<FreeCapacity> capacities = new ArrayList<>();
    for (ManagedMachine machine : machines.values()) {
      if (!usable(machine)) {
        continue;
      }
      double[] free = freeResources(machine);
      capacities.add(new FreeCapacity(machine.id(), free[0], free[1], free[2]));
    }
    // two hundred machines once made a value that the state service refused
    int limit = Math.max(1, settings.maxValueBytes() / Constants.FREE_CAPACITY_BYTES - 2);
    if (capacities.size() <= limit) {
      return capacities;
    }
    capacities.sort(Comparator.comparingDouble(FreeCapacity::freeCpus).reversed());
    return capacities.subList(0, limit);
  }
}
