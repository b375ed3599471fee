package mallowstall.core.autoscaling;

import mallowstall.Constants;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.StateStore;

/**
 * Runs autoscaling: every controller counts the demand for machines, and the leader of autoscaling
 * also reads the cloud's inventory and plans what is requested and returned. Mutable.
 */
public final class Autoscaler {
  /** ms. The next plan follows a scale-out response so soon, as more may be missing. */
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

  /** Does nothing before the state replica and the machine types are complete. */
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

  /** A scale-out request has been answered: what else is missing is asked for soon. */
  public void planSoon() {
    nextPlanMs = Math.min(nextPlanMs, clock.now() + AUTOSCALER_FOLLOW_UP_MS);
  }

  /** Counts demand, acquires a vacant leadership and, as the leader, plans when due. */
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
    cloudInventory.tick(now);
    if (now >= nextPlanMs) {
      nextPlanMs = now + Constants.AUTOSCALER_INTERVAL_MS;
      planner.plan(now);
    }
    scaleIn.tick(now);
  }
}
