package mallowstall.core;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.Model.Final;
import mallowstall.core.Model.JobRec;

/**
 * Cancellations as controllers tell each other. Whoever the state service refuses learns of them
 * from its peers, so that it can stop those tasks and need not let everybody's leases run out.
 *
 * <p>Every statement to a peer names all cancellations in this controller's mirror that are newer
 * than that peer's own mirror, as it has told; nothing is counted as heard, so a lost statement
 * costs nothing. Acting on a peer's word is safe, since a final state never changes; it only stops
 * tasks and refuses starts, and never makes an entry of the mirror, whose other fields it lacks.
 */
final class Cancellations {
  /** A cancelled job and the revision at which it was recorded. */
  private record Cancelled(long version, String job) implements Comparable<Cancelled> {
    @Override
    public int compareTo(Cancelled cancelled) {
      return version != cancelled.version
          ? Long.compare(version, cancelled.version)
          : job.compareTo(cancelled.job);
    }
  }

  private final Store store;
  private final Consumer<String> cancelled;

  /** What the mirror holds, by the revision at which it came to know. */
  private final TreeSet<Cancelled> recorded = new TreeSet<>();

  /** Cancellations up to this revision are no longer kept. */
  private long forgotten;

  /** What only peers have told; the mirror doesn't say so yet. */
  private final Set<String> told = new HashSet<>();

  /** {@code cancelled} is told of each job that becomes known as cancelled, from either source. */
  Cancellations(Store store, Consumer<String> cancelled) {
    this.store = store;
    this.cancelled = cancelled;
  }

  /** A job's entry has changed; {@code before} is null if it is new. */
  void jobChanged(JobRec before, JobRec after) {
    if (after.fin() == Final.CANCELLED && (before == null || before.fin() != Final.CANCELLED)) {
      String id = after.spec().id();
      recorded(id, store.version(Store.JOBS + id));
      cancelled.accept(id);
    }
  }

  /** Whether nothing of the job may be started and all of it must be stopped. */
  boolean isOver(String id, JobRec job) {
    return job != null && job.over() || told(id);
  }

  /** The mirror has learnt of it. */
  private void recorded(String job, long version) {
    told.remove(job);
    recorded.add(new Cancelled(version, job));
    while (recorded.size() > Constants.CANCELLED_KEPT) {
      forgotten = recorded.pollFirst().version();
    }
  }

  /** Whether all that is newer than this revision is still kept. */
  boolean keeps(long revision) {
    return revision >= forgotten;
  }

  /** Jobs cancelled after this revision. */
  List<String> since(long revision) {
    List<String> out = new ArrayList<>();
    for (Cancelled cancelled : recorded.tailSet(new Cancelled(revision + 1, ""))) {
      out.add(cancelled.job());
    }
    return out;
  }

  /** A peer tells of these; false: too many to remember. */
  boolean heard(List<String> jobs) {
    boolean all = true;
    for (String id : jobs) {
      JobRec job = store.job(id);
      if (job != null && job.over()) {
        continue;
      }
      if (told.contains(id)) {
        continue;
      }
      if (told.size() < Constants.CANCELLED_KEPT) {
        told.add(id);
      } else {
        all = false;
      }
      cancelled.accept(id);
    }
    return all;
  }

  /** Whether a peer has told that the job is cancelled, and the mirror doesn't know. */
  boolean told(String job) {
    return !told.isEmpty() && told.contains(job);
  }
}
