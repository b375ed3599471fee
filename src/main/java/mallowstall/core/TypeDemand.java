package mallowstall.core;

import java.util.HashMap;
import java.util.Map;

/** What the open jobs need of one machine type, in machines. Mutable. */
final class TypeDemand {
  /** What they need now. */
  double machines;

  /** The same, averaged over time. */
  double average;

  /** Average machines' worth of urgent work. */
  double urgent;

  /** Whether spot machines can serve some of it; what they can't is rented before the rest. */
  boolean spotAllowed;

  /** The part that spot machines can't serve. */
  double ordinary;

  /** The part that only one zone can serve, by zone. */
  final Map<String, Double> pinned = new HashMap<>();

  /** The part that only ordinary machines of one zone can serve, by zone. */
  final Map<String, Double> pinnedOrdinary = new HashMap<>();

  /** Forgets what is needed now; the averages stay. */
  void restart() {
    machines = 0;
    spotAllowed = false;
    ordinary = 0;
    pinned.clear();
    pinnedOrdinary.clear();
  }
}
