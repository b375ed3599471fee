package mallowstall.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** What the environment chooses. */
class LibraryPropertiesTest {
  @Test
  void unknownLogLevelsAreInfo() {
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
