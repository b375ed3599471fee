package mallowstall.cli;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Checks which command lines start the controller without the command line parser. */
class MainTest {
  @Test
  void onlyArgumentsOfDeployFileBypassTheParser() {
    assertTrue(Main.isConfigOnly(new String[] {"--config", "settings.json"}));
    String[][] others = {
      {},
      {"--config"},
      {"--config", "--help"},
      {"--config=settings.json"},
      {"--config", "settings.json", "--policies"},
      {"check", "file"},
      {"--policies", "file"},
    };
    for (String[] other : others) {
      assertFalse(Main.isConfigOnly(other), String.join(" ", other));
    }
  }
}
