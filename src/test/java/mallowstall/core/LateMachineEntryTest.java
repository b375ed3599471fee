package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.service;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mallowstall.Constants;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.model.AutoscalerLeaderEntry;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.Priority;
import org.junit.jupiter.api.Test;

/**
 * Guards against entries of returned machines that heartbeats under way bring back and that no
 * leader of autoscaling removes, so that jobs that fail over wait for them; and against a mend that
 * removes entries of living machines.
 */
class LateMachineEntryTest {
  private static final String SERVICE = "wk-000001";

  /** A late entry is gone within two plans of the leader of autoscaling and its write. */
  private static final long REMOVED_WITHIN_MS = 2 * Constants.AUTOSCALER_INTERVAL_MS + 1_000;

  /** Until another controller leads autoscaling after its leader's end. */
  private static final long NEW_LEADER_MS = Constants.SESSION_LEASE_MS + 3_000;

  private static Simulation runService(long seed) {
    Simulation sim = new Simulation(seed);
    sim.runUntil(8_000);
    sim.users.submit(service(SERVICE).tasks(4).priority(Priority.PRODUCTION).build());
    sim.runUntil(sim.nowMs + 15_000);
    assertEquals(4, sim.checker.runningReplicas(SERVICE));
    return sim;
  }

  private static SimulatedController autoscalerLeader(Simulation sim) {
    AutoscalerLeaderEntry entry =
        (AutoscalerLeaderEntry)
            sim.stateService.entries.get(StateKeys.AUTOSCALER_LEADER_KEY).value();
    return sim.controllers.get(entry.node());
  }

  /** A controller that doesn't lead autoscaling and whose watch gets no events from now on. */
  private static SimulatedController stallWatchBeside(Simulation sim, SimulatedController other) {
    for (SimulatedController node : sim.controllers.values()) {
      if (node != other) {
        node.watchStalled = true;
        return node;
      }
    }
    throw new IllegalStateException("one controller alone");
  }

  private static List<String> machinesLedElsewhere(
      Simulation sim, SimulatedController node, int count) {
    List<String> machines = new ArrayList<>();
    for (String machine : sim.workers.keySet()) {
      MachineEntry entry = node.core.store().machine(machine);
      if (entry != null && !entry.node().equals(node.name) && machines.size() < count) {
        machines.add(machine);
      }
    }
    return machines;
  }

  private static boolean hasEntry(SimulatedController node, List<String> machines) {
    return machines.stream().anyMatch(machine -> node.core.store().machine(machine) != null);
  }

  /** The machines end with a heartbeat under way each, and are returned; these heartbeats. */
  private static List<Heartbeat> returnWithHeartbeatsUnderWay(
      Simulation sim, SimulatedController observer, List<String> machines) {
    List<Heartbeat> underWay = new ArrayList<>();
    for (String machine : machines) {
      SimulatedWorker worker = sim.workers.get(machine);
      worker.heartbeatSequence += 10;
      underWay.add(worker.snapshot());
      sim.killMachine(machine);
    }
    long until = sim.nowMs + 4 * Simulation.LEASE_MS;
    while (sim.nowMs < until && hasEntry(observer, machines)) {
      sim.runUntil(sim.nowMs + 10);
    }
    assertFalse(hasEntry(observer, machines), "returned");
    return underWay;
  }

  private static void deliver(SimulatedController node, List<Heartbeat> heartbeats) {
    for (Heartbeat heartbeat : heartbeats) {
      node.enqueueEvent(() -> node.core.handleHeartbeat(heartbeat, response -> {}));
    }
  }

  /** Whether any of the machines got an entry again by the heartbeats that were under way. */
  private static boolean isRegisteredAgain(
      Simulation sim, SimulatedController observer, List<String> machines, long withinMs) {
    long until = sim.nowMs + withinMs;
    while (sim.nowMs < until && !hasEntry(observer, machines)) {
      sim.runUntil(sim.nowMs + 10);
    }
    return hasEntry(observer, machines);
  }

