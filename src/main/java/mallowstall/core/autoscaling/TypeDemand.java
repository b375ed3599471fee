package mallowstall.core.autoscaling;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/** The demand of the open jobs for one machine type, as a number of machines. Mutable. */
final class TypeDemand {
  private double machines;
  private double averageMachines;
  private double averageUrgentMachines;
  private boolean spotAllowed;
  private double onDemandMachines;
  private final Map<String, Double> pinnedByZone = new HashMap<>();
  private final Map<String, Double> onDemandPinnedByZone = new HashMap<>();

  /** Returns the present demand, reduced for short tasks and tasks that may run in sequence. */
  double machines() {
    return machines;
  }

  /** Returns the average of {@link #machines} over time. */
  double averageMachines() {
    return averageMachines;
  }

  /** Returns the average demand of urgent jobs over time. */
  double averageUrgentMachines() {
    return averageUrgentMachines;
  }

  /**
   * Returns whether spot machines can serve some of the demand. On-demand machines for the rest are
   * requested first.
   */
  boolean spotAllowed() {
    return spotAllowed;
  }

  /** Returns the present demand that spot machines can't serve. */
  double onDemandMachines() {
    return onDemandMachines;
  }

  /**
   * Returns by zone the demand that only machines of this zone can serve, whether spot or
   * on-demand.
   */
  Map<String, Double> pinnedByZone() {
    return Collections.unmodifiableMap(pinnedByZone);
  }

  /** Returns by zone the demand that only on-demand machines of this zone can serve. */
  Map<String, Double> onDemandPinnedByZone() {
    return Collections.unmodifiableMap(onDemandPinnedByZone);
  }

  /** Clears the present demand; the averages stay. */
  void resetCurrent() {
    machines = 0;
    spotAllowed = false;
    onDemandMachines = 0;
    pinnedByZone.clear();
    onDemandPinnedByZone.clear();
  }

  /**
   * Adds the demand of one job.
   *
   * @param effective number of machines, reduced for short tasks and for tasks that may run in
   *     sequence
   * @param concurrent number of machines that hold all tasks of the job at once
   * @param spot whether spot machines can serve the job
   */
  void add(double effective, double concurrent, boolean spot) {
    machines += effective;
    spotAllowed |= spot;
    if (!spot) {
      onDemandMachines += concurrent;
    }
  }

  /**
   * Adds the demand of a job that needs machines of this zone. They must be on-demand machines
   * unless the job allows spot.
   */
  void addPinned(String zone, double pinned, boolean spot) {
    (spot ? pinnedByZone : onDemandPinnedByZone).merge(zone, pinned, Double::sum);
  }

  /** Moves the averages towards the present demand by a weight from 0 to 1. */
  void updateAverages(double urgentMachines, double weight) {
    averageMachines += (machines - averageMachines) * weight;
    averageUrgentMachines += (urgentMachines - averageUrgentMachines) * weight;
  }
}
