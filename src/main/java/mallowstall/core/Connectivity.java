package mallowstall.core;

import mallowstall.Constants;
import mallowstall.core.Model.CoreSettings;

/** How well this controller is connected to the state service and to its peers. */
final class Connectivity {
  private final EventClock clock;
  private final CoreSettings settings;
  private final Store store;
  private final View view;

  Connectivity(EventClock clock, CoreSettings settings, Store store, View view) {
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
  boolean mayKeepAlive() {
    long limit = settings.cancelMs() - settings.leaseMs() - Constants.CANCEL_MARGIN_MS;
    if (clock.now() - store.freshAt() < limit) {
      return true;
    }
    for (String peer : settings.peers()) {
      if (clock.now() - view.peer(peer).cancelsKnownAt >= limit) {
        return false;
      }
    }
    return true;
  }

  /** Whether the state service serves a peer but not this controller. */
  boolean isolatedFromStateService() {
    return clock.now() - store.contactAt() >= Constants.CUT_OFF_MS && reachablePeer() != null;
  }

  /** A peer that is heard and that the state service serves; null if none is known. */
  String reachablePeer() {
    for (String name : settings.peers()) {
      View.Peer peer = view.peer(name);
      if (clock.now() - peer.rosterAt < Constants.ROSTER_STALE_MS
          && clock.now() - peer.mirrorFreshAt < Constants.CUT_OFF_MS + Constants.WATCH_HOLD_MS) {
        return name;
      }
    }
    return null;
  }
}
