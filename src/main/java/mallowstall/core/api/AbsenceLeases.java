package mallowstall.core.api;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.AcceptanceQuery;
import mallowstall.core.model.AcceptanceQueryEnd;
import mallowstall.core.model.AcceptanceReply;
import mallowstall.core.model.CoreSettings;

/**
 * Answers peers that are about to tell users that jobs were never accepted. For a job that this
 * controller hasn't called accepted it grants the peer a lease: while it lasts, this controller
 * calls the job accepted to nobody. See docs/design.md, "Answers to users". Mutable; thread: the
 * event loop's.
 */
public final class AbsenceLeases {
  /**
   * ms. Longer than any user waits for an answer, counted from when the asking controller's message
   * arrives: so a refusal that rests on the lease reaches nobody after it, however late it leaves.
   */
  static final long LEASE_MS = AnswerValidity.USER_TIMEOUT_MS + AnswerValidity.MARGIN_MS;

  /** Count. Beyond it this controller vouches for no further job. */
  static final int LEASES_MAX = 10_000;

  private final EventClock clock;
  private final CoreSettings settings;
  private final Effects effects;
  private final StateStore store;
  private final FormerLeases formerLeases;
  private final Runnable onNewPeerProcess;

  /** The newest known process of each peer, by its incarnation. */
  private final Map<String, Long> peerIncarnations = new HashMap<>();

  /** Leases by job and by the controller that has them, in the order in which they end. */
  private final Map<LeaseKey, Lease> leases = new LinkedHashMap<>();

  /** Jobs that are being recorded, and are called accepted as soon as they are. */
  private final Set<String> submissionsInFlight = new HashSet<>();

  /** Each controller has one lease on a job at most, which every grant extends. */
  private record LeaseKey(String job, String node) {}

  /**
   * A lease that was granted to a process, for its queries up to {@code serial}; {@code endMs} is
   * steady time.
   */
  private record Lease(long incarnation, long serial, long endMs) {
    /** Whether the controller has no use for the lease once that query has ended. */
    boolean endsWith(AcceptanceQueryEnd queryEnd) {
      return incarnation == queryEnd.incarnation() && serial <= queryEnd.serial();
    }
  }

  /**
   * Grants no lease before the first query; answers leave through {@code effects}.
   *
   * @param onNewPeerProcess gives up what rests on leases of a peer's process that was replaced
   */
  public AbsenceLeases(
      EventClock clock,
      CoreSettings settings,
      Effects effects,
      StateStore store,
      FormerLeases formerLeases,
      Runnable onNewPeerProcess) {
    this.clock = clock;
    this.settings = settings;
    this.effects = effects;
    this.store = store;
    this.formerLeases = formerLeases;
    this.onNewPeerProcess = onNewPeerProcess;
  }

  /** The job is being recorded; until that has ended no lease is granted on it. */
  void submissionBegun(String job) {
    submissionsInFlight.add(job);
  }

  /** The attempt to record the job has ended, however it did. */
  void submissionEnded(String job) {
    submissionsInFlight.remove(job);
  }

  /** Whether users may be told now that the job was accepted. */
  boolean mayCallAccepted(String job) {
    if (!formerLeases.areOver()) {
      return false;
    }
    for (String peer : settings.peers()) {
      Lease lease = leases.get(new LeaseKey(job, peer));
      if (lease != null && lease.endMs() > clock.now()) {
        return false;
      }
    }
    return true;
  }

  /**
   * A peer is about to tell users that these jobs were never accepted. A query of a former process
   * of the peer comes late, and needs no reply.
   */
  public void receive(AcceptanceQuery query) {
    long newest = peerIncarnations.getOrDefault(query.node(), 0L);
    if (!settings.peers().contains(query.node()) || query.incarnation() < newest) {
      return;
    }
    if (query.incarnation() > newest) {
      peerIncarnations.put(query.node(), query.incarnation());
      onNewPeerProcess.run();
    }
    forgetEnded();
    List<String> possiblyAccepted = new ArrayList<>();
    for (String job : query.jobs()) {
      if (!grant(job, query)) {
        possiblyAccepted.add(job);
      }
    }
    effects.send(
        query.node(),
        new AcceptanceReply(
            settings.node(), query.incarnation(), query.serial(), possiblyAccepted));
  }

  /** Grants a lease on the job, unless this process or a former one may have called it accepted. */
  private boolean grant(String job, AcceptanceQuery query) {
    boolean possiblyAccepted =
        !store.synced() || store.job(job) != null || submissionsInFlight.contains(job);
    if (possiblyAccepted || leases.size() >= LEASES_MAX) {
      return false; // a lease that was granted on the job before stays
    }
    LeaseKey key = new LeaseKey(job, query.node());
    Lease previous = leases.remove(key);
    boolean isReordered =
        previous != null
            && previous.incarnation == query.incarnation()
            && previous.serial > query.serial();
    long serial = isReordered ? previous.serial : query.serial();
    leases.put(key, new Lease(query.incarnation(), serial, clock.now() + LEASE_MS));
    return true;
  }

  private void forgetEnded() {
    Iterator<Lease> oldest = leases.values().iterator();
    while (oldest.hasNext() && oldest.next().endMs() <= clock.now()) {
      oldest.remove();
    }
  }

  /** A peer has no use any more for the leases that were granted for a query. */
  public void receive(AcceptanceQueryEnd queryEnd) {
    leases
        .entrySet()
        .removeIf(
            entry ->
                entry.getKey().node().equals(queryEnd.node())
                    && entry.getValue().endsWith(queryEnd));
  }
}
