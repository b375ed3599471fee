package mallowstall.core.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import java.util.Set;
import mallowstall.Constants;
import org.junit.jupiter.api.Test;

/** Tests which tasks count as completed and which pieces of the bitmap are still to be written. */
class CompletedTasksTest {
  private final CompletedTasks completed = new CompletedTasks();

  @Test
  void completionMakesItsPieceDirty() {
    completed.add(Constants.BITS_PER_PIECE);
    assertTrue(completed.contains(Constants.BITS_PER_PIECE));
    assertFalse(completed.contains(0));
    assertEquals(1, completed.count());
    assertEquals(Set.of(1), completed.dirtyPieces());
  }

  @Test
  void recordedCompletionsAreNotDirtyAndCountOnce() {
    completed.add(3);
    BitSet recorded = new BitSet();
    recorded.set(3);
    recorded.set(5);
    completed.merge(recorded);
    assertEquals(2, completed.count());
    assertEquals(Set.of(0), completed.dirtyPieces());
  }

  @Test
  void failedWriteMakesItsPiecesDirtyAgain() {
    completed.add(0);
    completed.add(Constants.BITS_PER_PIECE);
    List<Integer> pieces = completed.takeDirty(Set.of(1, 2));
    assertEquals(List.of(1), pieces);
    assertEquals(Set.of(0), completed.dirtyPieces());
    completed.markDirty(pieces);
    assertEquals(Set.of(0, 1), completed.dirtyPieces());
    completed.discardDirty();
    assertFalse(completed.isDirty());
    assertEquals(2, completed.count());
  }
}
