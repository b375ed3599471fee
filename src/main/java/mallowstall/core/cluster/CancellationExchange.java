package mallowstall.core.cluster;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobOutcome;

/**
 * Exchange of cancellations between controllers. A controller without the state service learns of
 * them from its peers, so that it can stop those tasks and need not let all worker leases expire.
 *
 * <p>Every status update names all cancellations in this controller's replica that are newer than
 * the replica of the receiver, by the revision that it published; nothing counts as acknowledged,
 * so a lost update costs nothing. Acting on a peer's cancellation is safe, since an outcome never
 * changes: it only stops tasks and rejects starts. It makes no entry of the replica, since the
 * other fields are unknown. See docs/design.md, "ran_cancelled".
 */
public final class CancellationExchange {
  /**
   * Count. Cancellations kept for peers that don't follow the state service: hundreds a minute for
   * as long as workers may be kept alive without it. Beyond it no peer's account of cancellations
   * counts as complete.
   */
  private static final int CANCELLATIONS_MAX = 2_000;

  /** A cancelled job and the revision at which it was recorded. */
  private record Cancelled(long revision, String job) implements Comparable<Cancelled> {
    @Override
    public int compareTo(Cancelled other) {
      return revision != other.revision
          ? Long.compare(revision, other.revision)
          : job.compareTo(other.job);
    }
  }

  private final StateStore store;
  private final Consumer<String> cancelled;

  /** Cancellations in the replica, in the order of their revisions. */
  private final TreeSet<Cancelled> recordedCancellations = new TreeSet<>();

  /** Cancellations up to this revision are no longer kept. */
  private long prunedRevision;

  /** Cancellations known from peers alone, which the replica doesn't show yet. */
  private final Set<String> reportedByPeers = new HashSet<>();

  /**
   * Creates an exchange without cancellations.
   *
   * @param store the replica that recorded cancellations come from
   * @param cancelled called with each job that becomes known as cancelled, from either source
   */
  public CancellationExchange(StateStore store, Consumer<String> cancelled) {
    this.store = store;
    this.cancelled = cancelled;
  }

  /** A job's entry has changed; {@code before} is null if it is new. */
  public void jobChanged(JobEntry before, JobEntry after) {
    if (after.outcome() == JobOutcome.CANCELLED
        && (before == null || before.outcome() != JobOutcome.CANCELLED)) {
      String id = after.spec().id();
      recordCancellation(id, store.modRevision(StateKeys.job(id)));
      cancelled.accept(id);
    }
  }

  /** Whether nothing of the job may be started and all of it must be stopped. */
  public boolean isOver(String id, JobEntry job) {
    return (job != null && job.isTerminal()) || isReportedByPeer(id);
  }

  /** The replica shows the cancellation, recorded at this revision. */
  private void recordCancellation(String job, long revision) {
    reportedByPeers.remove(job);
    recordedCancellations.add(new Cancelled(revision, job));
    while (recordedCancellations.size() > CANCELLATIONS_MAX) {
      prunedRevision = recordedCancellations.pollFirst().revision();
    }
  }

  /** Whether all that is newer than this revision is still kept. */
  public boolean retainsSince(long revision) {
    return revision >= prunedRevision;
  }

  /** Jobs cancelled after this revision. */
  public List<String> cancelledSince(long revision) {
    List<String> jobs = new ArrayList<>();
    for (Cancelled cancelled : recordedCancellations.tailSet(new Cancelled(revision + 1, ""))) {
      jobs.add(cancelled.job());
    }
    return jobs;
  }

  /** Takes in cancellations that a peer has sent; false: too many to remember. */
  boolean applyPeerCancellations(List<String> jobs) {
    boolean allRemembered = true;
    for (String id : jobs) {
      JobEntry job = store.job(id);
      if (job != null && job.isTerminal()) {
        continue;
      }
      if (reportedByPeers.contains(id)) {
        continue;
      }
      if (reportedByPeers.size() < CANCELLATIONS_MAX) {
        reportedByPeers.add(id);
      } else {
        allRemembered = false;
      }
      cancelled.accept(id);
    }
    return allRemembered;
  }

  /** Whether only a peer has reported the job as cancelled, and the replica doesn't show it. */
  public boolean isReportedByPeer(String job) {
    return !reportedByPeers.isEmpty() && reportedByPeers.contains(job);
  }
}
