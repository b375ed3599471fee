package mallowstall.core.autoscaling;

import java.util.HashMap;
import java.util.Map;

/** What the open jobs need of one machine type, in machines. Mutable. */
final class TypeDemand {
  /** What they need now. */
  double machines;

  /** The same, averaged over time. */
  double averageMachines;

  /** Average machines' worth of urgent work. */
  double averageUrgentMachines;

  /** Whether spot machines can serve some of it; what they can't is requested first. */
  boolean spotAllowed;

  /** The part that spot machines can't serve. */
  double onDemandMachines;

  /** The part that only one zone can serve, by zone. */
  final Map<String, Double> pinnedByZone = new HashMap<>();

  /** The part that only on-demand machines of one zone can serve, by zone. */
  final Map<String, Double> onDemandPinnedByZone = new HashMap<>();

  /** Forgets what is needed now; the averages stay. */
  void resetCurrent() {
    machines = 0;
    spotAllowed = false;
    onDemandMachines = 0;
    pinnedByZone.clear();
    onDemandPinnedByZone.clear();
  }
}
