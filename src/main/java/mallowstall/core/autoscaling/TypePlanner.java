package mallowstall.core.autoscaling;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Compares the number of machines of a type with the demand for it, and scales out or in. */
public final class TypePlanner {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.autoscaling");

  /**
   * Number of machines requested per machine needed. It exceeds 1, because some machines boot late
   * or never.
   */
  private static final double SCALE_OUT_FACTOR = 1.1;

  /**
   * Number of machines by which a target may exceed a whole number without being rounded up to the
   * next one.
   */
  private static final double SCALE_OUT_ROUNDING = 0.05;

  /**
   * Number of machines per machine of the average demand, at which no further on-demand machine is
   * drained.
   */
  private static final double ON_DEMAND_RETENTION_AVERAGE_FACTOR = 0.8;

  /** Number of machines retained per machine of the present demand. */
  private static final double RETENTION_FACTOR = 1.2;

  /** Number of machines retained per machine of the average demand. */
  private static final double RETENTION_AVERAGE_FACTOR = 1.15;

  private final MachineDemand demand;
  private final ScaleOut scaleOut;
  private final IdleScaleIn idleScaleIn;

  /** Creates a planner that either scales a type out or in, but not both in one plan. */
  public TypePlanner(MachineDemand demand, ScaleOut scaleOut, IdleScaleIn idleScaleIn) {
    this.demand = demand;
    this.scaleOut = scaleOut;
    this.idleScaleIn = idleScaleIn;
  }

  /**
   * Requests missing machines of the type, or scales in those that aren't needed.
   *
   * @param census the machines of all types
   */
  void plan(String type, MachineCensus census, long now) {
    int current = census.count(type);
    TypeDemand typeDemand = demand.demandFor(type);
    if (scaleOut.canRequest(now) && scaleOut.scaleOutConstrained(type, typeDemand, census, now)) {
      return;
    }
    int targetCount = computeTargetCount(typeDemand);
    LOG.debug(
        "machines planned type={} demand={} averageDemand={} target={} current={}",
        type,
        typeDemand.machines(),
        typeDemand.averageMachines(),
        targetCount,
        current);
    if (targetCount > current) {
      if (scaleOut.canRequest(now)) {
        scaleOut.scaleOut(type, targetCount - current, targetCount, typeDemand.spotAllowed(), now);
      }
      return;
    }
    int retainedTotal = computeRetainedTotal(typeDemand);
    int retainedOnDemand = Math.min(retainedTotal, computeRetainedOnDemand(typeDemand));
    if (current > retainedOnDemand) {
      idleScaleIn.scaleIn(type, current, retainedTotal, retainedOnDemand, census.available(), now);
    }
  }

  private static int computeTargetCount(TypeDemand typeDemand) {
    return (int)
        Math.ceil(
            Math.max(typeDemand.machines() * SCALE_OUT_FACTOR, typeDemand.averageMachines())
                - SCALE_OUT_ROUNDING);
  }

  private static int computeRetainedTotal(TypeDemand typeDemand) {
    return (int)
        Math.ceil(
            Math.max(
                typeDemand.machines() * RETENTION_FACTOR,
                typeDemand.averageMachines() * RETENTION_AVERAGE_FACTOR));
  }

  /**
   * Returns the number of machines of the type, spot machines included, at which no further
   * on-demand machine is drained. On-demand machines cost more, so a smaller part of the average
   * demand retains them. Urgent average demand counts {@link MachineDemand#RESERVE_FACTOR} times,
   * as in the reservation of machines for urgent jobs.
   */
  private static int computeRetainedOnDemand(TypeDemand typeDemand) {
    double retainedForAverage =
        Math.max(
            typeDemand.averageUrgentMachines() * MachineDemand.RESERVE_FACTOR,
            typeDemand.averageMachines() * ON_DEMAND_RETENTION_AVERAGE_FACTOR);
    return (int) Math.ceil(Math.max(typeDemand.machines() * RETENTION_FACTOR, retainedForAverage));
  }
}
