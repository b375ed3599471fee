package mallowstall.core.autoscaling;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mallowstall.core.autoscaling.CapacityIndex.Amounts;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.TaskStatus;

/**
 * Estimates whether machines in service will have capacity for a job before a new machine would.
 * The run times are the users' estimates, so that callers must limit the time for which they rely
 * on them. Mutable; used by one scaling plan only.
 */
final class ExpectedReleases {
  /** Fraction of its run time that a running task has left on average. */
  private static final double REMAINING_RUN_FRACTION = 0.5;

  private final StateStore store;
  private final MachineTypeCatalog types;
  private final List<MachineView> available;

  /** The capacity expected when a new machine of the type would be ready, by that type. */
  private final Map<String, CapacityIndex> expectedByType = new HashMap<>();

  /** Creates an estimate for these machines, which is computed when it is first needed. */
  ExpectedReleases(StateStore store, MachineTypeCatalog types, List<MachineView> available) {
    this.store = store;
    this.types = types;
    this.available = available;
  }

  /**
   * Returns the time in seconds after which a new machine of the type takes its first task, but at
   * least the run time of a short task.
   */
  static double newMachineS(MachineType type) {
    return Math.max(MachineDemand.SHORT_RUN_MIN_S, type.bootS());
  }

  /**
   * Returns whether a machine in these zones is expected to have capacity for a task of the job
   * before a new machine of the type would.
   */
  boolean willFit(JobSpec job, Collection<String> zones, MachineType newMachine) {
    return !expectedByType
        .computeIfAbsent(newMachine.name(), k -> expectedWithin(newMachineS(newMachine)))
        .machinesHolding(job, zones, 1)
        .isEmpty();
  }

  private CapacityIndex expectedWithin(double withinS) {
    CapacityIndex expected = new CapacityIndex();
    for (MachineView machine : available) {
      if (machine.isSchedulable()) {
        expected.add(machine, expectedAmounts(machine, withinS));
      }
    }
    return expected;
  }

  private Amounts expectedAmounts(MachineView machine, double withinS) {
    double cpus = machine.status().freeCpus();
    double gpus = machine.status().freeGpus();
    double memoryGb = machine.status().freeMemoryGb();
    MachineType type = types.find(machine.status().type());
    for (TaskStatus task : machine.status().tasks()) {
      JobEntry job = task.state() == TaskState.EXITED ? null : store.job(task.job());
      if (job == null || remainingS(job.spec(), task.state(), type) > withinS) {
        continue;
      }
      cpus += job.spec().cpus();
      gpus += job.spec().gpus();
      memoryGb += job.spec().memoryGb();
    }
    return new Amounts(cpus, gpus, memoryGb);
  }

  /** Returns the time in seconds that the task is expected to stay on its machine. */
  private static double remainingS(JobSpec job, TaskState state, MachineType type) {
    if (job.isService()) {
      return Double.MAX_VALUE;
    }
    double runS = job.estimatedRunS() * MachineDemand.ESTIMATE_FACTOR;
    boolean running = state != null && state != TaskState.FETCHING;
    if (running || type == null) {
      return runS * REMAINING_RUN_FRACTION;
    }
    return runS + MachineDemand.fetchS(job, type);
  }
}
