package mallowstall.core.api;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mallowstall.core.cluster.ClusterVersion;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobOutcome;
import mallowstall.core.model.OutcomeAcknowledgement;
import mallowstall.core.model.OutcomeAnnouncement;

/**
 * Determines when users may be informed of a job's outcome. This is the case once the outcome is
 * settled: no controller can respond with an open state any more. An outcome is settled when every
 * peer has acknowledged it, or when it has been known here for longer than any controller uses a
 * read that was sent before. This is invalidation with acknowledgement, with a lease on the read
 * for a peer that does not acknowledge: docs/design.md, "Answers to users". Mutable; confined to
 * the event loop.
 */
public final class OutcomeAnnouncer {
  /**
   * Time in milliseconds after which a known outcome needs no acknowledgement. By then no response
   * based on a read without the outcome may be sent any more.
   */
  private static final long SETTLED_AFTER_MS = AnswerValidity.VALID_MS + AnswerValidity.MARGIN_MS;

  private final EventClock clock;
  private final CoreSettings settings;
  private final Effects effects;
  private final StateStore store;
  private final ClusterVersion clusterVersion;

  /** Outcomes that became known within the last {@link #SETTLED_AFTER_MS}, the oldest first. */
  private final Map<String, RecentOutcome> recentOutcomes = new LinkedHashMap<>();

  /**
   * Steady time in milliseconds of the last listing that contained outcomes. Listed outcomes are
   * not recorded one by one.
   */
  private long listedAtMs = Long.MIN_VALUE / 2;

  /** An outcome that other controllers may not know yet. */
  private static final class RecentOutcome {
    private final long knownSinceMs;
    private final JobOutcome outcome;
    private final Set<String> unacknowledged;
    private final List<Runnable> callbacks = new ArrayList<>();
    private boolean announced;

    RecentOutcome(JobOutcome outcome, long knownSinceMs, List<String> peers) {
      this.outcome = outcome;
      this.knownSinceMs = knownSinceMs;
      this.unacknowledged = new HashSet<>(peers);
    }

    boolean isSettled(long now) {
      return unacknowledged.isEmpty() || now - knownSinceMs >= SETTLED_AFTER_MS;
    }

    /** Runs all callbacks that wait for the outcome to be settled. */
    void release() {
      List<Runnable> released = new ArrayList<>(callbacks);
      callbacks.clear();
      released.forEach(Runnable::run);
    }
  }

  /**
   * Creates an announcer that sends through {@code effects}, once every controller supports the
   * messages.
   */
  public OutcomeAnnouncer(
      EventClock clock,
      CoreSettings settings,
      Effects effects,
      StateStore store,
      ClusterVersion clusterVersion) {
    this.clock = clock;
    this.settings = settings;
    this.effects = effects;
    this.store = store;
    this.clusterVersion = clusterVersion;
  }

  /** Called when the job's entry in the state replica has changed. Records a new outcome. */
  public void jobChanged(JobEntry before, JobEntry job) {
    if (!job.isTerminal() || (before != null && before.isTerminal())) {
      return;
    }
    if (store.synced()) {
      recordOutcome(job.spec().id(), job.outcome());
    } else {
      listedAtMs = clock.now();
    }
  }

  /** Records that the outcome is known here from now on, unless it was known before. */
  public void recordOutcome(String job, JobOutcome outcome) {
    removeSettled();
    recentOutcomes.computeIfAbsent(
        job, id -> new RecentOutcome(outcome, clock.now(), settings.peers()));
  }

  private void removeSettled() {
    Iterator<RecentOutcome> oldest = recentOutcomes.values().iterator();
    while (oldest.hasNext()) {
      RecentOutcome recent = oldest.next();
      if (clock.now() - recent.knownSinceMs < SETTLED_AFTER_MS || !recent.callbacks.isEmpty()) {
        return;
      }
      oldest.remove();
    }
  }

  /** Returns the job's outcome if it became known recently, perhaps from a peer; otherwise null. */
  JobOutcome recentOutcome(String job) {
    RecentOutcome recent = recentOutcomes.get(job);
    return recent == null ? null : recent.outcome;
  }

  /**
   * Runs {@code callback} as soon as users may be informed of the job's outcome, possibly before
   * this method returns. The outcome must be known here.
   */
  void whenSettled(String job, JobOutcome outcome, Runnable callback) {
    long now = clock.now();
    if (now - listedAtMs < SETTLED_AFTER_MS) {
      recordOutcome(job, outcome);
    }
    RecentOutcome recent = recentOutcomes.get(job);
    if (recent == null || recent.isSettled(now)) {
      callback.run();
      return;
    }
    if (recent.callbacks.isEmpty()) {
      clock.schedule(recent.knownSinceMs + SETTLED_AFTER_MS - now, recent::release);
    }
    recent.callbacks.add(callback);
    announce(job, recent);
  }

  private void announce(String job, RecentOutcome recent) {
    if (recent.announced || !clusterVersion.allowsOutcomeAnnouncements()) {
      return;
    }
    recent.announced = true;
    for (String peer : recent.unacknowledged) {
      effects.send(peer, new OutcomeAnnouncement(settings.node(), job, recent.outcome));
    }
  }

  /**
   * Records the outcome that a peer announces and acknowledges it. From now on this controller does
   * not report the job as open to any user.
   */
  public void receive(OutcomeAnnouncement announcement) {
    recordOutcome(announcement.job(), announcement.outcome());
    effects.send(
        announcement.node(), new OutcomeAcknowledgement(settings.node(), announcement.job()));
  }

  /** Handles an acknowledgement: the peer does not report the job as open to any user any more. */
  public void receive(OutcomeAcknowledgement acknowledgement) {
    RecentOutcome recent = recentOutcomes.get(acknowledgement.job());
    if (recent == null || !recent.unacknowledged.remove(acknowledgement.node())) {
      return;
    }
    if (recent.unacknowledged.isEmpty()) {
      recent.release();
    }
  }
}
