package mallowstall.core.autoscaling;

import mallowstall.Constants;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.StateStore;

/**
 * Runs autoscaling. Every controller computes the demand for machines. The autoscaler leader also
 * reads the cloud's inventory and plans which machines are requested and returned. Mutable.
 */
public final class Autoscaler {
  /**
   * Maximum delay in milliseconds from a scale-out response to the next plan, because machines may
   * still be missing.
   */
  private static final long AUTOSCALER_FOLLOW_UP_MS = 300;

  private final EventClock clock;
  private final StateStore store;
  private final MachineTypeCatalog types;
  private final MachineDemand demand;
  private final AutoscalerLeadership leadership;
  private final CloudInventory cloudInventory;
  private final ScalingPlanner planner;
  private final ScaleIn scaleIn;
  private long nextPlanMs;
  private long nextDemandMs;

  /** The incarnation as which this controller last became the leader, or 0 if it never did. */
  private long leaderIncarnation;

  /** Creates an autoscaler that is idle until the state replica and machine types are loaded. */
  public Autoscaler(
      EventClock clock,
      StateStore store,
      MachineTypeCatalog types,
      MachineDemand demand,
      AutoscalerLeadership leadership,
      CloudInventory cloudInventory,
      ScalingPlanner planner,
      ScaleIn scaleIn) {
    this.clock = clock;
    this.store = store;
    this.types = types;
    this.demand = demand;
    this.leadership = leadership;
    this.cloudInventory = cloudInventory;
    this.planner = planner;
    this.scaleIn = scaleIn;
  }

  /** Brings the next plan forward after a scale-out response, to request what is still missing. */
  public void planSoon() {
    nextPlanMs = Math.min(nextPlanMs, clock.now() + AUTOSCALER_FOLLOW_UP_MS);
  }

  /**
   * Computes the demand and acquires the leadership if it is vacant. Plans at each interval if this
   * controller is the leader.
   */
  public void tick() {
    long now = clock.now();
    if (!store.synced() || types.isEmpty()) {
      return;
    }
    if (now >= nextDemandMs) {
      nextDemandMs = now + Constants.AUTOSCALER_INTERVAL_MS / 2;
      demand.recompute(now);
    }
    if (!store.isSessionValid()) {
      return;
    }
    leadership.acquireIfVacant(now);
    if (!leadership.isLeader()) {
      return;
    }
    if (leaderIncarnation != store.incarnation()) {
      leaderIncarnation = store.incarnation();
      planner.startLeadership(now);
    }
    cloudInventory.tick(now);
    if (now >= nextPlanMs) {
      nextPlanMs = now + Constants.AUTOSCALER_INTERVAL_MS;
      planner.plan(now);
    }
    scaleIn.tick(now);
  }
}
