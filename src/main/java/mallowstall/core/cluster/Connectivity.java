package mallowstall.core.cluster;

import mallowstall.Constants;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;

/** How well this controller is connected to the state service and to its peers. */
public final class Connectivity {
  private final EventClock clock;
  private final CoreSettings settings;
  private final StateStore store;
  private final ClusterView view;

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public Connectivity(EventClock clock, CoreSettings settings, StateStore store, ClusterView view) {
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.view = view;
  }

  /**
   * Whether machines may be kept alive: a controller that can't be sure of having heard of every
   * cancellation that anybody has confirmed lets their leases run out in time. It has heard of them
   * up to when its replica was fresh, or else up to when each of its peers told it of theirs.
   */
  public boolean mayRenewWorkerLeases() {
    long limit =
        settings.cancellationDeadlineMs()
            - settings.workerLeaseMs()
            - Constants.CANCELLATION_MARGIN_MS;
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

  /** A peer that is heard and that the state service serves; null if none is known. */
  public String peerWithStateAccess() {
    for (String name : settings.peers()) {
      PeerState peer = view.peer(name);
      if (clock.now() - peer.lastUpdateMs() < Constants.STATUS_UPDATE_STALE_MS
          && clock.now() - peer.replicaFreshAtMs()
              < Constants.STATE_CUT_OFF_MS + Constants.WATCH_TIMEOUT_MS) {
        return name;
      }
    }
    return null;
  }
}
