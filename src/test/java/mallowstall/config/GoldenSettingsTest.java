package mallowstall.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import mallowstall.Fixtures;
import org.junit.jupiter.api.Test;

/** Checks that each field of a settings file is read, and the exact messages for invalid files. */
class GoldenSettingsTest {
  @Test
  void everyFieldIsRead() throws IOException, Settings.Invalid {
    Settings read = Settings.parse(Fixtures.bytes("settings/full.json"));

    Settings.Facts facts =
        new Settings.Facts(
            List.of(new Settings.Team("vision", 1.5, 2.5, 3.5, 4.5)),
            List.of(new Settings.Objective("deadline", "train", 1.25)),
            new Settings.Workers(1.0, 10.0, 35.0),
            new Settings.State(150.0, 60.0, 16.0, 24, new Settings.NextState(140.0, 50.0, 8.0, 12)),
            new Settings.Cloud(1.5, 11.0),
            new Settings.Limits(600, 128.0),
            25.0);
    assertEquals(
        new Settings(
            "n0",
            "z0",
            "127.0.0.1:8080",
            "127.0.0.1:8081",
            List.of(
                new Settings.Peer("n1", "z1", "127.0.0.1:8082"),
                new Settings.Peer("n2", null, "127.0.0.1:8083")),
            new Settings.Endpoints("127.0.0.1:1", "127.0.0.1:2"),
            facts),
        read);
  }

  @Test
  void errorMessagesMatchGoldenFile() throws IOException {
    String good = Fixtures.text("settings/full.json");
    StringBuilder messages = new StringBuilder();
    for (String change : Fixtures.text("settings/bad-changes.txt").split("\n")) {
      String[] parts = change.split(" => ", -1);
      byte[] bad = good.replace(parts[0], parts[1]).getBytes(StandardCharsets.UTF_8);
      Settings.Invalid fault =
          assertThrows(Settings.Invalid.class, () -> Settings.parse(bad), change);
      messages.append(change).append(": ").append(fault.getMessage()).append('\n');
    }
    for (String file : List.of("null", "[]", "", "{}", "{\"node\"", "5")) {
      byte[] bad = file.getBytes(StandardCharsets.UTF_8);
      Settings.Invalid fault =
          assertThrows(Settings.Invalid.class, () -> Settings.parse(bad), file);
      messages.append(file).append(": ").append(fault.getMessage()).append('\n');
    }
    Fixtures.assertMatchesFixture("settings/faults.txt", messages.toString().stripTrailing());
  }
}
