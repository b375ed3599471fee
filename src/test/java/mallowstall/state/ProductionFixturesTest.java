package mallowstall.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;
import mallowstall.core.model.CompletionBitsEntry;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobKind;
import mallowstall.core.model.JobOutcome;
import mallowstall.core.model.PeerMessage;
import mallowstall.core.model.Priority;
import mallowstall.core.model.StartBatch;
import mallowstall.core.model.StatusUpdate;
import mallowstall.core.model.StopBatch;
import mallowstall.core.model.StoredEntry;
import mallowstall.json.JsonReader;
import mallowstall.peers.PeerCodec;
import org.junit.jupiter.api.Test;

/**
 * Tests that this version reads the values and messages which the version in production writes, and
 * writes those that both versions must read with identical bytes.
 */
class ProductionFixturesTest {
  /** Files by name, each with a key under which its value may be stored. */
  private static final Map<String, String> VALUES =
      new TreeMap<>(
          Map.ofEntries(
              Map.entry("bits.json", "c/b/wk-1/0"),
              Map.entry("counter.json", "c/incarnations"),
              Map.entry("digest.json", "c/d/n1"),
              Map.entry("duty.json", "c/cloud"),
              Map.entry("group.json", "c/g/1-1"),
              Map.entry("job-cancelled.json", "c/j/wk-1"),
              Map.entry("job-done.json", "c/j/wk-1"),
              Map.entry("job-open.json", "c/j/wk-1"),
              Map.entry("machine-returned.json", "c/m/m-1"),
              Map.entry("machine.json", "c/m/m-1"),
              Map.entry("session.json", "c/n/n1"),
              Map.entry("team.json", "c/t/a")));

  private static final Map<String, Class<? extends PeerMessage>> MESSAGES =
      new TreeMap<>(
          Map.of(
              "roster.hex",
              StatusUpdate.class,
              "starts.hex",
              StartBatch.class,
              "stops.hex",
              StopBatch.class));

  private static String text(String file) throws IOException {
    try (InputStream in = ProductionFixturesTest.class.getResourceAsStream("/production/" + file)) {
      assertNotNull(in, file);
      return new String(in.readAllBytes(), StandardCharsets.UTF_8).strip();
    }
  }

  private static StoredEntry value(String file) throws IOException {
    byte[] written = text(file).getBytes(StandardCharsets.UTF_8);
    return JsonReader.read(written, in -> StoredEntries.read(VALUES.get(file), in));
  }

  private static JobEntry job(String file) throws IOException {
    return (JobEntry) value(file);
  }

  @Test
  void valuesAreDecodedAndEncodedToIdenticalBytes() throws IOException {
    for (String file : VALUES.keySet()) {
      String encoded = new String(StoredEntries.encode(value(file)), StandardCharsets.UTF_8);
      assertEquals(text(file), encoded, file);
    }
  }

  @Test
  void valuesAreDecodedToExpectedFields() throws IOException {
    JobEntry open = job("job-open.json");
    assertEquals(JobOutcome.NONE, open.outcome());
    assertEquals(JobKind.BATCH, open.spec().kind());
    assertEquals(Priority.HIGH, open.spec().priority());
    assertEquals("[5, 1]", Arrays.toString(open.completionBits()));
    assertEquals(4, open.quotaReservedTasks());
    assertEquals(JobOutcome.CANCELLED, job("job-cancelled.json").outcome());
    assertEquals(JobOutcome.DONE, job("job-done.json").outcome());
    CompletionBitsEntry bits = (CompletionBitsEntry) value("bits.json");
    assertEquals("[1, 0, -128]", Arrays.toString(bits.bits()));
  }

  @Test
  void peerMessagesAreDecodedAndEncodedToIdenticalBytes() throws IOException {
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
