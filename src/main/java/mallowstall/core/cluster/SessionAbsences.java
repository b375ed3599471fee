package mallowstall.core.cluster;

import java.util.HashMap;
import java.util.Map;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.MachineEntry;

/**
 * Since when each peer has been without a session and silent. The workers of such a peer's machines
 * lose their leases after a time, even if nobody can reach them. Mutable.
 */
public final class SessionAbsences {
  /**
   * Time in milliseconds that is added to the cancellation deadline, for the drift of clocks and
   * for what a peer and its workers still do after their last contact.
   */
  private static final long MARGIN_MS = 3_000;

  private final EventClock clock;
  private final CoreSettings settings;
  private final StateStore store;
  private final ClusterView view;

  /** Steady time in milliseconds since which a peer has been absent, by node. */
  private final Map<String, Long> absentSinceMs = new HashMap<>();

  /** Uses the sessions in the state replica and the status updates of the peers. */
  public SessionAbsences(
      EventClock clock, CoreSettings settings, StateStore store, ClusterView view) {
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.view = view;
  }

  /** Records which peers are absent now. Must be called regularly. */
  public void tick() {
    long now = clock.now();
    for (String peer : settings.peers()) {
      boolean absent = store.synced() && store.entry(StateKeys.session(peer)) == null;
      if (absent) {
        absentSinceMs.putIfAbsent(peer, now);
      } else {
        absentSinceMs.remove(peer);
      }
    }
  }

  /**
   * Returns whether all tasks on the machine have ended because its leader has been absent for too
   * long. A controller without state service and peers stops renewing worker leases early enough
   * for them to expire within the cancellation deadline (docs/design.md, ran_cancelled).
   */
  public boolean haveTasksEnded(MachineEntry entry) {
    Long since = absentSinceMs.get(entry.node());
    if (since == null) {
      return false;
    }
    long silentSinceMs = Math.max(since, view.peer(entry.node()).lastUpdateMs());
    return clock.now() - silentSinceMs > settings.cancellationDeadlineMs() + MARGIN_MS
        && store.freshAtMs() > silentSinceMs;
  }
}
