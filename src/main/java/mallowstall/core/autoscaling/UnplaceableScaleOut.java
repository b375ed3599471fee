package mallowstall.core.autoscaling;

import java.util.Collection;
import java.util.List;
import mallowstall.core.autoscaling.UnplaceableJobs.UnplaceableJob;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests one machine at a time for the jobs that fit on no machine in service. Without these
 * requests such a job would wait forever if the number of machines meets the demand. Mutable.
 */
public final class UnplaceableScaleOut {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.autoscaling");

  /** Multiple of the inventory's lag after which a machine is listed for certain (protocol). */
  private static final long INVENTORY_LAG_FACTOR = 2;

  private final CoreSettings settings;
  private final MachineDemand demand;
  private final UnplaceableJobs unplaceableJobs;
  private final CloudInventory cloudInventory;
  private final ScaleOutRequests requests;
  private long leaderSinceMs;

  /** Creates a scale-out that requests nothing before this controller is the leader. */
  public UnplaceableScaleOut(
      CoreSettings settings,
      MachineDemand demand,
      UnplaceableJobs unplaceableJobs,
      CloudInventory cloudInventory,
      ScaleOutRequests requests) {
    this.settings = settings;
    this.demand = demand;
    this.unplaceableJobs = unplaceableJobs;
    this.cloudInventory = cloudInventory;
    this.requests = requests;
  }

  /** Called when this controller becomes the autoscaler leader, before its first plan. */
  void startLeadership(long now) {
    leaderSinceMs = now;
    unplaceableJobs.reset();
  }

  /** Requests a machine for the first unplaceable job for which none is starting. */
  void plan(MachineCensus census, long now) {
    List<UnplaceableJob> due = unplaceableJobs.findDue(census, now);
    if (!requests.canRequest(now)) {
      return;
    }
    for (UnplaceableJob job : due) {
      boolean mayRequest = job.spec().isService() || knowsRequestsOfPredecessor(now);
      if (mayRequest && !isMachineStarting(job, census) && requestFor(job, now)) {
        unplaceableJobs.recordScaleOut(job, now);
        return;
      }
    }
  }

  /**
   * Returns whether the inventory lists every machine that the former leader has requested. If the
   * inventory can't be read, this is assumed after some time. A service doesn't wait for that,
   * because its users notice each second that it is missing.
   */
  private boolean knowsRequestsOfPredecessor(long now) {
    return cloudInventory.readAtMs() - leaderSinceMs
            > INVENTORY_LAG_FACTOR * settings.inventoryLagMs()
        || now - leaderSinceMs > UnplaceableJobs.BATCH_UNPLACEABLE_MAX_MS;
  }

  private boolean isMachineStarting(UnplaceableJob job, MachineCensus census) {
    return census.willSoonServe(job.spec(), demand.fittingTypes(job.spec()), job.zones());
  }

  /**
   * Requests one machine for the job: of the smallest type whose machines the cloud hasn't just
   * refused, and a spot machine if possible.
   *
   * @return whether a request was sent
   */
  private boolean requestFor(UnplaceableJob job, long now) {
    JobSpec spec = job.spec();
    for (MachineType type : demand.fittingTypes(spec)) {
      Collection<String> zones = type.zones().stream().filter(job.zones()::contains).toList();
      if ((spec.spot() && requestIn(zones, type, true, job, now))
          || requestIn(zones, type, false, job, now)) {
        return true;
      }
    }
    return false;
  }

  private boolean requestIn(
      Collection<String> zones, MachineType type, boolean spot, UnplaceableJob job, long now) {
    for (String zone : zones) {
      if (requests.requestInZone(type.name(), zone, spot, 1, now)) {
        LOG.info(
            "job fits on no machine job={} type={} zone={} spot={} waitedMs={}",
            job.spec().id(),
            type.name(),
            zone,
            spot,
            job.waitedMs());
        return true;
      }
    }
    return false;
  }
}
