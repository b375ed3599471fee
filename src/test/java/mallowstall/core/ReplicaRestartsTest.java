package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mallowstall.Constants;
import org.junit.jupiter.api.Test;

/** How soon a replica that has ended may start again. */
class ReplicaRestartsTest {
  private final ReplicaRestarts restarts = new ReplicaRestarts();

  private List<Integer> released(long now) {
    List<Integer> out = new ArrayList<>();
    restarts.release(now, out::add);
    return out;
  }

  @Test
  void theFirstEndIsFollowedByAStartAtOnce() {
    assertTrue(restarts.ended(3, 0, 1_000));
    assertEquals(0, restarts.waiting());
  }

  /** A worker keeps the result of a task that is done, so each start of it ends at once. */
  @Test
  void repeatedEndsWaitLongerEachTimeAndAreNeverGivenUp() {
    long now = 1_000;
    restarts.ended(3, 0, now);
    long wait = Constants.BACKOFF_FIRST_MS;
    for (int i = 0; i < 20; i++) {
      assertFalse(restarts.ended(3, 0, now), "end " + i);
      assertEquals(1, restarts.waiting());
      assertEquals(List.of(), released(now + wait - 1));
      assertEquals(List.of(3), released(now + wait), "end " + i);
      assertEquals(0, restarts.waiting());
      now += wait;
      wait = Math.min(Constants.BACKOFF_MAX_MS, wait * 2);
    }
    assertEquals(Constants.BACKOFF_MAX_MS, wait);
  }

  @Test
  void oneReplicaDoesNotHoldUpAnother() {
    restarts.ended(1, 0, 0);
    assertFalse(restarts.ended(1, 0, 0));
    assertTrue(restarts.ended(2, 0, 0));
    assertEquals(1, restarts.waiting());
  }

  @Test
  void aReplicaThatHasRunForLongStartsAtOnceAgain() {
    restarts.ended(1, 0, 0);
    assertFalse(restarts.ended(1, 0, 0));
    released(Constants.BACKOFF_FIRST_MS);
    assertTrue(restarts.ended(1, Constants.REPLICA_STABLE_MS, 20_000));
    assertTrue(restarts.ended(1, 0, 20_500));
  }
}
