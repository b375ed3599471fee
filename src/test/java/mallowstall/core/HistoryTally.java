package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Counts the histories of a test in which a rule is violated, and those in which the order of
 * events under test occurs.
 */
final class HistoryTally {
  private int histories;
  private int orderOccurredCount;
  private int violatingCount;
  private String firstViolation = "";

  /**
   * Adds a finished history; {@code orderOccurred} is true if the order of events under test
   * occurred in it.
   */
  void add(ForcedHistory history, boolean orderOccurred) {
    histories++;
    orderOccurredCount += orderOccurred ? 1 : 0;
    if (history.simulation.checker.violations.isEmpty()) {
      return;
    }
    violatingCount++;
    if (firstViolation.isEmpty()) {
      String violation = history.simulation.checker.violations.get(0);
      firstViolation = violation + "\n" + String.join("\n", history.trace);
    }
  }

  void assertNoViolations() {
    assertTrue(orderOccurredCount > 0, "the order of events under test occurred in no history");
    String counts =
        violatingCount
            + " of "
            + histories
            + " histories violate a rule, order occurred in "
            + orderOccurredCount;
    assertEquals(0, violatingCount, () -> counts + "; the first: " + firstViolation);
  }
}
