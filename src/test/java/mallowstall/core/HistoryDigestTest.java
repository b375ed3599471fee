package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/**
 * The random histories go exactly as recorded, to the byte and the millisecond: see {@link
 * HistoryDigest}. A change of the program that is to preserve its behaviour changes none of the
 * digests in {@code history-digests.txt}. Every build plays a few of the histories; this plays all
 * of them, and prints their digests:
 *
 * <pre>mvn -q test -Dtest=HistoryDigestTest#allRecordedHistories -Dhistories=all</pre>
 *
 * <p>To find what differs first, play one history with the program before and after the change, let
 * both write what they record, and compare the files:
 *
 * <pre>mvn -q test -Dtest=HistoryDigestTest#allRecordedHistories -Dhistories=plain-20000 \
 *     -Dhistory.dump=before</pre>
 *
 * <p>{@code histories} may name several, separated by commas; the directory is made if need be, and
 * gets one file for each, such as {@code before/plain-20000.txt}. Where a change of behaviour is
 * intended, the printed lines of all histories become the new {@code history-digests.txt}. The
 * digests are those of Java 17: other versions may write floating-point numbers differently.
 */
class HistoryDigestTest {
  private static final String FILE = "/history-digests.txt";
  private static final int RECORDED = 42;
  private static final int THREADS = 4;

  private static final List<String> IN_EVERY_BUILD =
      List.of("plain 20000", "plain 20001", "plain 20002", "upgrade 20100", "upgrade 20101");

  /** The digest of each recorded history. */
  private static Map<String, String> recorded() throws IOException {
    Map<String, String> digests = new TreeMap<>();
    try (InputStream in = HistoryDigestTest.class.getResourceAsStream(FILE)) {
      for (String line : new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList()) {
        int end = line.lastIndexOf(' ');
        digests.put(line.substring(0, end), line.substring(end + 1));
      }
    }
    return digests;
  }

  @Test
  void someHistoriesGoAsRecorded() throws Exception {
    Map<String, String> recorded = recorded();
    assertEquals(RECORDED, recorded.size(), "recorded histories");
    assertTrue(recorded.keySet().containsAll(IN_EVERY_BUILD), recorded.keySet().toString());
    assertAsRecorded(recorded, play(IN_EVERY_BUILD, 2, null));
  }

  @Test
  @EnabledIfSystemProperty(named = "histories", matches = ".+")
  void allRecordedHistories() throws Exception {
    Map<String, String> recorded = recorded();
    String asked = System.getProperty("histories");
    List<String> histories =
        asked.equals("all")
            ? List.copyOf(recorded.keySet())
            : List.of(asked.replace('-', ' ').split(","));
    String directory = System.getProperty("history.dump");
    Path dumpTo = directory == null ? null : Files.createDirectories(Path.of(directory));
    Map<String, String> played = play(histories, THREADS, dumpTo);
    played.forEach((history, digest) -> System.out.println(history + " " + digest));
    assertAsRecorded(recorded, played);
  }

  /** Every history differs, so every digest does. */
  @Test
  void noTwoRecordedHistoriesAreAlike() throws IOException {
    Map<String, String> recorded = recorded();
    assertEquals(recorded.size(), recorded.values().stream().distinct().count());
  }

  private static void assertAsRecorded(Map<String, String> recorded, Map<String, String> played) {
    List<String> different = new ArrayList<>();
    played.forEach(
        (history, digest) -> {
          if (!digest.equals(recorded.get(history))) {
            different.add(history);
          }
        });
    assertEquals(List.of(), different, "histories that went otherwise than recorded");
  }

  /** Plays the histories, which share nothing, on so many threads; the digest of each. */
  private static Map<String, String> play(List<String> histories, int threads, Path dumpTo)
      throws InterruptedException {
    Queue<String> waiting = new ConcurrentLinkedQueue<>(histories);
    Map<String, String> digests = new ConcurrentSkipListMap<>();
    Map<String, Throwable> failed = new ConcurrentSkipListMap<>();
    List<Thread> players = new ArrayList<>();
    for (int i = 0; i < threads; i++) {
      Thread player = new Thread(() -> playAll(waiting, dumpTo, digests, failed));
      players.add(player);
      player.start();
    }
    for (Thread player : players) {
      player.join();
    }
    assertEquals(Map.of(), failed);
    assertEquals(histories.size(), digests.size(), "histories played");
    return digests;
  }

  private static void playAll(
      Queue<String> waiting,
      Path dumpTo,
      Map<String, String> digests,
      Map<String, Throwable> failed) {
    for (String history = waiting.poll(); history != null; history = waiting.poll()) {
      try {
        digests.put(history, HistoryDigest.of(history, dumpTo));
      } catch (Throwable failure) {
        failed.put(history, failure);
      }
    }
  }
}
