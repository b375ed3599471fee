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
 * The leases that former processes of this controller granted to peers, of which this one knows
 * nothing: it tells every peer that it has replaced them, by a query about no jobs. A peer that
 * replies has given up what rested on such a lease, and what it told users before has left.
 * Mutable; thread: the event loop's.
 */
public final class FormerLeases {
  /** The number of the query about no jobs, before those of all other queries. */
  static final long SERIAL = 0;

  private final EventClock clock;
  private final CoreSettings settings;
  private final Effects effects;
  private final StateStore store;
  private final ClusterVersion clusterVersion;

  /** Peers that haven't replied yet. */
  private final Set<String> silentPeers;

  /** Sends nothing before the first {@link #tick}. */
  public FormerLeases(
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
    silentPeers = new HashSet<>(settings.peers());
  }

  /** Asks the peers that haven't replied, again and again until the leases are over. */
  public void tick() {
    // an older version wouldn't know the message, or would go on with what rests on the leases
    if (areOver() || store.incarnation() == 0 || !clusterVersion.allowsAcceptanceQueries()) {
      return;
    }
    AcceptanceQuery query =
        new AcceptanceQuery(settings.node(), store.incarnation(), SERIAL, List.of());
    for (String peer : silentPeers) {
      effects.send(peer, query);
    }
  }

  /** A peer answers a query; those about jobs don't matter here. */
  public void receive(AcceptanceReply reply) {
    if (reply.serial() == SERIAL && reply.incarnation() == store.incarnation()) {
      silentPeers.remove(reply.node());
    }
  }

  /** Whether nothing that a peer tells its users rests on such a lease any more. */
  boolean areOver() {
    return silentPeers.isEmpty() || haveExpired();
  }

  /** The former process had ended when this one began. */
  private boolean haveExpired() {
    boolean started = clock.startedAtMs() > 0;
    return started && clock.now() - clock.startedAtMs() >= AbsenceLeases.LEASE_MS;
  }
}
