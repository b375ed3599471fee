package mallowstall.core.api;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.AcceptanceQueryEnd;
import mallowstall.core.model.CoreSettings;

/**
 * Ends the leases that peers have granted for this controller's acceptance queries, as soon as no
 * refusal in transit relies on them. A job whose lease is needed for longer delays the end of no
 * other lease. Mutable; confined to the event loop.
 */
public final class QueryEnds {
  /** Time in milliseconds for which ends are collected into a message to each peer. */
  private static final long END_DELAY_MS = 20;

  private final EventClock clock;
  private final CoreSettings settings;
  private final Effects effects;
  private final StateStore store;
  private final RefusalsInTransit refusalsInTransit;

  /** Queries with jobs whose leases have not ended, by serial. */
  private final TreeMap<Long, OpenQuery> openQueries = new TreeMap<>();

  private long lastSerial = FormerProcessLeases.QUERY_SERIAL;

  /** Peers were notified that the queries up to this one have ended. */
  private long lastSentEnd = lastSerial;

  private boolean endScheduled;

  /** The jobs of a query whose leases have not ended. */
  private static final class OpenQuery {
    private final Set<String> jobs;

    /** Whether lookups still wait for replies, on which refusals may then rely. */
    private boolean pending = true;

    OpenQuery(Set<String> jobs) {
      this.jobs = new HashSet<>(jobs);
    }
  }

  /** Creates an instance that sends ends through {@code effects}. */
  public QueryEnds(
      EventClock clock,
      CoreSettings settings,
      Effects effects,
      StateStore store,
      RefusalsInTransit refusalsInTransit) {
    this.clock = clock;
    this.settings = settings;
    this.effects = effects;
    this.store = store;
    this.refusalsInTransit = refusalsInTransit;
  }

  /** Records that a query about the jobs is sent. Its serial is larger than all earlier ones. */
  void queryBegun(long serial, Set<String> jobs) {
    lastSerial = serial;
    openQueries.put(serial, new OpenQuery(jobs));
  }

  /** Records that all lookups of the query have been completed. */
  void queryCompleted(long serial) {
    openQueries.get(serial).pending = false;
    endUnneededLeases();
  }

  /**
   * Ends the leases that are no longer needed. Must be called when a refusal has arrived or has
   * expired.
   */
  public void endUnneededLeases() {
    if (!endScheduled) {
      endScheduled = true;
      clock.schedule(END_DELAY_MS, this::sendEnd);
    }
  }

  private void sendEnd() {
    endScheduled = false;
    Map<String, Long> serialByJob = removeUnneeded();
    long ended = openQueries.isEmpty() ? lastSerial : openQueries.firstKey() - 1;
    serialByJob.values().removeIf(serial -> serial <= ended);
    if (ended == lastSentEnd && serialByJob.isEmpty()) {
      return;
    }
    lastSentEnd = ended;
    List<String> jobs = List.copyOf(serialByJob.keySet());
    for (String peer : settings.peers()) {
      effects.send(
          peer,
          new AcceptanceQueryEnd(settings.node(), store.incarnation(), ended, jobs, lastSerial));
    }
  }

  /**
   * Removes the jobs whose leases are no longer needed. Returns them with the serial of the newest
   * query about each.
   */
  private Map<String, Long> removeUnneeded() {
    Set<String> pendingJobs = pendingJobs();
    Map<String, Long> serialByJob = new HashMap<>();
    Iterator<Map.Entry<Long, OpenQuery>> queries = openQueries.entrySet().iterator();
    while (queries.hasNext()) {
      Map.Entry<Long, OpenQuery> query = queries.next();
      Set<String> jobs = query.getValue().jobs;
      for (String job : List.copyOf(jobs)) {
        if (!refusalsInTransit.contains(job) && !pendingJobs.contains(job)) {
          jobs.remove(job);
          serialByJob.put(job, query.getKey());
        }
      }
      if (jobs.isEmpty()) {
        queries.remove();
      }
    }
    return serialByJob;
  }

  private Set<String> pendingJobs() {
    Set<String> pendingJobs = new HashSet<>();
    for (OpenQuery query : openQueries.values()) {
      if (query.pending) {
        pendingJobs.addAll(query.jobs);
      }
    }
    return pendingJobs;
  }
}
