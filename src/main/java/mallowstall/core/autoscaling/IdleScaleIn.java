package mallowstall.core.autoscaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mallowstall.Constants;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.cluster.PeerMessenger;

/** Drains idle machines that aren't needed, and returns them once they are drained. */
public final class IdleScaleIn {
  private final ScaleIn scaleIn;
  private final PeerMessenger messenger;

  /** Drains go to the machines' leaders, returns to the cloud. */
  public IdleScaleIn(ScaleIn scaleIn, PeerMessenger messenger) {
    this.scaleIn = scaleIn;
    this.messenger = messenger;
  }

  /**
   * Returns drained machines of the type, or else drains idle ones down to what is to be kept.
   *
   * @param current machines of the type that are in service or will be
   * @param keepTotal machines to be kept
   * @param keepOnDemand machines below which no on-demand one is drained
   */
  void scaleIn(
      String type,
      int current,
      int keepTotal,
      int keepOnDemand,
      List<MachineView> available,
      long now) {
    List<MachineView> idle = new ArrayList<>();
    List<String> drainedMachines = new ArrayList<>();
    for (MachineView machine : available) {
      if (!machine.status().type().equals(type)
          || !machine.status().tasks().isEmpty()
          || scaleIn.isReturnInFlight(machine.id())) {
        continue;
      }
      long idleTimeoutMs =
          machine.status().spot()
              ? Constants.SCALE_IN_IDLE_MS
              : Constants.SCALE_IN_IDLE_ON_DEMAND_MS;
      if (machine.status().draining()) {
        drainedMachines.add(machine.id());
      } else if (machine.idleMs(now) > idleTimeoutMs) {
        idle.add(machine);
      }
    }
    if (!drainedMachines.isEmpty()) {
      scaleIn.returnMachines(drainedMachines, ScaleIn.Reason.IDLE);
      return;
    }
    // on-demand machines first, then the longest idle
    idle.sort(
        Comparator.comparing((MachineView machine) -> machine.status().spot())
            .thenComparing(machine -> -machine.idleMs(now)));
    int maxDrains = Math.max(1, current / Constants.DRAIN_BATCH_DIVISOR);
    int remaining = current;
    Map<String, List<String>> drainsByLeader = new HashMap<>();
    for (MachineView machine : idle) {
      if (current - remaining >= maxDrains
          || remaining <= (machine.status().spot() ? keepTotal : keepOnDemand)) {
        break;
      }
      remaining--;
      drainsByLeader.computeIfAbsent(machine.leader(), k -> new ArrayList<>()).add(machine.id());
    }
    drainsByLeader.forEach(messenger::sendDrain);
  }
}
