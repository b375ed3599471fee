package mallowstall.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Checks the log level that the environment selects. */
class LibraryPropertiesTest {
  @Test
  void unknownLogLevelsFallBackToInfo() {
    String[][] cases = {
      {null, "info"},
      {"", "info"},
      {"trace", "info"},
      {"INFO", "info"},
      {"Debug", "debug"},
      {"error", "error"},
    };
    for (String[] levels : cases) {
      assertEquals(levels[1], LibraryProperties.logLevel(levels[0]), levels[0]);
    }
  }
}
