package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.ToIntFunction;
import mallowstall.Constants;
import org.junit.jupiter.api.Test;

/**
 * Guards against work that grows with the number of machines instead of the number of changes. The
 * work is counted, since the machines that controllers run on have a few hundredths of a processor.
 */
class IdleWorkloadTest {
  private static final int MACHINES = 40;
  private static final int IDLE_PERIOD_S = 10;

  private static Simulation startIdle(long seed, int machines) {
    Simulation sim = new Simulation(seed);
    sim.addMachines(machines);
    sim.runUntil(12_000);
    return sim;
  }

  private static int sum(Simulation sim, ToIntFunction<SimulatedController> count) {
    return sim.controllers.values().stream().mapToInt(count).sum();
  }

  private static int countWhileIdle(Simulation sim, ToIntFunction<SimulatedController> count) {
    int before = sum(sim, count);
    sim.runUntil(sim.nowMs + IDLE_PERIOD_S * 1_000);
    return sum(sim, count) - before;
  }

  /**
   * Heartbeats that report no change cause few status updates. A former version sent five status
   * updates a second to every peer.
   */
  @Test
  void unchangedHeartbeatsCauseFewStatusUpdates() {
    int few = countWhileIdle(startIdle(701, 0), node -> node.statusUpdatesSent);
    int many = countWhileIdle(startIdle(701, MACHINES), node -> node.statusUpdatesSent);
    int links = Simulation.NODES.size() * (Simulation.NODES.size() - 1);
    assertTrue(many <= links * IDLE_PERIOD_S * 2, "status updates: " + many);
    assertTrue(many <= few * 5 / 4, "status updates: " + many + " instead of " + few);
  }

  /**
   * The status of an unchanged machine is sent to each peer every few seconds, and no more often.
   */
  @Test
  void unchangedMachineStatusesAreSentRarely() {
    Simulation sim = startIdle(702, MACHINES);
    int machines = sim.workers.size();
    int statusesSent = countWhileIdle(sim, node -> node.machineStatusesSent);
    int peers = Simulation.NODES.size() - 1;
    long refreshes = 1 + IDLE_PERIOD_S * 1_000 / Constants.MACHINE_STATUS_REFRESH_MS;
    // a status is sent in at most two status updates before the peer has acknowledged it
    assertTrue(statusesSent <= 2L * peers * machines * refreshes, statusesSent + " of " + machines);
  }

  /**
   * A restarted controller recovers the machines of its former incarnation a few at a time. When it
   * recovered all at once, the recoveries used up the request rate of the state service, and no
   * machine that sent heartbeats again could be taken over.
   */
  @Test
  void recoveredMachinesAreRegisteredWithLimitedConcurrency() {
    Simulation sim = startIdle(703, MACHINES);
    List.copyOf(sim.workers.values()).forEach(worker -> worker.outboundBlocked = true);
    sim.crashAll(1_000);
    for (SimulatedController node : sim.controllers.values()) {
      node.maxMachineWritesInFlight = 0;
      node.machineWriteDelayMs = 400;
    }
    sim.runUntil(sim.nowMs + 30_000);
    int most =
        sim.controllers.values().stream()
            .mapToInt(node -> node.maxMachineWritesInFlight)
            .max()
            .orElse(0);
    assertEquals(Constants.RECOVERY_CONCURRENCY, most);
  }
}
