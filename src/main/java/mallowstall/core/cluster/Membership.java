package mallowstall.core.cluster;

import java.util.ArrayList;
import java.util.List;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;

/**
 * Determines which controllers are live and which of them should lead a machine that has no leader.
 */
public final class Membership {
  private final CoreSettings settings;
  private final StateStore store;

  /** Uses the sessions in the state replica and the zones of controllers in the settings. */
  public Membership(CoreSettings settings, StateStore store) {
    this.settings = settings;
    this.store = store;
  }

  /** Returns the controllers with a session, sorted; this one too once its session exists. */
  public List<String> liveNodes() {
    List<String> live = new ArrayList<>();
    for (String key : store.entriesUnder(StateKeys.SESSION_PREFIX).keySet()) {
      live.add(StateKeys.nodeOf(key));
    }
    return live;
  }

  /**
   * Returns the controller that should lead a machine without a leader, or this controller if none
   * is live. The controller is chosen by hash among the live controllers in the machine's zone if
   * these are at least half of all live ones, and among all live ones otherwise.
   */
  public String preferredLeader(String machine, String zone) {
    List<String> live = liveNodes();
    List<String> inZone = new ArrayList<>();
    for (String node : live) {
      if (zone.equals(settings.nodeZones().get(node))) {
        inZone.add(node);
      }
    }
    List<String> candidates = inZone.size() * 2 >= live.size() ? inZone : live;
    String best = settings.node();
    int bestWeight = Integer.MIN_VALUE;
    for (String node : candidates) {
      int weight = rendezvousWeight(machine, node);
      if (weight >= bestWeight) {
        bestWeight = weight;
        best = node;
      }
    }
    return best;
  }

  /** Rendezvous hashing: a node that joins or leaves moves only its own share of the machines. */
  private static int rendezvousWeight(String machine, String node) {
    int hash = (machine + "|" + node).hashCode() * 0x9E3779B1;
    hash ^= hash >>> 15;
    return hash * 0x85EBCA6B;
  }
}
