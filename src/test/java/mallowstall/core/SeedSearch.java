package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

/**
 * Plays the histories of the seeds that the system property {@code mallowstall.seeds} names, on two
 * threads; 100 alone if it names none.
 */
final class SeedSearch {
  private final AtomicLong next;
  private final long last;
  private final Map<Long, String> failed = new ConcurrentSkipListMap<>();

  SeedSearch() {
    String[] ends = System.getProperty("mallowstall.seeds", "100").split("-");
    next = new AtomicLong(Long.parseLong(ends[0]));
    last = Long.parseLong(ends[ends.length - 1]);
  }

  /**
   * Plays and checks each seed's history, prints those that fail and the summary, and fails if any
   * did.
   */
  void run(LongConsumer history, Supplier<String> summary) throws InterruptedException {
    long count = last - next.get() + 1;
    Thread beside = new Thread(() -> playAll(history));
    if (count > 1) {
      beside.start();
    }
    playAll(history);
    beside.join();
    if (count > 1) {
      System.out.printf(
          "%d seeds, %d failed %s; %s%n", count, failed.size(), failed.keySet(), summary.get());
    }
    assertEquals(Map.of(), failed);
  }

  private void playAll(LongConsumer history) {
    for (long seed = next.getAndIncrement(); seed <= last; seed = next.getAndIncrement()) {
      try {
        history.accept(seed);
      } catch (Throwable t) {
        failed.put(seed, t.toString());
        System.out.println("seed " + seed + ": " + t);
      }
    }
  }
}
