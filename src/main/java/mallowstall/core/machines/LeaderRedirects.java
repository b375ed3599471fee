package mallowstall.core.machines;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import mallowstall.Constants;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.cluster.Membership;
import mallowstall.core.cluster.PeerState;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.MachineEntry;

/**
 * Redirects workers to their machine's live leader, and workers of new machines to their preferred
 * leader. A redirect is not repeated within {@link #REDIRECT_REPEAT_MS}, so that a worker that
 * can't reach the other controller is soon accepted here. Mutable.
 */
public final class LeaderRedirects {
  /** The maximum delay of a working controller's regular status update, in milliseconds. */
  private static final long STATUS_UPDATE_LATE_MS = 500;

  /**
   * The time in milliseconds after a redirect within which the worker is registered here if it
   * turns to this controller again.
   */
  private static final long REDIRECT_REPEAT_MS = 20_000;

  /** The maximum number of remembered redirects of new machines, larger than a fleet. */
  private static final int REDIRECTS_MAX = 10_000;

  private final CoreSettings settings;
  private final StateStore store;
  private final ClusterView view;
  private final Membership membership;

  /** Times of redirects to preferred leaders, in milliseconds of the steady clock, by machine. */
  private final Map<String, Long> preferredRedirectMs = new HashMap<>();

  /** Times of redirects to live leaders, in milliseconds of the steady clock, by machine. */
  private final Map<String, Long> liveRedirectMs = new HashMap<>();

  /** Creates an instance that decides by the state replica, status updates and the membership. */
  public LeaderRedirects(
      CoreSettings settings, StateStore store, ClusterView view, Membership membership) {
    this.settings = settings;
    this.store = store;
    this.view = view;
    this.membership = membership;
  }

  /** Returns the controller that the worker is redirected to, or empty if it is accepted here. */
  Optional<String> redirect(Heartbeat heartbeat, long now) {
    if (isLedElsewhere(heartbeat.machine(), now)
        && !redirectedRecently(liveRedirectMs, heartbeat.machine(), now)) {
      liveRedirectMs.put(heartbeat.machine(), now);
      return Optional.of(store.machine(heartbeat.machine()).node());
    }
    return heartbeat.fencingToken() == 0 ? redirectToPreferred(heartbeat, now) : Optional.empty();
  }

  /** Removes the records of redirects to live leaders that may be repeated. */
  void expire(long now) {
    liveRedirectMs.values().removeIf(atMs -> now - atMs > REDIRECT_REPEAT_MS);
  }

  /**
   * Returns whether another live controller leads the machine, is connected to the state service
   * and its peers, and still receives the machine's heartbeats. The heartbeat that is being handled
   * may then be a late copy that is newer than the leader's last status update.
   */
  private boolean isLedElsewhere(String id, long now) {
    MachineEntry entry = store.machine(id);
    MachineView machine = view.machine(id);
    if (entry == null
        || machine == null
        || machine.status() == null
        || entry.node().equals(settings.node())) {
      return false;
    }
    PeerState leader = view.peer(entry.node());
    return store.isLive(entry.node(), entry.incarnation())
        && entry.node().equals(machine.leader())
        && machine.status().fencingToken() == entry.fencingToken()
        && machine.status().tokenAcknowledged()
        && !machine.status().unresponsive()
        && now - leader.lastUpdateMs()
            < StatusPublisher.STATUS_UPDATE_INTERVAL_MS + STATUS_UPDATE_LATE_MS
        && now - leader.replicaFreshAtMs()
            < Constants.STATE_ISOLATION_TIMEOUT_MS + Constants.WATCH_TIMEOUT_MS;
  }

  private Optional<String> redirectToPreferred(Heartbeat heartbeat, long now) {
    String id = heartbeat.machine();
    String preferred = membership.preferredLeader(id, heartbeat.zone());
    if (preferred.equals(settings.node()) || redirectedRecently(preferredRedirectMs, id, now)) {
      return Optional.empty();
    }
    preferredRedirectMs.put(id, now);
    if (preferredRedirectMs.size() > REDIRECTS_MAX) {
      preferredRedirectMs.clear();
    }
    return Optional.of(preferred);
  }

  private static boolean redirectedRecently(Map<String, Long> redirectMs, String id, long now) {
    Long lastMs = redirectMs.get(id);
    return lastMs != null && now - lastMs <= REDIRECT_REPEAT_MS;
  }
}
