package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.service;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.model.AutoscalerLeaderEntry;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.Priority;
import org.junit.jupiter.api.Test;

/**
 * Guards against returned machines that get an entry again through their last heartbeats (seeds
 * 43112 and 43619 of the upgrade histories).
 *
 * <p>The fault: jobs that failed over were not placed for a minute although there was capacity. A
 * controller that had not yet received the deletion of the entries registered the machines through
 * heartbeats that were in flight. It wrote one group entry for all of them, whose transaction has
 * no condition on their entries. The autoscaler leader ignored machines that it had returned within
 * the last 60 s, so it did not remove the entries, and the recovery of a job waits for each machine
 * with an entry. In seed 43619 the log shows at 217603 ms {@code scale in requested machines=[...,
 * m-000010, ...]}, at 217715 ms {@code machines registered token=703 machines=m-000010,m-000013},
 * and from then to 278916 ms {@code job recovery waits ... machine=m-000010}.
 */
class LateRegistrationTest {
  private static final String SERVICE = "wk-000001";

  /** Maximum time in milliseconds for which a replica may be missing although there is capacity. */
  private static final long SERVED_WITHIN_MS = InvariantChecker.MAX_REPLICA_MISSING_MS;

  private static SimulatedController autoscalerLeader(Simulation sim) {
    AutoscalerLeaderEntry entry =
        (AutoscalerLeaderEntry)
            sim.stateService.entries.get(StateKeys.AUTOSCALER_LEADER_KEY).value();
    return sim.controllers.get(entry.node());
  }

  private static SimulatedController otherController(Simulation sim, SimulatedController other) {
    for (SimulatedController node : sim.controllers.values()) {
      if (node != other) {
        return node;
      }
    }
    throw new IllegalStateException("there is only one controller");
  }

  /** Returns at most two of the service's machines that the controller doesn't lead. */
  private static List<String> machinesLedByOthers(Simulation sim, SimulatedController node) {
    List<String> machines = new ArrayList<>();
    for (String machine : sim.checker.machinesOf(SERVICE)) {
      MachineEntry entry = node.core.store().machine(machine);
      if (!entry.node().equals(node.name) && machines.size() < 2) {
        machines.add(machine);
      }
    }
    return machines;
  }

  @Test
  void lateEntriesOfReturnedMachinesAreRemoved() {
    int registered = 0;
    for (long seed = 901; seed <= 908; seed++) {
      Simulation sim = new Simulation(seed);
      sim.runUntil(8_000);
      sim.users.submit(service(SERVICE).tasks(4).priority(Priority.PRODUCTION).build());
      sim.runUntil(sim.nowMs + 15_000);
      SimulatedController autoscaler = autoscalerLeader(sim);
      SimulatedController stalled = otherController(sim, autoscaler);
      List<String> machines = machinesLedByOthers(sim, stalled);
      if (machines.size() < 2) {
        continue;
      }
      stalled.watchStalled = true;
      List<Heartbeat> inFlight = new ArrayList<>();
      for (String machine : machines) {
        SimulatedWorker worker = sim.workers.get(machine);
        worker.heartbeatSequence += 10;
        inFlight.add(worker.snapshot());
        sim.killMachine(machine);
      }
      long until = sim.nowMs + 2 * Simulation.LEASE_MS;
      while (sim.nowMs < until && hasEntry(autoscaler, machines)) {
        sim.runUntil(sim.nowMs + 10);
      }
      for (Heartbeat heartbeat : inFlight) {
        stalled.enqueueEvent(() -> stalled.core.handleHeartbeat(heartbeat, response -> {}));
      }
      sim.runUntil(sim.nowMs + 1_000);
      stalled.watchStalled = false;
      registered += hasEntry(autoscaler, machines) ? 1 : 0;
      sim.runUntil(sim.nowMs + SERVED_WITHIN_MS);
      for (String machine : machines) {
        assertNull(autoscaler.core.store().machine(machine), machine + ", seed " + seed);
      }
      assertEquals(4, sim.checker.runningReplicas(SERVICE));
      assertEquals(List.of(), sim.checker.violations);
    }
    assertTrue(registered > 0, "no history had the order of events under test");
  }

  private static boolean hasEntry(SimulatedController node, List<String> machines) {
    return machines.stream().anyMatch(machine -> node.core.store().machine(machine) != null);
  }
}
