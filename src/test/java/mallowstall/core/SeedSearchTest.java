package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListSet;
import org.junit.jupiter.api.Test;

/** A range runs exactly its seeds; a malformed range can't pass by running no seed at all. */
class SeedSearchTest {
  private static Set<Long> seedsRun(String range) throws InterruptedException {
    Set<Long> seeds = new ConcurrentSkipListSet<>();
    new SeedSearch(range).runAll(seeds::add, () -> "");
    return seeds;
  }

  @Test
  void everySeedOfRangeIsRun() throws InterruptedException {
    assertEquals(Set.of(7L), seedsRun("7"));
    assertEquals(Set.of(7L, 8L, 9L), seedsRun("7-9"));
    assertEquals(Set.of(7L), seedsRun("7-7"));
  }

  @Test
  void malformedAndEmptyRangesAreRejectedWithOneLineMessage() {
    for (String range : List.of("", "9-7", "a", "1-", "-7", "1-2-3", "1 - 2", "7,8")) {
      IllegalArgumentException error =
          assertThrows(IllegalArgumentException.class, () -> new SeedSearch(range), range);
      assertTrue(error.getMessage().startsWith("mallowstall.seeds: expected"), error.getMessage());
      assertEquals(1, error.getMessage().lines().count());
    }
  }
}
