package mallowstall.core.api;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
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
 * Replies to peers that are about to respond to users that jobs were never accepted. On each job
 * that this controller has not reported as accepted, it grants the peer a lease. While the lease
 * lasts, this controller does not report the job as accepted to any user. See docs/design.md,
 * "Answers to users". Mutable; confined to the event loop.
 */
public final class AbsenceLeases {
  /**
   * Duration of a lease in milliseconds, counted from the arrival of the peer's query. It is longer
   * than any user waits for a response. A response that relies on the lease therefore reaches no
   * user after the lease has ended, however late that response is sent.
   */
  static final long LEASE_MS = AnswerValidity.USER_TIMEOUT_MS + AnswerValidity.MARGIN_MS;

  /** Maximum number of leases. Beyond it this controller grants no lease on any further job. */
  static final int LEASES_MAX = 10_000;

  private final EventClock clock;
  private final CoreSettings settings;
  private final Effects effects;
  private final StateStore store;
  private final FormerProcessLeases formerProcessLeases;
  private final RefusalsInTransit refusalsInTransit;
  private final Runnable onNewPeerProcess;

  /** The incarnation of the newest known process of each peer. */
  private final Map<String, Long> peerIncarnations = new HashMap<>();

  /** Refusals from before the start of the newest known process of each peer. */
  private final Map<String, FormerRefusals> formerRefusals = new HashMap<>();

  private final GrantedLeases leases;

  /** Jobs that are being recorded. Each is reported as accepted as soon as it is recorded. */
  private final Set<String> submissionsInFlight = new HashSet<>();

  /**
   * Refusals that may have been in transit when a peer's process was replaced: those of this
   * controller with ids up to {@code lastId}, which relied on the replaced process, and those that
   * relied on {@code leases}. None of them is in transit at {@code endMs} (steady time) or later.
   */
  private record FormerRefusals(long lastId, Set<GrantedLeases.LeaseKey> leases, long endMs) {}

  /**
   * Creates an instance without leases that sends its replies through {@code effects}.
   *
   * @param onNewPeerProcess called when a peer's process has been replaced; abandons what relies on
   *     leases that the replaced process granted
   */
  public AbsenceLeases(
      EventClock clock,
      CoreSettings settings,
      Effects effects,
      StateStore store,
      FormerProcessLeases formerProcessLeases,
      RefusalsInTransit refusalsInTransit,
      Runnable onNewPeerProcess) {
    this.clock = clock;
    this.settings = settings;
    this.effects = effects;
    this.store = store;
    this.formerProcessLeases = formerProcessLeases;
    this.refusalsInTransit = refusalsInTransit;
    this.onNewPeerProcess = onNewPeerProcess;
    leases = new GrantedLeases(clock);
  }

  /** Marks the job as being recorded. Until {@link #submissionEnded}, no lease is granted on it. */
  void submissionBegun(String job) {
    submissionsInFlight.add(job);
  }

  /** Marks the attempt to record the job as ended, whether it succeeded or failed. */
  void submissionEnded(String job) {
    submissionsInFlight.remove(job);
  }

  /**
   * Returns whether users may be informed now that the job was accepted: no controller's refusal
   * may still reach a user.
   */
  boolean mayReportAccepted(String job) {
    return formerProcessLeases.haveEnded()
        && !refusalsInTransit.contains(job)
        && !leases.contains(job);
  }

  /**
   * Grants leases on the jobs that a peer is about to report as never accepted, and sends the
   * reply. A query of a former process of the peer is late and is ignored, since it needs no reply.
   */
  public void receive(AcceptanceQuery query) {
    long newest = peerIncarnations.getOrDefault(query.node(), 0L);
    if (!settings.peers().contains(query.node()) || query.incarnation() < newest) {
      return;
    }
    if (query.incarnation() > newest) {
      peerProcessReplaced(query.node(), query.incarnation());
    }
    if (query.serial() == FormerProcessLeases.QUERY_SERIAL
        && mayFormerRefusalsArrive(query.node())) {
      return; // the new process repeats the query
    }
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

  private void peerProcessReplaced(String node, long incarnation) {
    peerIncarnations.put(node, incarnation);
    formerRefusals.put(
        node,
        new FormerRefusals(refusalsInTransit.lastId(), leases.keys(), clock.now() + LEASE_MS));
    onNewPeerProcess.run();
  }

  /**
   * Returns whether refusals from before the replacement of the peer's process may be in transit.
   * Every query goes to all peers. The leases that are known here therefore include those that the
   * replaced process granted, and those that it held, even if their other parties have ended, too.
   */
  private boolean mayFormerRefusalsArrive(String node) {
    FormerRefusals former = formerRefusals.get(node);
    boolean mayArrive =
        clock.now() < former.endMs
            && (refusalsInTransit.containsUpTo(former.lastId) || leases.containsAny(former.leases));
    if (!mayArrive) {
      formerRefusals.put(node, new FormerRefusals(RefusalsInTransit.NONE, Set.of(), 0));
    }
    return mayArrive;
  }

  /**
   * Grants a lease on the job and returns true. Returns false if this process or a former one may
   * have reported the job as accepted, or if there are too many leases.
   */
  private boolean grant(String job, AcceptanceQuery query) {
    boolean possiblyAccepted =
        !store.synced() || store.job(job) != null || submissionsInFlight.contains(job);
    if (possiblyAccepted || leases.size() >= LEASES_MAX) {
      return false; // an earlier lease on the job stays in force
    }
    leases.grant(job, query);
    return true;
  }

  /** Ends the leases that a peer no longer needs. */
  public void receive(AcceptanceQueryEnd queryEnd) {
    leases.end(queryEnd);
  }
}
