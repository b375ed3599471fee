package mallowstall.core.api;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.model.AcceptanceQuery;
import mallowstall.core.model.AcceptanceQueryEnd;

/**
 * The leases on the absence of jobs that this controller has granted to processes of its peers.
 * Each lease expires unless it is ended earlier. Mutable; confined to the event loop.
 */
final class GrantedLeases {
  private final EventClock clock;

  /** Leases by job and holder, in the order in which they expire. */
  private final Map<LeaseKey, Lease> leases = new LinkedHashMap<>();

  /** Number of leases by job. */
  private final JobCounts leaseCounts = new JobCounts();

  /**
   * A process holds at most one lease on a job, which every grant extends. The leases of a process
   * outlast the process, and don't depend on those of its successor.
   */
  record LeaseKey(String job, String node, long incarnation) {}

  /**
   * A lease that was granted for queries up to {@code serial}. It expires at {@code endMs}, a
   * steady time in milliseconds.
   */
  private record Lease(long serial, long endMs) {}

  /** Creates an instance without leases. */
  GrantedLeases(EventClock clock) {
    this.clock = clock;
  }

  /** Returns the number of leases that have not expired. */
  int size() {
    removeExpired();
    return leases.size();
  }

  /** Returns whether any process holds a lease on the job. */
  boolean contains(String job) {
    removeExpired();
    return leaseCounts.contains(job);
  }

  /** Returns a copy of the keys of all leases. */
  Set<LeaseKey> keys() {
    removeExpired();
    return new HashSet<>(leases.keySet());
  }

  /** Returns whether any of these leases has neither ended nor expired. */
  boolean containsAny(Set<LeaseKey> keys) {
    removeExpired();
    for (LeaseKey key : keys) {
      if (leases.containsKey(key)) {
        return true;
      }
    }
    return false;
  }

  /** Grants the sender of the query a lease on the job, or extends the lease that it holds. */
  void grant(String job, AcceptanceQuery query) {
    LeaseKey key = new LeaseKey(job, query.node(), query.incarnation());
    Lease previous = leases.remove(key);
    long serial = query.serial();
    if (previous == null) {
      leaseCounts.increment(job);
    } else {
      serial = Math.max(serial, previous.serial); // queries may arrive in another order
    }
    leases.put(key, new Lease(serial, clock.now() + AbsenceLeases.LEASE_MS));
  }

  /** Ends the leases that were granted for no other queries than those that have ended. */
  void end(AcceptanceQueryEnd queryEnd) {
    Iterator<Map.Entry<LeaseKey, Lease>> entries = leases.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<LeaseKey, Lease> entry = entries.next();
      LeaseKey key = entry.getKey();
      boolean isHolder =
          key.node.equals(queryEnd.node()) && key.incarnation == queryEnd.incarnation();
      if (isHolder && entry.getValue().serial <= queryEnd.serial()) {
        entries.remove();
        leaseCounts.decrement(key.job);
      }
    }
    for (String job : queryEnd.jobs()) {
      LeaseKey key = new LeaseKey(job, queryEnd.node(), queryEnd.incarnation());
      Lease lease = leases.get(key);
      if (lease != null && lease.serial <= queryEnd.jobsSerial()) {
        leases.remove(key);
        leaseCounts.decrement(job);
      }
    }
  }

  private void removeExpired() {
    Iterator<Map.Entry<LeaseKey, Lease>> oldest = leases.entrySet().iterator();
    while (oldest.hasNext()) {
      Map.Entry<LeaseKey, Lease> entry = oldest.next();
      if (entry.getValue().endMs > clock.now()) {
        return;
      }
      oldest.remove();
      leaseCounts.decrement(entry.getKey().job);
    }
  }
}
