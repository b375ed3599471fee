package mallowstall.core.jobs;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import mallowstall.core.kv.JobBitmaps;

/**
 * The completed tasks of a led job, and which pieces of its completion bitmap are dirty: they have
 * bits that aren't known to be recorded in the state service. Mutable; not thread-safe.
 */
final class CompletedTasks {
  private final BitSet tasks = new BitSet();
  private int count;
  private final Set<Integer> dirtyPieces = new TreeSet<>();

  /** The task has completed; its piece is dirty. */
  void add(int task) {
    tasks.set(task);
    count++;
    dirtyPieces.add(JobBitmaps.pieceIndex(task));
  }

  /** Takes in completions that are recorded in the state service. */
  void merge(BitSet recorded) {
    tasks.or(recorded);
    count = tasks.cardinality();
  }

  /** Whether the task has completed. */
  boolean contains(int task) {
    return tasks.get(task);
  }

  /** Number of completed tasks. */
  int count() {
    return count;
  }

  /** One bit per completed task, to be read only. */
  BitSet bits() {
    return tasks;
  }

  /** Indices of the dirty pieces in ascending order, to be read only. */
  Set<Integer> dirtyPieces() {
    return dirtyPieces;
  }

  /** Whether some completion isn't known to be recorded. */
  boolean isDirty() {
    return !dirtyPieces.isEmpty();
  }

  /**
   * A write of these pieces is being sent.
   *
   * @return those of the pieces that were dirty; they no longer are unless the write fails
   */
  List<Integer> takeDirty(Collection<Integer> written) {
    List<Integer> pieces = new ArrayList<>(dirtyPieces);
    pieces.retainAll(written);
    dirtyPieces.removeAll(pieces);
    return pieces;
  }

  /** The pieces aren't known to be recorded: they are dirty again. */
  void markDirty(List<Integer> pieces) {
    dirtyPieces.addAll(pieces);
  }

  /** Completions of a cancelled job need not be recorded. */
  void discardDirty() {
    dirtyPieces.clear();
  }
}
