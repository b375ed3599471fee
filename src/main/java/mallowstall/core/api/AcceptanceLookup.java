package mallowstall.core.api;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import mallowstall.core.cluster.ClusterVersion;
import mallowstall.core.cluster.Connectivity;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.AcceptanceQuery;
import mallowstall.core.model.AcceptanceReply;
import mallowstall.core.model.CoreSettings;

/**
 * Determines by a query to all peers whether a job whose entry a read did not find has been
 * accepted meanwhile. Lookups that begin shortly after one another share a message to each peer.
 * Lookups beyond a maximum number are unconfirmed at once. See docs/design.md, "Answers to users".
 * Mutable; confined to the event loop.
 */
public final class AcceptanceLookup {
  /** What is known about the job's acceptance at the time of the callback. */
  enum Absence {
    /** No controller has reported the job as accepted, and none does so during this event. */
    CONFIRMED,
    /** Some controller may have reported the job as accepted, or may do so at any moment. */
    UNCONFIRMED
  }

  /**
   * Minimum time between two queries in milliseconds, so that the lookups of a burst share a query.
   */
  private static final long QUERY_INTERVAL_MIN_MS = 100;

  /** Maximum number of lookups that wait for a query or for its replies. */
  static final int LOOKUPS_MAX = 2_000;

  private final EventClock clock;
  private final CoreSettings settings;
  private final Effects effects;
  private final StateStore store;
  private final ClusterVersion clusterVersion;
  private final Connectivity connectivity;
  private final QueryEnds queryEnds;

  /** Lookups that are not part of a query yet. */
  private final List<Lookup> unsent = new ArrayList<>();

  /** Queries to which some peer has not replied yet, by their serial, the oldest first. */
  private final Map<Long, Query> unanswered = new LinkedHashMap<>();

  private long lastSerial = FormerProcessLeases.QUERY_SERIAL;
  private long lastQueryMs = Long.MIN_VALUE / 2;
  private boolean queryScheduled;
  private int pendingLookups;

  /** A lookup of one job. Its callback is called exactly once. */
  private final class Lookup {
    private final String job;
    private final long validUntilMs;
    private Consumer<Absence> callback;

    Lookup(String job, long validUntilMs, Consumer<Absence> callback) {
      this.job = job;
      this.validUntilMs = validUntilMs;
      this.callback = callback;
      pendingLookups++;
    }

    void complete(Absence absence) {
      if (callback == null) {
        return;
      }
      Consumer<Absence> completed = callback;
      callback = null;
      pendingLookups--;
      // a peer may have restarted with an older version, whose leases end sooner
      boolean isValid = clock.now() <= validUntilMs && clusterVersion.allowsAbsenceLeases();
      completed.accept(isValid ? absence : Absence.UNCONFIRMED);
    }
  }

  /** The lookups that share one message to each peer. */
  private static final class Query {
    private final Map<String, List<Lookup>> lookups = new HashMap<>();
    private final Set<String> pendingPeers;
    private final Set<String> possiblyAccepted = new HashSet<>();

    Query(List<Lookup> newLookups, List<String> peers) {
      for (Lookup lookup : newLookups) {
        lookups.computeIfAbsent(lookup.job, job -> new ArrayList<>()).add(lookup);
      }
      pendingPeers = new HashSet<>(peers);
    }

    /** Completes all lookups. None of them is confirmed unless all peers have replied. */
    void complete() {
      lookups.forEach(
          (job, jobLookups) -> {
            boolean confirmed = pendingPeers.isEmpty() && !possiblyAccepted.contains(job);
            Absence absence = confirmed ? Absence.CONFIRMED : Absence.UNCONFIRMED;
            jobLookups.forEach(lookup -> lookup.complete(absence));
          });
    }
  }

  /**
   * Creates a lookup that sends queries through {@code effects}, once every controller supports the
   * messages.
   */
  public AcceptanceLookup(
      EventClock clock,
      CoreSettings settings,
      Effects effects,
      StateStore store,
      ClusterVersion clusterVersion,
      Connectivity connectivity,
      QueryEnds queryEnds) {
    this.clock = clock;
    this.settings = settings;
    this.effects = effects;
    this.store = store;
    this.clusterVersion = clusterVersion;
    this.connectivity = connectivity;
    this.queryEnds = queryEnds;
  }

  /**
   * Determines whether the job was never accepted. The callback is called exactly once, possibly
   * before this method returns.
   *
   * @param validUntilMs steady time in milliseconds after which the absence is no longer confirmed;
   *     at most {@link AnswerValidity#VALID_MS} from now
   */
  void lookUp(String job, long validUntilMs, Consumer<Absence> callback) {
    if (settings.peers().isEmpty()) {
      callback.accept(Absence.CONFIRMED);
      return;
    }
    if (!clusterVersion.allowsAbsenceLeases()
        || !connectivity.hasRecentUpdatesFromAllPeers()
        || pendingLookups >= LOOKUPS_MAX) {
      callback.accept(Absence.UNCONFIRMED);
      return;
    }
    Lookup lookup = new Lookup(job, validUntilMs, callback);
    clock.schedule(
        Math.max(0, validUntilMs - clock.now() + 1), () -> lookup.complete(Absence.UNCONFIRMED));
    unsent.add(lookup);
    scheduleQuery();
  }

  private void scheduleQuery() {
    if (queryScheduled) {
      return;
    }
    queryScheduled = true;
    long delayMs = lastQueryMs + QUERY_INTERVAL_MIN_MS - clock.now();
    clock.schedule(Math.max(0, delayMs), this::sendQuery);
  }

  private void sendQuery() {
    queryScheduled = false;
    unsent.removeIf(lookup -> lookup.callback == null);
    if (unsent.isEmpty()) {
      return;
    }
    lastQueryMs = clock.now();
    long serial = ++lastSerial;
    Query query = new Query(unsent, settings.peers());
    unsent.clear();
    unanswered.put(serial, query);
    queryEnds.queryBegun(serial, query.lookups.keySet());
    // by then all lookups of this query have been completed
    clock.schedule(AnswerValidity.VALID_MS + 1, () -> close(serial));
    List<String> jobs = List.copyOf(query.lookups.keySet());
    for (String peer : settings.peers()) {
      effects.send(peer, new AcceptanceQuery(settings.node(), store.incarnation(), serial, jobs));
    }
  }

  /**
   * Handles a peer's reply to a query. Replies to a former process of this controller are ignored.
   */
  public void receive(AcceptanceReply reply) {
    Query query = unanswered.get(reply.serial());
    if (query == null
        || reply.incarnation() != store.incarnation()
        || !query.pendingPeers.remove(reply.node())) {
      return;
    }
    query.possiblyAccepted.addAll(reply.possiblyAccepted());
    if (query.pendingPeers.isEmpty()) {
      close(reply.serial());
    }
  }

  /**
   * Closes all unanswered queries because a new process of a peer may have started. The new process
   * does not know the leases that its predecessor granted, so lookups that rely on those leases are
   * not confirmed.
   */
  public void closeUnanswered() {
    List.copyOf(unanswered.keySet()).forEach(this::close);
  }

  /** Completes the lookups of a query. Later replies to the query are ignored. */
  private void close(long serial) {
    Query query = unanswered.remove(serial);
    if (query == null) {
      return;
    }
    query.complete();
    queryEnds.queryCompleted(serial);
  }
}
