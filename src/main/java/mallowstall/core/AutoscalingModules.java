package mallowstall.core;

import mallowstall.Constants;
import mallowstall.core.autoscaling.Autoscaler;
import mallowstall.core.autoscaling.AutoscalerLeadership;
import mallowstall.core.autoscaling.CloudInventory;
import mallowstall.core.autoscaling.IdleScaleIn;
import mallowstall.core.autoscaling.MachineDemand;
import mallowstall.core.autoscaling.PendingMachines;
import mallowstall.core.autoscaling.RegisteredMachines;
import mallowstall.core.autoscaling.ScaleIn;
import mallowstall.core.autoscaling.ScaleOut;
import mallowstall.core.autoscaling.ScaleOutRequests;
import mallowstall.core.autoscaling.ScalingPlanner;
import mallowstall.core.autoscaling.TypePlanner;
import mallowstall.core.autoscaling.UnplaceableJobs;
import mallowstall.core.autoscaling.UnplaceableScaleOut;
import mallowstall.core.autoscaling.UnregisteredMachines;
import mallowstall.core.kernel.TokenBucket;

/**
 * The modules that request and return machines according to demand. Used on the event loop only.
 */
final class AutoscalingModules {
  final MachineDemand machineDemand;
  final Autoscaler autoscaler;

  private final ClusterModules cluster;

  /** Builds the modules and subscribes the machine demand to changes of the machine types. */
  AutoscalingModules(ClusterModules cluster) {
    this.cluster = cluster;
    machineDemand =
        new MachineDemand(
            cluster.clock,
            cluster.settings,
            cluster.view,
            cluster.machineTypes,
            cluster.jobsNeedingLeader);
    cluster.machineTypes.subscribe(machineDemand::onTypesChanged);
    double callsPerSecond = cluster.settings.cloudRequestsPerS();
    TokenBucket calls =
        new TokenBucket(
            callsPerSecond * Constants.RATE_LIMIT_FRACTION,
            callsPerSecond * 2 * Constants.RATE_LIMIT_FRACTION);
    CloudInventory cloudInventory = new CloudInventory(cluster.clock, cluster.effects, calls);
    PendingMachines pendingMachines = new PendingMachines();
    ScaleIn scaleIn = newScaleIn(calls, cloudInventory, pendingMachines);
    autoscaler =
        new Autoscaler(
            cluster.clock,
            cluster.store,
            cluster.machineTypes,
            machineDemand,
            new AutoscalerLeadership(cluster.clock, cluster.settings, cluster.store),
            cloudInventory,
            newPlanner(calls, cloudInventory, pendingMachines, scaleIn),
            scaleIn);
  }

  private ScalingPlanner newPlanner(
      TokenBucket calls,
      CloudInventory cloudInventory,
      PendingMachines pendingMachines,
      ScaleIn scaleIn) {
    RegisteredMachines registeredMachines =
        new RegisteredMachines(
            cluster.settings,
            cluster.store,
            cluster.view,
            pendingMachines,
            cluster.returnedMachines);
    UnregisteredMachines unregisteredMachines =
        new UnregisteredMachines(
            cluster.settings, cluster.machineTypes, cloudInventory, scaleIn, pendingMachines);
    ScaleOutRequests requests =
        new ScaleOutRequests(
            cluster.clock,
            cluster.effects,
            cluster.store,
            calls,
            pendingMachines,
            this::scaleOutAnswered);
    TypePlanner typePlanner =
        new TypePlanner(
            machineDemand,
            new ScaleOut(cluster.view, cluster.machineTypes, pendingMachines, requests),
            new IdleScaleIn(scaleIn, cluster.messenger));
    return new ScalingPlanner(
        cluster.store,
        cluster.machineTypes,
        registeredMachines,
        unregisteredMachines,
        newUnplaceableScaleOut(cloudInventory, requests),
        typePlanner,
        scaleIn);
  }

  private UnplaceableScaleOut newUnplaceableScaleOut(
      CloudInventory cloudInventory, ScaleOutRequests requests) {
    UnplaceableJobs unplaceableJobs =
        new UnplaceableJobs(
            cluster.settings,
            cluster.store,
            cluster.view,
            cluster.machineTypes,
            cluster.jobsNeedingLeader,
            machineDemand);
    return new UnplaceableScaleOut(
        cluster.settings, machineDemand, unplaceableJobs, cloudInventory, requests);
  }

  private ScaleIn newScaleIn(
      TokenBucket calls, CloudInventory cloudInventory, PendingMachines pendingMachines) {
    return new ScaleIn(
        cluster.clock,
        cluster.settings,
        cluster.effects,
        cluster.store,
        calls,
        cluster.returnedMachines,
        machine -> {
          pendingMachines.remove(machine);
          cloudInventory.remove(machine);
        });
  }

  private void scaleOutAnswered() {
    autoscaler.planSoon();
  }
}
