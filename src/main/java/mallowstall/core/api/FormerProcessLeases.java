package mallowstall.core.api;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mallowstall.core.cluster.ClusterVersion;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.AcceptanceQuery;
import mallowstall.core.model.AcceptanceReply;
import mallowstall.core.model.CoreSettings;

/**
 * Ends the leases that former processes of this controller granted to peers. This process has no
 * record of those leases. It sends every peer a query without jobs, which shows that it has
 * replaced the former processes. A peer replies once it has abandoned what relied on such a lease,
 * and no earlier refusal that the peer knows of can reach a user any more. Mutable; confined to the
 * event loop.
 */
public final class FormerProcessLeases {
  /** Serial of the query without jobs, smaller than the serials of all other queries. */
  static final long QUERY_SERIAL = 0;

  private final EventClock clock;
  private final CoreSettings settings;
  private final Effects effects;
  private final StateStore store;
  private final ClusterVersion clusterVersion;

  /** Peers that have not replied yet. */
  private final Set<String> pendingPeers;

  /** Sends nothing before the first {@link #tick}. */
  public FormerProcessLeases(
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
    pendingPeers = new HashSet<>(settings.peers());
  }

  /**
   * Sends the query to the peers that have not replied, at each call until the leases have ended.
   */
  public void tick() {
    // An older version does not know the message, or continues to rely on the leases.
    if (haveEnded() || store.incarnation() == 0 || !clusterVersion.allowsAbsenceLeases()) {
      return;
    }
    AcceptanceQuery query =
        new AcceptanceQuery(settings.node(), store.incarnation(), QUERY_SERIAL, List.of());
    for (String peer : pendingPeers) {
      effects.send(peer, query);
    }
  }

  /** Handles a peer's reply. Replies to queries about jobs are ignored here. */
  public void receive(AcceptanceReply reply) {
    if (reply.serial() == QUERY_SERIAL && reply.incarnation() == store.incarnation()) {
      pendingPeers.remove(reply.node());
    }
  }

  /** Returns whether no response of a peer can rely on such a lease any more. */
  boolean haveEnded() {
    return pendingPeers.isEmpty() || haveExpired();
  }

  /**
   * Returns whether the duration of a lease has passed since this process started. The former
   * process had ended by then, so it granted no later lease.
   */
  private boolean haveExpired() {
    boolean started = clock.startedAtMs() > 0;
    return started && clock.now() - clock.startedAtMs() >= AbsenceLeases.LEASE_MS;
  }
}
