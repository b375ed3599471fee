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
 * Redirects workers to the machine's live leader, or new machines to their preferred one; each only
 * once in a while, so that a worker that can't reach that controller is soon accepted here.
 * Mutable.
 */
public final class LeaderRedirects {
  /** ms. By how much a working controller's regular status update may be late. */
  private static final long STATUS_UPDATE_LATE_MS = 500;

  /** ms. A redirected worker that comes again within this is registered here. */
  private static final long REDIRECT_REPEAT_MS = 20_000;

  /** Count. New machines sent to another controller that are remembered: more than a fleet has. */
  private static final int REDIRECTS_MAX = 10_000;

  private final CoreSettings settings;
  private final StateStore store;
  private final ClusterView view;
  private final Membership membership;

  /** When new machines were redirected to their preferred leader, in ms of the steady clock. */
  private final Map<String, Long> preferredRedirectMs = new HashMap<>();

  /** When machines were redirected to their live leader, in ms of the steady clock. */
  private final Map<String, Long> liveRedirectMs = new HashMap<>();

  /** Redirects by what the replica, the leaders' status updates and the membership say. */
  public LeaderRedirects(
      CoreSettings settings, StateStore store, ClusterView view, Membership membership) {
    this.settings = settings;
    this.store = store;
    this.view = view;
    this.membership = membership;
  }

  /** The controller to which the worker is redirected now; empty: it is accepted here. */
  Optional<String> redirect(Heartbeat heartbeat, long now) {
    if (isLedElsewhere(heartbeat.machine(), now)
        && !redirectedRecently(liveRedirectMs, heartbeat.machine(), now)) {
      liveRedirectMs.put(heartbeat.machine(), now);
      return Optional.of(store.machine(heartbeat.machine()).node());
    }
    return heartbeat.fencingToken() == 0 ? redirectToPreferred(heartbeat, now) : Optional.empty();
  }

  /** Forgets redirects that may be repeated. */
  void expire(long now) {
    liveRedirectMs.values().removeIf(atMs -> now - atMs > REDIRECT_REPEAT_MS);
  }

  /**
   * Whether another controller that lives and has state and peers leads the machine and still hears
   * it: the heartbeat may be a late copy that is newer than the last status update.
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
            < Constants.STATE_CUT_OFF_MS + Constants.WATCH_TIMEOUT_MS;
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
