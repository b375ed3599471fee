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
  /** Idle time in milliseconds after which a spot machine that the plan doesn't need is drained. */
  private static final long SCALE_IN_IDLE_MS = 40_000;

  /**
   * Idle time in milliseconds after which an on-demand machine that the plan doesn't need is
   * drained. It is shorter, because on-demand machines cost a multiple of spot machines.
   */
  private static final long SCALE_IN_IDLE_ON_DEMAND_MS = 30_000;

  /** Divisor of the number of machines of a type; the result limits the drains of one plan. */
  private static final int DRAIN_BATCH_DIVISOR = 6;

  private final ScaleIn scaleIn;
  private final PeerMessenger messenger;

  /**
   * Creates a scale-in that sends drains to the machine leaders and return requests to the cloud.
   */
  public IdleScaleIn(ScaleIn scaleIn, PeerMessenger messenger) {
    this.scaleIn = scaleIn;
    this.messenger = messenger;
  }

  /**
   * Returns drained machines of the type to the cloud. If there are none, drains idle machines down
   * to the number to be retained.
   *
   * @param current number of machines of the type that are in service or expected to be
   * @param retainedTotal number of machines to be retained
   * @param retainedOnDemand number of machines, spot machines included, at which no further
   *     on-demand machine is drained
   */
  void scaleIn(
      String type,
      int current,
      int retainedTotal,
      int retainedOnDemand,
      List<MachineView> available,
      long now) {
    List<String> drained = drainedMachines(type, available);
    if (drained.isEmpty()) {
      drain(idleMachines(type, available, now), current, retainedTotal, retainedOnDemand);
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

  /**
   * Returns the machines whose idle time exceeds the limit, in the order in which to drain them.
   */
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
    // on-demand machines first, then by idle time, longest first
    idle.sort(
        Comparator.comparing((MachineView machine) -> machine.status().spot())
            .thenComparing(machine -> -machine.idleMs(now)));
    return idle;
  }

  /** Returns whether the machine is of the type, has no tasks and isn't being returned. */
  private boolean isEmpty(MachineView machine, String type) {
    return machine.status().type().equals(type)
        && machine.status().tasks().isEmpty()
        && !scaleIn.isReturnInFlight(machine.id());
  }

  private void drain(List<MachineView> idle, int current, int retainedTotal, int retainedOnDemand) {
    int maxDrains = Math.max(1, current / DRAIN_BATCH_DIVISOR);
    int remaining = current;
    Map<String, List<String>> drainsByLeader = new HashMap<>();
    for (MachineView machine : idle) {
      if (current - remaining >= maxDrains
          || remaining <= (machine.status().spot() ? retainedTotal : retainedOnDemand)) {
        break;
      }
      remaining--;
      drainsByLeader.computeIfAbsent(machine.leader(), k -> new ArrayList<>()).add(machine.id());
    }
    drainsByLeader.forEach(messenger::sendDrain);
  }
}