  private static void assertRemoved(
      Simulation sim, SimulatedController observer, List<String> machines, long seed) {
    sim.runUntil(sim.nowMs + REMOVED_WITHIN_MS);
    assertFalse(hasEntry(observer, machines), "seed " + seed + ", " + machines);
    for (String machine : sim.workers.keySet()) {
      assertNotNull(observer.core.store().machine(machine), machine + " lives, seed " + seed);
    }
    assertEquals(List.of(), sim.checker.violations, "seed " + seed);
  }

  /** Guards against late entries, by a group and by a single one, that stay for a minute. */
  @Test
  void lateEntriesAreRemovedSoon() {
    for (int count = 1; count <= 2; count++) {
      int registered = 0;
      for (long seed = 921; seed <= 928; seed++) {
        Simulation sim = runService(seed);
        SimulatedController autoscaler = autoscalerLeader(sim);
        SimulatedController late = stallWatchBeside(sim, autoscaler);
        List<String> machines = machinesLedElsewhere(sim, late, count);
        List<Heartbeat> underWay = returnWithHeartbeatsUnderWay(sim, autoscaler, machines);
        deliver(late, underWay);
        registered += isRegisteredAgain(sim, autoscaler, machines, 1_000) ? 1 : 0;
        late.watchStalled = false;
        assertRemoved(sim, autoscaler, machines, seed);
      }
      // a single entry is compared, so that it comes only for a machine that a group had named
      assertTrue(count == 1 || registered > 0, "the order of events took place in no history");
    }
  }

  /**
   * Guards against a first heartbeat, which shows no token, that registers after the return with a
   * controller that has heard neither of the machine's entry nor of its status.
   */
  @Test
  void lateFirstHeartbeatIsRemovedSoon() {
    int registered = 0;
    for (long seed = 931; seed <= 938; seed++) {
      Simulation sim = runService(seed);
      SimulatedController autoscaler = autoscalerLeader(sim);
      SimulatedController late = stallWatchBeside(sim, autoscaler);
      sim.partitionDelayMs = 10 * Simulation.LEASE_MS;
      sim.isolate(late);
      late.stateServiceUnreachable = false;
      String machine = sim.addMachine("t8", "a", false, 0);
      SimulatedWorker worker = sim.workers.get(machine);
      worker.controllerName = autoscaler.name;
      Heartbeat first = worker.snapshot();
      sim.runUntil(sim.nowMs + 3_000);
      if (autoscaler.core.store().machine(machine).node().equals(late.name)) {
        continue; // the machine prefers the controller that is cut off
      }
      // at the end of its notice it is returned before the late controller stops to take heartbeats
      worker.giveTerminationNotice(Simulation.HEARTBEAT_MS);
      sim.runUntil(sim.nowMs + Simulation.HEARTBEAT_MS - 100);
      returnWithHeartbeatsUnderWay(sim, autoscaler, List.of(machine));
      // sent to the controller that leads fewer machines at first, and registered when it comes
      // again
      deliver(late, List.of(first));
      sim.runUntil(sim.nowMs + 100);
      deliver(late, List.of(first));
      registered += isRegisteredAgain(sim, autoscaler, List.of(machine), 1_000) ? 1 : 0;
      late.watchStalled = false;
      sim.healPartitions();
      assertRemoved(sim, autoscaler, List.of(machine), seed);
    }
    assertTrue(registered > 0, "the order of events took place in no history");
  }

  /** Guards against a new leader of autoscaling that hasn't made the return itself. */
  @Test
  void newAutoscalerLeaderRemovesLateEntries() {
    int registered = 0;
    for (long seed = 941; seed <= 948; seed++) {
      Simulation sim = runService(seed);
      SimulatedController former = autoscalerLeader(sim);
      SimulatedController late = stallWatchBeside(sim, former);
      List<String> machines = machinesLedElsewhere(sim, late, 2);
      List<Heartbeat> underWay = returnWithHeartbeatsUnderWay(sim, former, machines);
      sim.runUntil(sim.nowMs + 1_000);
      former.crash(2 * NEW_LEADER_MS);
      deliver(late, underWay);
      SimulatedController third = thirdController(sim, former, late);
      registered += isRegisteredAgain(sim, third, machines, 1_000) ? 1 : 0;
      late.watchStalled = false;
      sim.runUntil(sim.nowMs + NEW_LEADER_MS);
      assertNotEquals(former.name, autoscalerLeader(sim).name);
      assertRemoved(sim, third, machines, seed);
    }
    assertTrue(registered > 0, "the order of events took place in no history");
  }

