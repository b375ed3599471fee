package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListSet;
import org.junit.jupiter.api.Test;

/** A range of seeds plays just those; a wrong one can't play nothing and pass. */
class SeedSearchTest {
  private static Set<Long> seedsPlayed(String range) throws InterruptedException {
    Set<Long> played = new ConcurrentSkipListSet<>();
    new SeedSearch(range).runAll(played::add, () -> "");
    return played;
  }

  @Test
  void eachSeedOfTheRangeIsPlayed() throws InterruptedException {
    assertEquals(Set.of(7L), seedsPlayed("7"));
    assertEquals(Set.of(7L, 8L, 9L), seedsPlayed("7-9"));
    assertEquals(Set.of(7L), seedsPlayed("7-7"));
  }

  @Test
  void malformedAndEmptyRangesAreRefusedInOneLine() {
    for (String range : List.of("", "9-7", "a", "1-", "-7", "1-2-3", "1 - 2", "7,8")) {
      IllegalArgumentException error =
          assertThrows(IllegalArgumentException.class, () -> new SeedSearch(range), range);
      assertTrue(error.getMessage().startsWith("mallowstall.seeds: expected"), error.getMessage());
      assertEquals(1, error.getMessage().lines().count());
    }
  }
}
