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
 * Exchanges cancellations between controllers. A controller that can't reach the state service
 * receives them from its peers, so that it can stop the tasks of cancelled jobs and doesn't have to
 * let all worker leases expire.
 *
 * <p>A status update contains all cancellations in the sender's state replica that are newer than
 * the revision that the receiver last published for its own state replica. If the receiver has
 * published no revision or some of these cancellations are no longer kept, the update contains no
 * cancellation and no acknowledgement. Updates contain a cancellation again until the receiver's
 * revision has passed it, so a lost update does no harm. Acting on a peer's cancellation is safe:
 * the outcome of a job never changes, and the controller only stops tasks and rejects starts. The
 * cancellation isn't written to the state replica, since the other fields of the job's entry are
 * unknown. See docs/design.md, "ran_cancelled".
 */
public final class CancellationExchange {
  /**
   * Maximum number of cancellations kept for peers that can't reach the state service, and of
   * cancellations kept that peers have sent. It covers hundreds of cancellations a minute for as
   * long as workers may be kept alive without the state service. Beyond it, updates to peers with
   * older state replicas contain no cancellations, and received ones aren't recorded as complete.
   */
  private static final int CANCELLATIONS_MAX = 2_000;

  /** A cancelled job and the revision at which the cancellation was written. */
  private record Cancelled(long revision, String job) implements Comparable<Cancelled> {
    @Override
    public int compareTo(Cancelled other) {
      return revision != other.revision
          ? Long.compare(revision, other.revision)
          : job.compareTo(other.job);
    }
  }

  private final StateStore store;
  private final Consumer<String> onCancelled;

  /** Cancellations that the state replica shows, in the order of their revisions. */
  private final TreeSet<Cancelled> recordedCancellations = new TreeSet<>();

  /** The highest revision of which a cancellation is no longer kept, or 0 if all are kept. */
  private long prunedRevision;

  /** Jobs that peers have reported as cancelled and that the state replica doesn't show yet. */
  private final Set<String> reportedByPeers = new HashSet<>();

  /**
   * Creates an exchange without cancellations.
   *
   * @param store the state replica whose cancellations are sent to peers
   * @param onCancelled called with the id of a job when the state replica or a peer reports its
   *     cancellation
   */
  public CancellationExchange(StateStore store, Consumer<String> onCancelled) {
    this.store = store;
    this.onCancelled = onCancelled;
  }

  /** Handles a change of a job's entry; {@code before} is null if the job is new. */
  public void jobChanged(JobEntry before, JobEntry after) {
    if (after.outcome() == JobOutcome.CANCELLED
        && (before == null || before.outcome() != JobOutcome.CANCELLED)) {
      String id = after.spec().id();
      recordCancellation(id, store.modRevision(StateKeys.job(id)));
      onCancelled.accept(id);
    }
  }

  /**
   * Returns whether the job has ended, by its entry or by a peer's report of its cancellation. No
   * task of an ended job may be started, and its remaining tasks must be stopped.
   *
   * @param job the job's entry; null if it is unknown
   */
  public boolean hasEnded(String id, JobEntry job) {
    return (job != null && job.isTerminal()) || isReportedByPeer(id);
  }

  /** Records a cancellation in the state replica that was written at this revision. */
  private void recordCancellation(String job, long revision) {
    reportedByPeers.remove(job);
    recordedCancellations.add(new Cancelled(revision, job));
    while (recordedCancellations.size() > CANCELLATIONS_MAX) {
      prunedRevision = recordedCancellations.pollFirst().revision();
    }
  }

  /** Returns whether all cancellations newer than this revision are still kept. */
  public boolean retainsSince(long revision) {
    return revision >= prunedRevision;
  }

  /** Returns the jobs that were cancelled after this revision. */
  public List<String> cancelledSince(long revision) {
    List<String> jobs = new ArrayList<>();
    for (Cancelled cancelled : recordedCancellations.tailSet(new Cancelled(revision + 1, ""))) {
      jobs.add(cancelled.job());
    }
    return jobs;
  }

  /** Applies cancellations that a peer has sent; returns false if there are too many to keep. */
  boolean applyPeerCancellations(List<String> jobs) {
    boolean allRecorded = true;
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
        allRecorded = false;
      }
      onCancelled.accept(id);
    }
    return allRecorded;
  }

  /**
   * Returns whether a peer has reported the job as cancelled and the state replica doesn't show the
   * cancellation yet.
   */
  public boolean isReportedByPeer(String job) {
    return !reportedByPeers.isEmpty() && reportedByPeers.contains(job);
  }
}
