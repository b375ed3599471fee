package mallowstall.core.jobs;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import mallowstall.core.kv.JobBitmaps;

/**
 * The completed tasks of a led job, and the dirty pieces of its completion bitmap. A piece is dirty
 * if it has bits that are not known to be recorded in the state service. Mutable; not thread-safe.
 */
final class CompletedTasks {
  private final BitSet tasks = new BitSet();
  private int count;
  private final Set<Integer> dirtyPieces = new TreeSet<>();

  /** Adds a completed task and marks its piece as dirty. */
  void add(int task) {
    tasks.set(task);
    count++;
    dirtyPieces.add(JobBitmaps.pieceIndex(task));
  }

  /** Adds completions that are already recorded in the state service; no piece becomes dirty. */
  void merge(BitSet recorded) {
    tasks.or(recorded);
    count = tasks.cardinality();
  }

  /** Returns whether the task has completed. */
  boolean contains(int task) {
    return tasks.get(task);
  }

  /** Returns the number of completed tasks. */
  int count() {
    return count;
  }

  /** Returns a live view with one bit set per completed task; callers must not change it. */
  BitSet bits() {
    return tasks;
  }

  /**
   * Returns a live view of the indices of the dirty pieces in ascending order; callers must not
   * change it.
   */
  Set<Integer> dirtyPieces() {
    return dirtyPieces;
  }

  /** Returns whether there are completions that are not known to be recorded. */
  boolean isDirty() {
    return !dirtyPieces.isEmpty();
  }

  /**
   * Marks pieces as clean because a write of them is being sent.
   *
   * @return the pieces that were dirty; if the write fails, the caller must mark them dirty again
   */
  List<Integer> takeDirty(Collection<Integer> written) {
    List<Integer> pieces = new ArrayList<>(dirtyPieces);
    pieces.retainAll(written);
    dirtyPieces.removeAll(pieces);
    return pieces;
  }

  /** Marks pieces as dirty again, because the write of them is not known to be applied. */
  void markDirty(List<Integer> pieces) {
    dirtyPieces.addAll(pieces);
  }

  /** Marks all pieces as clean, because the completions of a cancelled job need not be recorded. */
  void discardDirty() {
    dirtyPieces.clear();
  }
}
