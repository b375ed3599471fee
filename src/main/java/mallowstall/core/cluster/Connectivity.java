package mallowstall.core.cluster;

import mallowstall.Constants;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;

/** How well this controller is connected to the state service and to its peers. */
public final class Connectivity {
  /** ms. Of the cancellation deadline, kept in reserve when the state service can't be reached. */
  private static final long CANCELLATION_MARGIN_MS = 5_000;

  private final EventClock clock;
  private final CoreSettings settings;
  private final StateStore store;
  private final ClusterView view;

  /** Judges by the replica's age and by the peers' status updates. */
  public Connectivity(EventClock clock, CoreSettings settings, StateStore store, ClusterView view) {
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.view = view;
  }

  /**
   * Whether heartbeats may be answered, which renews worker leases: a controller that may have
   * missed a confirmed cancellation lets the leases expire in time. It knows of all cancellations
   * up to when its replica was fresh, or else up to when each of its peers last sent theirs.
   */
  public boolean mayRenewWorkerLeases() {
    long limit =
        settings.cancellationDeadlineMs() - settings.workerLeaseMs() - CANCELLATION_MARGIN_MS;
    if (clock.now() - store.freshAtMs() < limit) {
      return true;
    }
    for (String peer : settings.peers()) {
      if (clock.now() - view.peer(peer).cancellationsKnownAtMs() >= limit) {
        return false;
      }
    }
    return true;
  }

  /** Whether the state service serves a peer but not this controller. */
  public boolean isIsolatedFromStateService() {
    return clock.now() - store.lastContactMs() >= Constants.STATE_CUT_OFF_MS
        && peerWithStateAccess() != null;
  }

  /** Whether status updates of every peer have come lately. */
  public boolean hearsAllPeers() {
    for (String peer : settings.peers()) {
      if (!isHeard(view.peer(peer))) {
        return false;
      }
    }
    return true;
  }

  private boolean isHeard(PeerState peer) {
    return clock.now() - peer.lastUpdateMs() < Constants.STATUS_UPDATE_STALE_MS;
  }

  /** A peer with recent status updates that the state service serves; null: none is known. */
  public String peerWithStateAccess() {
    for (String name : settings.peers()) {
      PeerState peer = view.peer(name);
      if (isHeard(peer)
          && clock.now() - peer.replicaFreshAtMs()
              < Constants.STATE_CUT_OFF_MS + Constants.WATCH_TIMEOUT_MS) {
        return name;
      }
    }
    return null;
  }
}
