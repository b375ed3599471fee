package mallowstall.core.autoscaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.cluster.PeerMessenger;

/** Drains idle machines that aren't needed, and returns them once they are drained. */
public final class IdleScaleIn {
  /** ms. An idle machine that the plan doesn't need is returned after this. */
  private static final long SCALE_IN_IDLE_MS = 40_000;

  /** ms. The same for on-demand machines, which cost a multiple of spot ones. */
  private static final long SCALE_IN_IDLE_ON_DEMAND_MS = 30_000;

  /** Count. One of so many machines of a type may be drained by one plan. */
  private static final int DRAIN_BATCH_DIVISOR = 6;

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
    List<String> drained = drainedMachines(type, available);
    if (drained.isEmpty()) {
      drain(idleMachines(type, available, now), current, keepTotal, keepOnDemand);
    } else {
      scaleIn.returnMachines(drained, ScaleIn.Reason.IDLE);
    }
  }

  private List<String> drainedMachines(String type, List<MachineView> available) {
    List<String> drained = new ArrayList<>();
    for (MachineView machine : available) {
      if (isEmpty(machine, type) && machine.status().draining()) {
        drained.add(machine.id());
      }
    }
    return drained;
  }

  /** Machines of the type that have been idle for long, in the order in which they are drained. */
  private List<MachineView> idleMachines(String type, List<MachineView> available, long now) {
    List<MachineView> idle = new ArrayList<>();
    for (MachineView machine : available) {
      if (!isEmpty(machine, type) || machine.status().draining()) {
        continue;
      }
      long idleTimeoutMs = machine.status().spot() ? SCALE_IN_IDLE_MS : SCALE_IN_IDLE_ON_DEMAND_MS;
      if (machine.idleMs(now) > idleTimeoutMs) {
        idle.add(machine);
      }
    }
    // on-demand machines first, then the longest idle
    idle.sort(
        Comparator.comparing((MachineView machine) -> machine.status().spot())
            .thenComparing(machine -> -machine.idleMs(now)));
    return idle;
  }

  /** Whether the machine is of the type, has no tasks and isn't being returned. */
  private boolean isEmpty(MachineView machine, String type) {
    return machine.status().type().equals(type)
        && machine.status().tasks().isEmpty()
        && !scaleIn.isReturnInFlight(machine.id());
  }

  private void drain(List<MachineView> idle, int current, int keepTotal, int keepOnDemand) {
    int maxDrains = Math.max(1, current / DRAIN_BATCH_DIVISOR);
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