  private static SimulatedController thirdController(
      Simulation sim, SimulatedController first, SimulatedController second) {
    for (SimulatedController node : sim.controllers.values()) {
      if (node != first && node != second) {
        return node;
      }
    }
    throw new IllegalStateException("two controllers alone");
  }

  /** Guards against late entries that stay since the state service was out or slow meanwhile. */
  @Test
  void lateEntriesAreRemovedAfterAnOutageAndBesideSlowAnswers() {
    for (boolean outage : new boolean[] {true, false}) {
      int registered = 0;
      for (long seed = 951; seed <= 956; seed++) {
        Simulation sim = runService(seed);
        SimulatedController autoscaler = autoscalerLeader(sim);
        SimulatedController late = stallWatchBeside(sim, autoscaler);
        List<String> machines = machinesLedElsewhere(sim, late, 2);
        List<Heartbeat> underWay = returnWithHeartbeatsUnderWay(sim, autoscaler, machines);
        deliver(late, underWay);
        registered += isRegisteredAgain(sim, autoscaler, machines, 1_000) ? 1 : 0;
        sim.stateService.outage = outage;
        sim.maxStateDelayMs = outage ? 0 : 900;
        late.watchStalled = false;
        sim.runUntil(sim.nowMs + Simulation.LEASE_MS);
        sim.stateService.endOutage();
        sim.maxStateDelayMs = 0;
        sim.runUntil(sim.nowMs + NEW_LEADER_MS);
        assertRemoved(sim, autoscaler, machines, seed);
      }
      assertTrue(registered > 0, "the order of events took place in no history");
    }
  }

  /**
   * Guards against deletions that are sent again while they are under way: with a state service
   * that is slow or short of its rate they used it up, and users got 503 for minutes.
   */
  @Test
  void deletionUnderWayIsNotSentAgain() {
    for (long seed = 971; seed <= 976; seed++) {
      Simulation sim = runService(seed);
      SimulatedController autoscaler = autoscalerLeader(sim);
      List<String> machines = List.copyOf(sim.workers.keySet()).subList(0, 2);
      // later than the next plan, and soon enough for the session to last
      autoscaler.stateDelayMs = Constants.AUTOSCALER_INTERVAL_MS + 500;
      machines.forEach(sim::killMachine);
      sim.runUntil(sim.nowMs + 6 * Simulation.LEASE_MS);
      for (String machine : machines) {
        assertEquals(1, deletions(sim, machine), machine + ", seed " + seed);
      }
    }
  }

  private static long deletions(Simulation sim, String machine) {
    String key = StateKeys.machine(machine);
    return sim.stateService.receivedTransactions.stream()
        .filter(
            transaction ->
                transaction.deletes().contains(key)
                    || transaction.puts().stream()
                        .anyMatch(
                            put ->
                                put.key().equals(key)
                                    && put.value().equals(MachineEntry.tombstone())))
        .count();
  }

  /**
   * Living machines keep their entries through first registrations, new processes of their
   * controllers and late copies of their heartbeats at two controllers at once.
   */
  @Test
  void livingMachinesKeepTheirEntries() {
    for (long seed = 961; seed <= 968; seed++) {
      Simulation sim = runService(seed);
      sim.addMachines(3);
      sim.controllers.get("n1").crash(400);
      sim.runUntil(sim.nowMs + 2_000);
      for (SimulatedWorker worker : sim.workers.values()) {
        Heartbeat heartbeat = worker.snapshot();
        deliver(sim.controllers.get("n0"), List.of(heartbeat));
        deliver(sim.controllers.get("n2"), List.of(heartbeat));
      }
      sim.crashAll(500);
      sim.runUntil(sim.nowMs + 3 * Simulation.LEASE_MS);
      for (String machine : sim.workers.keySet()) {
        for (SimulatedController node : sim.controllers.values()) {
          assertNotNull(node.core.store().machine(machine), machine + ", seed " + seed);
        }
      }
      assertEquals(4, sim.checker.runningReplicas(SERVICE), "seed " + seed);
      assertEquals(List.of(), sim.checker.violations, "seed " + seed);
    }
  }
}
