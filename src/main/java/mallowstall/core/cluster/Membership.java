package mallowstall.core.cluster;

import java.util.ArrayList;
import java.util.List;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;

/** Which controllers are live, and which of them a new machine should report to. */
public final class Membership {
  private final CoreSettings settings;
  private final StateStore store;

  /** Reads the sessions that the replica holds, and zones from the settings. */
  public Membership(CoreSettings settings, StateStore store) {
    this.settings = settings;
    this.store = store;
  }

  /** Controllers with a session, sorted; this one is among them once its own stands. */
  public List<String> liveNodes() {
    List<String> live = new ArrayList<>();
    for (String key : store.entriesUnder(StateKeys.SESSION_PREFIX).keySet()) {
      live.add(StateKeys.nodeOf(key));
    }
    return live;
  }

  /** The controller a new machine should report to: by hash among live ones, its own zone first. */
  public String preferredLeader(String machine, String zone) {
    List<String> all = liveNodes();
    List<String> near = new ArrayList<>();
    for (String node : all) {
      if (zone.equals(settings.nodeZones().get(node))) {
        near.add(node);
      }
    }
    List<String> candidates = near.size() * 2 >= all.size() ? near : all;
    String best = settings.node();
    int top = Integer.MIN_VALUE;
    for (String node : candidates) {
      int weight = rendezvousWeight(machine, node);
      if (weight >= top) {
        top = weight;
        best = node;
      }
    }
    return best;
  }

  /** Rendezvous hashing: a node that comes or goes moves only its own share of the machines. */
  private static int rendezvousWeight(String machine, String node) {
    int hash = (machine + "|" + node).hashCode() * 0x9E3779B1;
    hash ^= hash >>> 15;
    return hash * 0x85EBCA6B;
  }
}
