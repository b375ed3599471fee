package mallowstall.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;
import mallowstall.cli.Main;
import mallowstall.core.Model.BitsRec;
import mallowstall.core.Model.CounterRec;
import mallowstall.core.Model.DigestRec;
import mallowstall.core.Model.DutyRec;
import mallowstall.core.Model.Entry;
import mallowstall.core.Model.Final;
import mallowstall.core.Model.GroupRec;
import mallowstall.core.Model.JobKind;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.MachineRec;
import mallowstall.core.Model.PeerMessage;
import mallowstall.core.Model.Priority;
import mallowstall.core.Model.Roster;
import mallowstall.core.Model.SessionRec;
import mallowstall.core.Model.Starts;
import mallowstall.core.Model.Stops;
import mallowstall.core.Model.TeamRec;
import mallowstall.peers.PeerCodec;
import org.junit.jupiter.api.Test;

/**
 * Values and messages as the version in production writes them: this version reads each, and writes
 * each that both must understand byte for byte the same.
 */
class ProductionFixturesTest {
  private static final Map<String, Class<? extends Entry>> VALUES =
      new TreeMap<>(
          Map.ofEntries(
              Map.entry("bits.json", BitsRec.class),
              Map.entry("counter.json", CounterRec.class),
              Map.entry("digest.json", DigestRec.class),
              Map.entry("duty.json", DutyRec.class),
              Map.entry("group.json", GroupRec.class),
              Map.entry("job-cancelled.json", JobRec.class),
              Map.entry("job-done.json", JobRec.class),
              Map.entry("job-open.json", JobRec.class),
              Map.entry("machine-returned.json", MachineRec.class),
              Map.entry("machine.json", MachineRec.class),
              Map.entry("session.json", SessionRec.class),
              Map.entry("team.json", TeamRec.class)));

  private static final Map<String, Class<? extends PeerMessage>> MESSAGES =
      new TreeMap<>(
          Map.of("roster.hex", Roster.class, "starts.hex", Starts.class, "stops.hex", Stops.class));

  private final ObjectMapper json = Main.json();

  private static String text(String file) throws IOException {
    try (InputStream in = ProductionFixturesTest.class.getResourceAsStream("/production/" + file)) {
      assertNotNull(in, file);
      return new String(in.readAllBytes(), StandardCharsets.UTF_8).strip();
    }
  }

  private JobRec job(String file) throws IOException {
    return json.readValue(text(file), JobRec.class);
  }

  @Test
  void valuesAreReadAndWrittenByteForByteTheSame() throws IOException {
    for (Map.Entry<String, Class<? extends Entry>> entry : VALUES.entrySet()) {
      String written = text(entry.getKey());
      Entry value = json.readValue(written, entry.getValue());
      assertEquals(written, json.writeValueAsString(value), entry.getKey());
    }
  }

  @Test
  void whatTheValuesSayIsUnderstood() throws IOException {
    JobRec open = job("job-open.json");
    assertEquals(Final.NONE, open.fin());
    assertEquals(JobKind.BATCH, open.spec().kind());
    assertEquals(Priority.HIGH, open.spec().priority());
    assertEquals("[5, 1]", Arrays.toString(open.done()));
    assertEquals(4, open.grant());
    assertEquals(Final.CANCELLED, job("job-cancelled.json").fin());
    assertEquals(Final.DONE, job("job-done.json").fin());
    BitsRec bits = json.readValue(text("bits.json"), BitsRec.class);
    assertEquals("[1, 0, -128]", Arrays.toString(bits.done()));
  }

  @Test
  void messagesBetweenControllersAreReadAndWrittenByteForByteTheSame() throws IOException {
    for (Map.Entry<String, Class<? extends PeerMessage>> entry : MESSAGES.entrySet()) {
      byte[] sent = HexFormat.of().parseHex(text(entry.getKey()));
      PeerMessage message = PeerCodec.decode(sent);
      assertEquals(entry.getValue(), message.getClass(), entry.getKey());
      assertEquals(
          HexFormat.of().formatHex(sent),
          HexFormat.of().formatHex(PeerCodec.encode(message)),
          entry.getKey());
    }
  }
}
