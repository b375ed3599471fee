package mallowstall.core.cluster;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobOutcome;

/**
 * Cancellations as controllers tell each other. Whoever the state service refuses learns of them
 * from its peers, so that it can stop those tasks and need not let everybody's leases run out.
 *
 * <p>Every statement to a peer names all cancellations in this controller's mirror that are newer
 * than that peer's own mirror, as it has told; nothing is counted as heard, so a lost statement
 * costs nothing. Acting on a peer's word is safe, since a final state never changes; it only stops
 * tasks and refuses starts, and never makes an entry of the mirror, whose other fields it lacks.
 */
public final class CancellationExchange {
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

  /** What the mirror holds, by the revision at which it came to know. */
  private final TreeSet<Cancelled> recordedCancellations = new TreeSet<>();

  /** Cancellations up to this revision are no longer kept. */
  private long prunedRevision;

  /** What only peers have told; the mirror doesn't say so yet. */
  private final Set<String> reportedByPeers = new HashSet<>();

  /** {@code cancelled} is told of each job that becomes known as cancelled, from either source. */
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

  /** The mirror has learnt of it. */
  private void recordCancellation(String job, long revision) {
    reportedByPeers.remove(job);
    recordedCancellations.add(new Cancelled(revision, job));
    while (recordedCancellations.size() > Constants.CANCELLATIONS_MAX) {
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

  /** A peer tells of these; false: too many to remember. */
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
      if (reportedByPeers.size() < Constants.CANCELLATIONS_MAX) {
        reportedByPeers.add(id);
      } else {
        allRemembered = false;
      }
      cancelled.accept(id);
    }
    return allRemembered;
  }

  /** Whether a peer has told that the job is cancelled, and the mirror doesn't know. */
  public boolean isReportedByPeer(String job) {
    return !reportedByPeers.isEmpty() && reportedByPeers.contains(job);
  }
}
