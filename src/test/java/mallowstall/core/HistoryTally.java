package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** How many of a test's histories broke a rule, and in how many its order of events took place. */
final class HistoryTally {
  private int histories;
  private int tookPlace;
  private int broken;
  private String firstBroken = "";

  /** {@code inOrder}: what the test is about has happened in this history. */
  void add(ForcedHistory history, boolean inOrder) {
    histories++;
    tookPlace += inOrder ? 1 : 0;
    if (history.simulation.checker.violations.isEmpty()) {
      return;
    }
    broken++;
    if (firstBroken.isEmpty()) {
      String violation = history.simulation.checker.violations.get(0);
      firstBroken = violation + "\n" + String.join("\n", history.trace);
    }
  }

  void assertNoneBroken() {
    assertTrue(tookPlace > 0, "the order of events took place in no history");
    String counts = broken + " of " + histories + " histories, in order " + tookPlace;
    assertEquals(0, broken, () -> counts + "; the first: " + firstBroken);
  }
}
