package mallowstall.core.api;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.Metrics;

/**
 * Refusals (400, 404 or 422 responses about a job) that may still reach their users. The network
 * can hold a response that has left this controller. A refusal is therefore in transit until the
 * adapter reports that it has arrived or that nobody waits for it, and without such a report until
 * every user has stopped waiting. Meanwhile no controller may report the job as accepted. See
 * docs/design.md, "Never accepted". Mutable; confined to the event loop.
 */
public final class RefusalsInTransit {
  /** Maximum number of refusals in transit. Requests beyond it are answered 503. */
  static final int REFUSALS_MAX = 2_000;

  /** The id of a response that is no refusal. */
  static final long NONE = 0;

  private static final String EXPIRED_METRIC = "refusals_without_arrival";

  private final EventClock clock;
  private final Metrics metrics;

  /** Refusals by id, in the order in which they were added and expire. */
  private final Map<Long, Refusal> refusals = new LinkedHashMap<>();

  /** Number of refusals in transit by job. */
  private final JobCounts refusalCounts = new JobCounts();

  private long lastId = NONE;

  /** A refusal about the job, which no user waits for at {@code endMs} (steady time) or later. */
  private record Refusal(String job, long endMs) {}

  /** Creates an instance without refusals. */
  public RefusalsInTransit(EventClock clock, Metrics metrics) {
    this.clock = clock;
    this.metrics = metrics;
  }

  /** Returns whether no further refusal may be added. */
  boolean isFull() {
    return refusals.size() >= REFUSALS_MAX;
  }

  /** Adds a refusal about the job, which is about to be sent, and returns its id. */
  long add(String job) {
    long id = ++lastId;
    refusals.put(id, new Refusal(job, clock.now() + AbsenceLeases.LEASE_MS));
    refusalCounts.increment(job);
    return id;
  }

  /** Removes a refusal that has arrived or that nobody waits for. Other ids have no effect. */
  public void arrived(long id) {
    Refusal refusal = refusals.remove(id);
    if (refusal != null) {
      refusalCounts.decrement(refusal.job);
    }
  }

  /**
   * Removes the refusals that no user waits for any more, although their arrival was not reported.
   * Returns whether there were any.
   */
  public boolean removeExpired() {
    boolean removed = false;
    Iterator<Refusal> oldest = refusals.values().iterator();
    while (oldest.hasNext()) {
      Refusal refusal = oldest.next();
      if (refusal.endMs > clock.now()) {
        break;
      }
      oldest.remove();
      refusalCounts.decrement(refusal.job);
      metrics.increment(EXPIRED_METRIC);
      removed = true;
    }
    return removed;
  }

  /** Returns whether a refusal about the job may still reach its user. */
  boolean contains(String job) {
    return refusalCounts.contains(job);
  }

  /** Returns the id of the refusal that was added last, or {@link #NONE}. */
  long lastId() {
    return lastId;
  }

  /** Returns whether a refusal with this id or a smaller one is in transit. */
  boolean containsUpTo(long id) {
    return !refusals.isEmpty() && refusals.keySet().iterator().next() <= id;
  }
}
