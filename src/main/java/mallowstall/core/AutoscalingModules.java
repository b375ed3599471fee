package mallowstall.core;

import mallowstall.Constants;
import mallowstall.core.autoscaling.Autoscaler;
import mallowstall.core.autoscaling.CloudInventory;
import mallowstall.core.autoscaling.MachineDemand;
import mallowstall.core.autoscaling.ScaleIn;
import mallowstall.core.autoscaling.ScaleOut;
import mallowstall.core.autoscaling.UnplaceableJobs;
import mallowstall.core.kernel.TokenBucket;

/** The modules that rent and return machines by demand. Thread: the event loop's. */
final class AutoscalingModules {
  final MachineDemand machineDemand;
  final Autoscaler autoscaler;

  private final ClusterModules cluster;

  /** Builds the modules and has the demand follow the machine types. */
  AutoscalingModules(ClusterModules cluster) {
    this.cluster = cluster;
    machineDemand =
        new MachineDemand(
            cluster.clock, cluster.settings, cluster.view, cluster.machineTypes, cluster.openJobs);
    cluster.machineTypes.subscribe(machineDemand::onTypesChanged);
    double callsPerSecond = cluster.settings.cloudRequestsPerS();
    TokenBucket calls =
        new TokenBucket(
            callsPerSecond * Constants.STATE_RATE_FRACTION,
            callsPerSecond * 2 * Constants.STATE_RATE_FRACTION);
    CloudInventory cloudInventory = new CloudInventory(cluster.clock, cluster.effects, calls);
    ScaleOut scaleOut = newScaleOut(calls);
    ScaleIn scaleIn = newScaleIn(calls, cloudInventory, scaleOut);
    autoscaler =
        new Autoscaler(
            cluster.clock,
            cluster.settings,
            cluster.store,
            cluster.view,
            cluster.machineTypes,
            machineDemand,
            cloudInventory,
            scaleOut,
            scaleIn,
            cluster.messenger);
  }

  private ScaleOut newScaleOut(TokenBucket calls) {
    return new ScaleOut(
        cluster.clock,
        cluster.effects,
        cluster.store,
        cluster.view,
        cluster.machineTypes,
        cluster.openJobs,
        machineDemand,
        new UnplaceableJobs(cluster.settings, cluster.store, cluster.view),
        calls,
        this::scaleOutAnswered);
  }

  private ScaleIn newScaleIn(TokenBucket calls, CloudInventory cloudInventory, ScaleOut scaleOut) {
    return new ScaleIn(
        cluster.clock,
        cluster.settings,
        cluster.effects,
        cluster.store,
        calls,
        machine -> {
          scaleOut.pendingMachines().remove(machine);
          cloudInventory.remove(machine);
        });
  }

  private void scaleOutAnswered() {
    autoscaler.planSoon();
  }
}
