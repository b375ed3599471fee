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
import mallowstall.core.model.AcceptanceQueryEnd;
import mallowstall.core.model.AcceptanceReply;
import mallowstall.core.model.CoreSettings;

/**
 * Finds out from all peers whether a job of which a read showed no entry was accepted meanwhile.
 * Lookups that come close together share a message to each peer, and beyond a bound they are
 * refused at once. See docs/design.md, "Answers to users". Mutable; thread: the event loop's.
 */
public final class AcceptanceLookup {
  /** What is known of a job's acceptance in the moment of the callback. */
  enum Absence {
    /** No controller has called the job accepted, and none does within this event. */
    CONFIRMED,
    /** Some controller may have called it accepted, or may do so any moment. */
    UNCONFIRMED
  }

  /** ms. Least time between two queries to the peers: joins the lookups of a burst. */
  private static final long QUERY_INTERVAL_MIN_MS = 100;

  /** Count. Lookups that wait for a query or for its replies. */
  static final int LOOKUPS_MAX = 2_000;

  private final EventClock clock;
  private final CoreSettings settings;
  private final Effects effects;
  private final StateStore store;
  private final ClusterVersion clusterVersion;
  private final Connectivity connectivity;

  /** Lookups that no query has asked for yet. */
  private final List<Lookup> unsent = new ArrayList<>();

  /** Queries that some peer hasn't answered yet, by their serial, the oldest first. */
  private final Map<Long, Query> unanswered = new LinkedHashMap<>();

  private long lastSerial = FormerLeases.SERIAL;

  /** Peers were told, or will be, that queries up to this one have ended. */
  private long lastEndedSerial = lastSerial;

  private long lastQueryMs = Long.MIN_VALUE / 2;
  private boolean queryScheduled;
  private int pendingLookups;

  /** One question about a job; it is called back exactly once. */
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
      // a peer may have come back as an older version, whose leases end sooner
      boolean counts = clock.now() <= validUntilMs && clusterVersion.allowsAcceptanceQueries();
      completed.accept(counts ? absence : Absence.UNCONFIRMED);
    }
  }

  /** Lookups that one message asks all peers for. */
  private static final class Query {
    private final Map<String, List<Lookup>> lookups = new HashMap<>();
    private final Set<String> silentPeers;
    private final Set<String> possiblyAccepted = new HashSet<>();

    Query(List<Lookup> asked, List<String> peers) {
      for (Lookup lookup : asked) {
        lookups.computeIfAbsent(lookup.job, job -> new ArrayList<>()).add(lookup);
      }
      silentPeers = new HashSet<>(peers);
    }

    /** Answers all lookups; without the word of all peers none of them is confirmed. */
    void complete() {
      lookups.forEach(
          (job, asked) -> {
            boolean confirmed = silentPeers.isEmpty() && !possiblyAccepted.contains(job);
            Absence absence = confirmed ? Absence.CONFIRMED : Absence.UNCONFIRMED;
            asked.forEach(lookup -> lookup.complete(absence));
          });
    }
  }

  /** Asks through {@code effects}, once every controller knows the messages. */
  public AcceptanceLookup(
      EventClock clock,
      CoreSettings settings,
      Effects effects,
      StateStore store,
      ClusterVersion clusterVersion,
      Connectivity connectivity) {
    this.clock = clock;
    this.settings = settings;
    this.effects = effects;
    this.store = store;
    this.clusterVersion = clusterVersion;
    this.connectivity = connectivity;
  }

  /**
   * Calls back, once and perhaps at once, whether the job was never accepted.
   *
   * @param validUntilMs steady ms after which the absence isn't confirmed any more: at most {@link
   *     AnswerValidity#VALID_MS} from now
   */
  void lookUp(String job, long validUntilMs, Consumer<Absence> callback) {
    if (settings.peers().isEmpty()) {
      callback.accept(Absence.CONFIRMED);
      return;
    }
    if (!clusterVersion.allowsAcceptanceQueries()
        || !connectivity.hearsAllPeers()
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
    // by then all its lookups have been given up
    clock.schedule(AnswerValidity.VALID_MS + 1, () -> close(serial));
    List<String> jobs = List.copyOf(query.lookups.keySet());
    for (String peer : settings.peers()) {
      effects.send(peer, new AcceptanceQuery(settings.node(), store.incarnation(), serial, jobs));
    }
  }

  /** A peer answers a query; replies to a former process of this controller are ignored. */
  public void receive(AcceptanceReply reply) {
    Query query = unanswered.get(reply.serial());
    if (query == null
        || reply.incarnation() != store.incarnation()
        || !query.silentPeers.remove(reply.node())) {
      return;
    }
    query.possiblyAccepted.addAll(reply.possiblyAccepted());
    if (query.silentPeers.isEmpty()) {
      close(reply.serial());
    }
  }

  /**
   * A new process of a peer may have begun. The leases that its predecessor granted count no more,
   * so whatever was to be confirmed by them isn't.
   */
  public void giveUpUnanswered() {
    List.copyOf(unanswered.keySet()).forEach(this::close);
  }

  /** Answers all that still waits for the query's replies, of which no more are awaited. */
  private void close(long serial) {
    Query query = unanswered.remove(serial);
    if (query == null) {
      return;
    }
    query.complete();
    endLeases();
  }

  /**
   * Ends the leases of queries that have ended, once their answers have left. Peers end the leases
   * of all queries up to the one that they are told, so earlier ones must have ended, too.
   */
  private void endLeases() {
    long ended = unanswered.isEmpty() ? lastSerial : unanswered.keySet().iterator().next() - 1;
    if (ended <= lastEndedSerial) {
      return;
    }
    lastEndedSerial = ended;
    // The clock stands still until this event's answers have left, however long that takes; the
    // next event's doesn't show any time before.
    clock.schedule(1, () -> clock.schedule(AnswerValidity.MARGIN_MS, () -> sendEnd(ended)));
  }

  private void sendEnd(long serial) {
    for (String peer : settings.peers()) {
      effects.send(peer, new AcceptanceQueryEnd(settings.node(), store.incarnation(), serial));
    }
  }
}
