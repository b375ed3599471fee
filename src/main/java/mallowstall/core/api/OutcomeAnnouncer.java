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
 * Decides when users may be told that a job has ended: once no controller can call it open any
 * more. That is so when every peer has acknowledged the outcome, or when it has been known here for
 * longer than any controller answers from a read that was sent before. Invalidation with
 * acknowledgement, and a lease on the read where a peer is silent: docs/design.md, "Answers to
 * users". Mutable; thread: the event loop's.
 */
public final class OutcomeAnnouncer {
  /**
   * ms. Outcomes known for longer need no acknowledgement: no response that rests on a read without
   * the outcome may leave any more.
   */
  private static final long SETTLED_AFTER_MS = AnswerValidity.VALID_MS + AnswerValidity.MARGIN_MS;

  private final EventClock clock;
  private final CoreSettings settings;
  private final Effects effects;
  private final StateStore store;
  private final ClusterVersion clusterVersion;

  /** Outcomes that became known within the last {@link #SETTLED_AFTER_MS}, the oldest first. */
  private final Map<String, RecentOutcome> recentOutcomes = new LinkedHashMap<>();

  /** When outcomes came with a listing, in ms of the steady clock; they aren't kept one by one. */
  private long listedAtMs = Long.MIN_VALUE / 2;

  /** An outcome that other controllers may not know yet. */
  private static final class RecentOutcome {
    private final long knownSinceMs;
    private final JobOutcome outcome;
    private final Set<String> unacknowledged;
    private final List<Runnable> waiting = new ArrayList<>();
    private boolean announced;

    RecentOutcome(JobOutcome outcome, long knownSinceMs, List<String> peers) {
      this.outcome = outcome;
      this.knownSinceMs = knownSinceMs;
      this.unacknowledged = new HashSet<>(peers);
    }

    boolean isSettled(long now) {
      return unacknowledged.isEmpty() || now - knownSinceMs >= SETTLED_AFTER_MS;
    }

    /** Calls back all who wait for the outcome to be settled. */
    void release() {
      List<Runnable> released = new ArrayList<>(waiting);
      waiting.clear();
      released.forEach(Runnable::run);
    }
  }

  /** Announces through {@code effects}, once every controller knows the messages. */
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

  /** Takes note of a change of the job's entry in the state replica. */
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

  /** The outcome is known here from now on, unless it was before. */
  public void recordOutcome(String job, JobOutcome outcome) {
    forgetSettled();
    recentOutcomes.computeIfAbsent(
        job, id -> new RecentOutcome(outcome, clock.now(), settings.peers()));
  }

  private void forgetSettled() {
    Iterator<RecentOutcome> oldest = recentOutcomes.values().iterator();
    while (oldest.hasNext()) {
      RecentOutcome recent = oldest.next();
      if (clock.now() - recent.knownSinceMs < SETTLED_AFTER_MS || !recent.waiting.isEmpty()) {
        return;
      }
      oldest.remove();
    }
  }

  /** How the job has ended if that has become known lately, perhaps by a peer's word; else null. */
  JobOutcome recentOutcome(String job) {
    RecentOutcome recent = recentOutcomes.get(job);
    return recent == null ? null : recent.outcome;
  }

  /**
   * Runs {@code tell} as soon as users may be told how the job has ended, perhaps at once; the
   * outcome must be known here.
   */
  void whenSettled(String job, JobOutcome outcome, Runnable tell) {
    long now = clock.now();
    if (now - listedAtMs < SETTLED_AFTER_MS) {
      recordOutcome(job, outcome);
    }
    RecentOutcome recent = recentOutcomes.get(job);
    if (recent == null || recent.isSettled(now)) {
      tell.run();
      return;
    }
    if (recent.waiting.isEmpty()) {
      clock.schedule(recent.knownSinceMs + SETTLED_AFTER_MS - now, recent::release);
    }
    recent.waiting.add(tell);
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

  /** A peer says how a job has ended; from now on this controller calls it open to nobody. */
  public void receive(OutcomeAnnouncement announcement) {
    recordOutcome(announcement.job(), announcement.outcome());
    effects.send(
        announcement.node(), new OutcomeAcknowledgement(settings.node(), announcement.job()));
  }

  /** A peer calls the job open to nobody any more. */
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
