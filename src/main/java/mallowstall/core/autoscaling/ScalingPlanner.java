package mallowstall.core.autoscaling;

import java.util.List;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.TaskStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Plans which machines are requested and returned, by machine type, and for jobs that no machine in
 * service can serve.
 */
public final class ScalingPlanner {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.autoscaling");

  private final StateStore store;
  private final MachineTypeCatalog types;
  private final RegisteredMachines registeredMachines;
  private final UnregisteredMachines unregisteredMachines;
  private final UnplaceableScaleOut unplaceableScaleOut;
  private final TypePlanner typePlanner;
  private final ScaleIn scaleIn;

  /** Creates a planner for the autoscaler leader. */
  public ScalingPlanner(
      StateStore store,
      MachineTypeCatalog types,
      RegisteredMachines registeredMachines,
      UnregisteredMachines unregisteredMachines,
      UnplaceableScaleOut unplaceableScaleOut,
      TypePlanner typePlanner,
      ScaleIn scaleIn) {
    this.store = store;
    this.types = types;
    this.registeredMachines = registeredMachines;
    this.unregisteredMachines = unregisteredMachines;
    this.unplaceableScaleOut = unplaceableScaleOut;
    this.typePlanner = typePlanner;
    this.scaleIn = scaleIn;
  }

  /** Called when this controller becomes the autoscaler leader, before its first plan. */
  void startLeadership(long now) {
    unplaceableScaleOut.startLeadership(now);
  }

  /** Counts the machines, plans each type, and returns lost, failed and faulty machines. */
  void plan(long now) {
    MachineCensus census = new MachineCensus();
    registeredMachines.count(census, now);
    scaleIn.expireReturned(now);
    scaleIn.deleteLateEntries(census.lateEntries());
    if (LOG.isDebugEnabled()) {
      logUtilization(census.available());
    }
    unregisteredMachines.count(census, now);
    unplaceableScaleOut.plan(census, now);
    for (String type : types.names()) {
      typePlanner.plan(type, census, now);
    }
    List<String> toReturn = scaleIn.withoutReturned(census.toReturn());
    if (!toReturn.isEmpty()) {
      scaleIn.returnMachines(toReturn, ScaleIn.Reason.LOST_OR_FAULTY);
    }
  }

  /** Logs what the processors of the machines are used for, to explain why jobs wait. */
  private void logUtilization(List<MachineView> available) {
    double runningCpus = 0;
    double fetchingCpus = 0;
    double reservedCpus = 0;
    double freeCpus = 0;
    for (MachineView machine : available) {
      freeCpus += machine.status().freeCpus();
      for (TaskStatus task : machine.status().tasks()) {
        JobEntry job = store.job(task.job());
        if (job == null || task.state() == TaskState.EXITED) {
          continue;
        }
        if (task.state() == null) {
          reservedCpus += job.spec().cpus();
        } else if (task.state() == TaskState.FETCHING) {
          fetchingCpus += job.spec().cpus();
        } else {
          runningCpus += job.spec().cpus();
        }
      }
    }
    LOG.debug(
        "machine utilization machines={} runningCpus={} fetchingCpus={} reservedCpus={} freeCpus={}",
        available.size(),
        runningCpus,
        fetchingCpus,
        reservedCpus,
        freeCpus);
  }
}
