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
 * Guards against unintended changes of behaviour: the random histories must match their recorded
 * digests, to the byte and the millisecond (see {@link HistoryDigest}). A change of the program
 * that is to preserve its behaviour changes none of the digests in {@code history-digests.txt}.
 * Every build replays a few of the histories. This command replays all of them and prints their
 * digests:
 *
 * <pre>mvn -q test -Dtest=HistoryDigestTest#allRecordedHistories -Dhistories=all</pre>
 *
 * <p>To find the first difference, replay one history with the program before and after the change,
 * write the records of both to files, and compare the files:
 *
 * <pre>mvn -q test -Dtest=HistoryDigestTest#allRecordedHistories -Dhistories=plain-20000 \
 *     -Dhistory.dump=before</pre>
 *
 * <p>{@code histories} may name several histories, separated by commas. The directory is created if
 * it is missing, and receives one file for each history, for example {@code
 * before/plain-20000.txt}. If a change of behaviour is intended, the printed lines of all histories
 * become the new {@code history-digests.txt}. The digests are those of Java 17: other versions may
 * write floating-point numbers differently.
 */
class HistoryDigestTest {
  private static final String FILE = "/history-digests.txt";
  private static final int RECORDED = 42;
  private static final int THREADS = 4;

  private static final List<String> IN_EVERY_BUILD =
      List.of("plain 20000", "plain 20001", "plain 20002", "upgrade 20100", "upgrade 20101");

  /** Returns the recorded digests by the name of the history. */
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
  void selectedHistoriesMatchRecordedDigests() throws Exception {
    Map<String, String> recorded = recorded();
    assertEquals(RECORDED, recorded.size(), "recorded histories");
    assertTrue(recorded.keySet().containsAll(IN_EVERY_BUILD), recorded.keySet().toString());
    assertAsRecorded(recorded, replay(IN_EVERY_BUILD, 2, null));
  }

  @Test
  @EnabledIfSystemProperty(named = "histories", matches = ".+")
  void allRecordedHistories() throws Exception {
    Map<String, String> recorded = recorded();
    String requested = System.getProperty("histories");
    List<String> histories =
        requested.equals("all")
            ? List.copyOf(recorded.keySet())
            : List.of(requested.replace('-', ' ').split(","));
    String directory = System.getProperty("history.dump");
    Path dumpTo = directory == null ? null : Files.createDirectories(Path.of(directory));
    Map<String, String> replayed = replay(histories, THREADS, dumpTo);
    replayed.forEach((history, digest) -> System.out.println(history + " " + digest));
    assertAsRecorded(recorded, replayed);
  }

  /** All histories differ, so that all digests must differ. */
  @Test
  void recordedDigestsAreDistinct() throws IOException {
    Map<String, String> recorded = recorded();
    assertEquals(recorded.size(), recorded.values().stream().distinct().count());
  }

  private static void assertAsRecorded(Map<String, String> recorded, Map<String, String> replayed) {
    List<String> different = new ArrayList<>();
    replayed.forEach(
        (history, digest) -> {
          if (!digest.equals(recorded.get(history))) {
            different.add(history);
          }
        });
    assertEquals(List.of(), different, "histories that differ from their recorded digests");
  }

  /**
   * Replays the histories, which share no data, on {@code threads} threads. Returns the digests by
   * the name of the history.
   */
  private static Map<String, String> replay(List<String> histories, int threads, Path dumpTo)
      throws InterruptedException {
    Queue<String> pending = new ConcurrentLinkedQueue<>(histories);
    Map<String, String> digests = new ConcurrentSkipListMap<>();
    Map<String, Throwable> failed = new ConcurrentSkipListMap<>();
    List<Thread> replayThreads = new ArrayList<>();
    for (int i = 0; i < threads; i++) {
      Thread thread = new Thread(() -> replayAll(pending, dumpTo, digests, failed));
      replayThreads.add(thread);
      thread.start();
    }
    for (Thread thread : replayThreads) {
      thread.join();
    }
    assertEquals(Map.of(), failed);
    assertEquals(histories.size(), digests.size(), "histories replayed");
    return digests;
  }

  private static void replayAll(
      Queue<String> pending,
      Path dumpTo,
      Map<String, String> digests,
      Map<String, Throwable> failed) {
    for (String history = pending.poll(); history != null; history = pending.poll()) {
      try {
        digests.put(history, HistoryDigest.of(history, dumpTo));
      } catch (Throwable failure) {
        failed.put(history, failure);
      }
    }
  }
}
