package mallowstall.core.autoscaling;

import java.util.List;
import mallowstall.core.cluster.MachineView;

/** Compares the machines of a type with the demand for it, and scales out or in. */
public final class TypePlanner {
  /** Factor. Machines requested per machine needed: some boot late, or never. */
  private static final double SCALE_OUT_FACTOR = 1.1;

  /** Machines. A need is rounded up only if it is above a whole number by this. */
  private static final double SCALE_OUT_ROUNDING = 0.05;

  /** Fraction of the average demand for which idle on-demand machines are kept. */
  private static final double ON_DEMAND_FLOOR_FRACTION = 0.8;

  /** Factor. Machines kept per machine needed now. */
  private static final double RETENTION_FACTOR = 1.2;

  /** Factor. Machines kept per machine needed on average. */
  private static final double RETENTION_AVERAGE_FACTOR = 1.15;

  private final MachineDemand demand;
  private final ScaleOut scaleOut;
  private final IdleScaleIn idleScaleIn;

  /** Of scaling out and in at most one is asked for in each plan of a type. */
  public TypePlanner(MachineDemand demand, ScaleOut scaleOut, IdleScaleIn idleScaleIn) {
    this.demand = demand;
    this.scaleOut = scaleOut;
    this.idleScaleIn = idleScaleIn;
  }

  /**
   * Scales out for what the type lacks, or scales in what it doesn't need.
   *
   * @param current machines of the type that are in service or will be
   * @param available machines of all types in service
   */
  void plan(String type, int current, List<MachineView> available, long now) {
    TypeDemand typeDemand = demand.of(type);
    if (scaleOut.canRequest(now)
        && scaleOut.scaleOutConstrained(type, typeDemand, available, now)) {
      return;
    }
    int target = targetCount(typeDemand);
    if (target > current) {
      if (scaleOut.canRequest(now)) {
        scaleOut.scaleOut(type, target - current, target, typeDemand.spotAllowed(), now);
      }
      return;
    }
    if (scaleOut.canRequest(now) && scaleOut.scaleOutForUnplaceable(type, available, now)) {
      return;
    }
    int keepTotal = keepTotal(typeDemand);
    int keepOnDemand = Math.min(keepTotal, keepOnDemand(typeDemand));
    if (current > keepOnDemand) {
      idleScaleIn.scaleIn(type, current, keepTotal, keepOnDemand, available, now);
    }
  }

  private static int targetCount(TypeDemand typeDemand) {
    return (int)
        Math.ceil(
            Math.max(typeDemand.machines() * SCALE_OUT_FACTOR, typeDemand.averageMachines())
                - SCALE_OUT_ROUNDING);
  }

  private static int keepTotal(TypeDemand typeDemand) {
    return (int)
        Math.ceil(
            Math.max(
                typeDemand.machines() * RETENTION_FACTOR,
                typeDemand.averageMachines() * RETENTION_AVERAGE_FACTOR));
  }

  /** On-demand machines cost more, and are kept for present demand more than for past demand. */
  private static int keepOnDemand(TypeDemand typeDemand) {
    double onDemandFloor =
        Math.max(
            typeDemand.averageUrgentMachines() * MachineDemand.RESERVE_FACTOR,
            typeDemand.averageMachines() * ON_DEMAND_FLOOR_FRACTION);
    return (int) Math.ceil(Math.max(typeDemand.machines() * RETENTION_FACTOR, onDemandFloor));
  }
}
