package mallowstall.core.cluster;

import mallowstall.Constants;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;

/** Determines whether this controller reaches the state service and its peers. */
public final class Connectivity {
  /**
   * The part of the cancellation deadline, in milliseconds, that is kept in reserve while the state
   * service can't be reached.
   */
  private static final long CANCELLATION_MARGIN_MS = 5_000;

  /**
   * Maximum age in milliseconds of the last message that a peer has acknowledged. Peers acknowledge
   * at least once a second, unless their processors are busy.
   */
  private static final long ROUND_TRIP_AGE_MAX_MS = 3_500;

  private final EventClock clock;
  private final CoreSettings settings;
  private final StateStore store;
  private final ClusterView view;

  /** Uses the age of the state replica and the status updates of the peers. */
  public Connectivity(EventClock clock, CoreSettings settings, StateStore store, ClusterView view) {
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.view = view;
  }

  /**
   * Returns whether this controller may answer heartbeats, which renews worker leases. A controller
   * that may have missed a confirmed cancellation lets the leases expire before the cancellation
   * deadline. A controller has all cancellations up to the time at which its state replica was last
   * fresh, or else up to the time for which each of its peers has sent its cancellations.
   */
  public boolean mayRenewWorkerLeases() {
    long maxAgeMs =
        settings.cancellationDeadlineMs() - settings.workerLeaseMs() - CANCELLATION_MARGIN_MS;
    if (clock.now() - store.freshAtMs() < maxAgeMs) {
      return true;
    }
    for (String peer : settings.peers()) {
      if (clock.now() - view.peer(peer).cancellationsKnownAtMs() >= maxAgeMs) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns whether the state service serves a peer but not this controller, or this controller
   * doesn't see what the state service holds.
   */
  public boolean isIsolatedFromStateService() {
    boolean unserved = clock.now() - store.lastContactMs() >= Constants.STATE_ISOLATION_TIMEOUT_MS;
    return (unserved || store.isSessionGivenUp()) && peerWithStateAccess() != null;
  }

  /** Returns whether this controller has recently received a status update from every peer. */
  public boolean hasRecentUpdatesFromAllPeers() {
    for (String peer : settings.peers()) {
      if (!hasRecentUpdate(view.peer(peer))) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns whether messages to the peer and back have recently arrived. Unlike the arrival of the
   * peer's updates, this also shows that the peer receives messages of this controller.
   */
  public boolean exchangesMessagesWith(String peer) {
    return clock.now() - view.peer(peer).cancellationsKnownAtMs() < ROUND_TRIP_AGE_MAX_MS;
  }

  private boolean hasRecentUpdate(PeerState peer) {
    return clock.now() - peer.lastUpdateMs() < Constants.STATUS_UPDATE_STALE_MS;
  }

  /**
   * Returns a peer that has recently sent a status update and that the state service serves, or
   * null if there is none.
   */
  public String peerWithStateAccess() {
    for (String name : settings.peers()) {
      PeerState peer = view.peer(name);
      if (hasRecentUpdate(peer)
          && clock.now() - peer.replicaFreshAtMs()
              < Constants.STATE_ISOLATION_TIMEOUT_MS + Constants.WATCH_TIMEOUT_MS) {
        return name;
      }
    }
    return null;
  }
}
