package mallowstall.core.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mallowstall.Constants;
import org.junit.jupiter.api.Test;

/** Tests the backoff after which an exited replica may start again. */
class ReplicaRestartsTest {
  private final ReplicaRestarts restarts = new ReplicaRestarts();

  private List<Integer> releasedReplicas(long now) {
    List<Integer> released = new ArrayList<>();
    restarts.releaseDue(now, released::add);
    return released;
  }

  @Test
  void firstExitRestartsImmediately() {
    assertTrue(restarts.recordExit(3, 0, 1_000));
    assertEquals(0, restarts.waitingCount());
  }

  /**
   * A worker keeps the result of a completed task, so each further start of the task ends at once.
   */
  @Test
  void repeatedExitsBackOffWithoutGivingUp() {
    long now = 1_000;
    restarts.recordExit(3, 0, now);
    long backoffMs = Constants.BACKOFF_INITIAL_MS;
    for (int i = 0; i < 20; i++) {
      assertFalse(restarts.recordExit(3, 0, now), "exit " + i);
      assertEquals(1, restarts.waitingCount());
      assertEquals(List.of(), releasedReplicas(now + backoffMs - 1));
      assertEquals(List.of(3), releasedReplicas(now + backoffMs), "exit " + i);
      assertEquals(0, restarts.waitingCount());
      now += backoffMs;
      backoffMs = Math.min(Constants.BACKOFF_MAX_MS, backoffMs * 2);
    }
    assertEquals(Constants.BACKOFF_MAX_MS, backoffMs);
  }

  @Test
  void backoffIsPerReplica() {
    restarts.recordExit(1, 0, 0);
    assertFalse(restarts.recordExit(1, 0, 0));
    assertTrue(restarts.recordExit(2, 0, 0));
    assertEquals(1, restarts.waitingCount());
  }

  @Test
  void longRunningReplicaRestartsImmediately() {
    restarts.recordExit(1, 0, 0);
    assertFalse(restarts.recordExit(1, 0, 0));
    releasedReplicas(Constants.BACKOFF_INITIAL_MS);
    assertTrue(restarts.recordExit(1, ReplicaRestarts.REPLICA_STABLE_MS, 20_000));
    assertTrue(restarts.recordExit(1, 0, 20_500));
  }
}
