package mallowstall.core.machines;

import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.cluster.ReturnedMachines;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.Heartbeat;

/**
 * Recognizes late copies of heartbeats. Taken for the worker itself, such a copy would take the
 * machine from its live leader, or bring back a machine that was returned. Mutable.
 */
public final class StaleHeartbeats {
  private final StateStore store;
  private final ClusterView view;
  private final ReturnedMachines returnedMachines;

  /** Judges heartbeats by the replica and by what the machines' leaders have published. */
  public StaleHeartbeats(StateStore store, ClusterView view, ReturnedMachines returnedMachines) {
    this.store = store;
    this.view = view;
    this.returnedMachines = returnedMachines;
  }

  /** Whether the machine was returned, or its leader has published a newer heartbeat. */
  boolean isStale(Heartbeat heartbeat) {
    // the entry is written before the first token is shown and deleted after the return
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
