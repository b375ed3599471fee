package mallowstall.core.machines;

import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.cluster.ReturnedMachines;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.Heartbeat;

/**
 * Recognizes copies of heartbeats that arrive late. Without this check, a late copy would make this
 * controller take over the machine from its live leader or register a machine that was returned.
 * Mutable.
 */
public final class StaleHeartbeats {
  private final StateStore store;
  private final ClusterView view;
  private final ReturnedMachines returnedMachines;

  /**
   * Creates a check that compares heartbeats with the state replica and with the statuses that
   * machine leaders have published.
   */
  public StaleHeartbeats(StateStore store, ClusterView view, ReturnedMachines returnedMachines) {
    this.store = store;
    this.view = view;
    this.returnedMachines = returnedMachines;
  }

  /**
   * Returns whether the machine was returned, or its leader has published this heartbeat, a newer
   * one or the expiry of the worker's lease.
   */
  boolean isStale(Heartbeat heartbeat) {
    // The entry is written before the worker gets its first token, and is deleted after the machine
    // was returned, so a heartbeat with a token but without an entry is from a returned machine.
    if (heartbeat.fencingToken() > 0 && store.machine(heartbeat.machine()) == null) {
      return true;
    }
    if (returnedMachines.contains(heartbeat.machine())) {
      return true;
    }
    MachineView machine = view.machine(heartbeat.machine());
    if (machine == null
        || machine.status() == null
        || heartbeat.session() > machine.status().session()) {
      return false;
    }
    return heartbeat.session() < machine.status().session()
        || machine.status().leaseExpired()
        || heartbeat.sequence() <= machine.status().heartbeatSequence();
  }
}
