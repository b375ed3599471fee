package mallowstall.core.autoscaling;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/** What the open jobs need of one machine type, in machines. Mutable. */
final class TypeDemand {
  private double machines;
  private double averageMachines;
  private double averageUrgentMachines;
  private boolean spotAllowed;
  private double onDemandMachines;
  private final Map<String, Double> pinnedByZone = new HashMap<>();
  private final Map<String, Double> onDemandPinnedByZone = new HashMap<>();

  /** What they need now. */
  double machines() {
    return machines;
  }

  /** What they need, averaged over time. */
  double averageMachines() {
    return averageMachines;
  }

  /** What urgent jobs need, averaged over time. */
  double averageUrgentMachines() {
    return averageUrgentMachines;
  }

  /** Whether spot machines can serve some of it; what they can't is requested first. */
  boolean spotAllowed() {
    return spotAllowed;
  }

  /** The part that spot machines can't serve. */
  double onDemandMachines() {
    return onDemandMachines;
  }

  /** The part that only one zone can serve, by zone; for reading. */
  Map<String, Double> pinnedByZone() {
    return Collections.unmodifiableMap(pinnedByZone);
  }

  /** The part that only on-demand machines of one zone can serve, by zone; for reading. */
  Map<String, Double> onDemandPinnedByZone() {
    return Collections.unmodifiableMap(onDemandPinnedByZone);
  }

  /** Forgets what is needed now; the averages stay. */
  void resetCurrent() {
    machines = 0;
    spotAllowed = false;
    onDemandMachines = 0;
    pinnedByZone.clear();
    onDemandPinnedByZone.clear();
  }

  /**
   * Adds what one job needs.
   *
   * @param worth machines that its tasks are worth, given how long they run
   * @param all machines that hold all its tasks at once
   * @param spot whether spot machines can serve it
   */
  void add(double worth, double all, boolean spot) {
    machines += worth;
    spotAllowed |= spot;
    if (!spot) {
      onDemandMachines += all;
    }
  }

  /** Adds machines that only this zone can serve, by on-demand machines unless spot ones can. */
  void addPinned(String zone, double pinned, boolean spot) {
    (spot ? pinnedByZone : onDemandPinnedByZone).merge(zone, pinned, Double::sum);
  }

  /** Moves the averages towards what is needed now, by a weight from 0 to 1. */
  void updateAverages(double urgentMachines, double weight) {
    averageMachines += (machines - averageMachines) * weight;
    averageUrgentMachines += (urgentMachines - averageUrgentMachines) * weight;
  }
}
