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
 * Guards against entries of returned machines that stay in the state service. A heartbeat that was
 * in flight when its machine was returned registers the machine again, and jobs that fail over wait
 * for each machine with an entry until the autoscaler leader removes that entry. Guards as well
 * against the removal of entries of running machines.
 */
class LateMachineEntryTest {
  private static final String SERVICE = "wk-000001";

  /**
   * Maximum time in milliseconds until a late entry is removed: two plans of the autoscaler leader
   * and its write.
   */
  private static final long REMOVED_WITHIN_MS = 2 * Constants.AUTOSCALER_INTERVAL_MS + 1_000;

  /**
   * Maximum time in milliseconds until another controller becomes autoscaler leader after the
   * leader has crashed.
   */
  private static final long LEADER_CHANGE_MS = Constants.SESSION_LEASE_MS + 3_000;

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

  /**
   * Stalls the watch of a controller other than {@code excluded}, so that the stalled controller
   * gets no more events, and returns the stalled controller.
   */
  private static SimulatedController stallWatchOfOther(
      Simulation sim, SimulatedController excluded) {
    for (SimulatedController node : sim.controllers.values()) {
      if (node != excluded) {
        node.watchStalled = true;
        return node;
      }
    }
    throw new IllegalStateException("there is only one controller");
  }

  private static List<String> machinesLedByOthers(
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

  /**
   * Terminates the machines, runs until they are returned and their entries are deleted, and
   * returns one heartbeat of each machine that is still in flight.
   */
  private static List<Heartbeat> returnWithHeartbeatsInFlight(
      Simulation sim, SimulatedController observer, List<String> machines) {
    List<Heartbeat> inFlight = new ArrayList<>();
    for (String machine : machines) {
      SimulatedWorker worker = sim.workers.get(machine);
      worker.heartbeatSequence += 10;
      inFlight.add(worker.snapshot());
      sim.killMachine(machine);
    }
    long until = sim.nowMs + 4 * Simulation.LEASE_MS;
    while (sim.nowMs < until && hasEntry(observer, machines)) {
      sim.runUntil(sim.nowMs + 10);
    }
    assertFalse(hasEntry(observer, machines), "the entries are deleted");
    return inFlight;
  }

  private static void deliver(SimulatedController node, List<Heartbeat> heartbeats) {
    for (Heartbeat heartbeat : heartbeats) {
      node.enqueueEvent(() -> node.core.handleHeartbeat(heartbeat, response -> {}));
    }
  }

  /**
   * Runs until any of the machines gets an entry again through the heartbeats that were in flight,
   * or until the given time is over. Returns whether any machine got one.
   */
  private static boolean runUntilRegisteredAgain(
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
      assertNotNull(observer.core.store().machine(machine), machine + " is running, seed " + seed);
    }
    assertEquals(List.of(), sim.checker.violations, "seed " + seed);
  }

  /**
   * Guards against late entries that stay for a minute, whether they are written as a single entry
   * or as a group.
   */
  @Test
  void lateEntriesAreRemoved() {
    for (int count = 1; count <= 2; count++) {
      int registered = 0;
      for (long seed = 921; seed <= 928; seed++) {
        Simulation sim = runService(seed);
        SimulatedController autoscaler = autoscalerLeader(sim);
        SimulatedController stalled = stallWatchOfOther(sim, autoscaler);
        List<String> machines = machinesLedByOthers(sim, stalled, count);
        List<Heartbeat> inFlight = returnWithHeartbeatsInFlight(sim, autoscaler, machines);
        deliver(stalled, inFlight);
        registered += runUntilRegisteredAgain(sim, autoscaler, machines, 1_000) ? 1 : 0;
        stalled.watchStalled = false;
        assertRemoved(sim, autoscaler, machines, seed);
      }
      // The write of a single entry has a condition on that entry's revision. The stalled
      // controller may hold an outdated revision, and then the write fails. The order of events
      // under test is therefore required only for groups.
      assertTrue(count == 1 || registered > 0, "no history had the order of events under test");
    }
  }

  /**
   * Guards against an entry that the first heartbeat of a machine, which carries no token,
   * registers after the machine's return, at a controller that received neither the machine's entry
   * nor its status.
   */
  @Test
  void entryOfLateFirstHeartbeatIsRemoved() {
    int registered = 0;
    for (long seed = 931; seed <= 938; seed++) {
      Simulation sim = runService(seed);
      SimulatedController autoscaler = autoscalerLeader(sim);
      SimulatedController stalled = stallWatchOfOther(sim, autoscaler);
      sim.partitionDelayMs = 10 * Simulation.LEASE_MS;
      sim.isolate(stalled);
      stalled.stateServiceUnreachable = false;
      String machine = sim.addMachine("t8", "a", false, 0);
      SimulatedWorker worker = sim.workers.get(machine);
      worker.controllerName = autoscaler.name;
      Heartbeat first = worker.snapshot();
      sim.runUntil(sim.nowMs + 3_000);
      if (autoscaler.core.store().machine(machine).node().equals(stalled.name)) {
        continue; // the isolated controller leads the machine
      }
      // The machine is returned at the end of its termination notice, while the isolated controller
      // still accepts heartbeats.
      worker.giveTerminationNotice(Simulation.HEARTBEAT_MS);
      sim.runUntil(sim.nowMs + Simulation.HEARTBEAT_MS - 100);
      returnWithHeartbeatsInFlight(sim, autoscaler, List.of(machine));
      // If another controller is the machine's preferred leader, the first copy is redirected to
      // it. The second copy then registers the machine at the stalled controller.
      deliver(stalled, List.of(first));
      sim.runUntil(sim.nowMs + 100);
      deliver(stalled, List.of(first));
      registered += runUntilRegisteredAgain(sim, autoscaler, List.of(machine), 1_000) ? 1 : 0;
      stalled.watchStalled = false;
      sim.healPartitions();
      assertRemoved(sim, autoscaler, List.of(machine), seed);
    }
    assertTrue(registered > 0, "no history had the order of events under test");
  }

  /**
   * Guards against late entries that stay because the autoscaler leader that returned the machines
   * has crashed. The new leader did not return these machines itself.
   */
  @Test
  void newAutoscalerLeaderRemovesLateEntries() {
    int registered = 0;
    for (long seed = 941; seed <= 948; seed++) {
      Simulation sim = runService(seed);
      SimulatedController former = autoscalerLeader(sim);
      SimulatedController stalled = stallWatchOfOther(sim, former);
      List<String> machines = machinesLedByOthers(sim, stalled, 2);
      List<Heartbeat> inFlight = returnWithHeartbeatsInFlight(sim, former, machines);
      sim.runUntil(sim.nowMs + 1_000);
      former.crash(2 * LEADER_CHANGE_MS);
      deliver(stalled, inFlight);
      SimulatedController third = thirdController(sim, former, stalled);
      registered += runUntilRegisteredAgain(sim, third, machines, 1_000) ? 1 : 0;
      stalled.watchStalled = false;
      sim.runUntil(sim.nowMs + LEADER_CHANGE_MS);
      assertNotEquals(former.name, autoscalerLeader(sim).name);
      assertRemoved(sim, third, machines, seed);
    }
    assertTrue(registered > 0, "no history had the order of events under test");
  }

  private static SimulatedController thirdController(
      Simulation sim, SimulatedController first, SimulatedController second) {
    for (SimulatedController node : sim.controllers.values()) {
      if (node != first && node != second) {
        return node;
      }
    }
    throw new IllegalStateException("there are only two controllers");
  }

  /** Guards against late entries that stay after an outage of the state service or slow answers. */
  @Test
  void lateEntriesAreRemovedAfterOutageOrSlowAnswers() {
    for (boolean outage : new boolean[] {true, false}) {
      int registered = 0;
      for (long seed = 951; seed <= 956; seed++) {
        Simulation sim = runService(seed);
        SimulatedController autoscaler = autoscalerLeader(sim);
        SimulatedController stalled = stallWatchOfOther(sim, autoscaler);
        List<String> machines = machinesLedByOthers(sim, stalled, 2);
        List<Heartbeat> inFlight = returnWithHeartbeatsInFlight(sim, autoscaler, machines);
        deliver(stalled, inFlight);
        registered += runUntilRegisteredAgain(sim, autoscaler, machines, 1_000) ? 1 : 0;
        sim.stateService.outage = outage;
        sim.maxStateDelayMs = outage ? 0 : 900;
        stalled.watchStalled = false;
        sim.runUntil(sim.nowMs + Simulation.LEASE_MS);
        sim.stateService.endOutage();
        sim.maxStateDelayMs = 0;
        sim.runUntil(sim.nowMs + LEADER_CHANGE_MS);
        assertRemoved(sim, autoscaler, machines, seed);
      }
      assertTrue(registered > 0, "no history had the order of events under test");
    }
  }

  /**
   * Guards against deletions that are sent again while they are in flight. With a state service
   * that is slow or near its rate limit, the repeated deletions used up the write rate, and users
   * got 503 for minutes.
   */
  @Test
  void deletionInFlightIsNotSentAgain() {
    for (long seed = 971; seed <= 976; seed++) {
      Simulation sim = runService(seed);
      SimulatedController autoscaler = autoscalerLeader(sim);
      List<String> machines = List.copyOf(sim.workers.keySet()).subList(0, 2);
      // longer than the interval between plans, but short enough to renew the session lease
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
   * Running machines keep their entries when machines register for the first time, when their
   * controllers restart, and when two controllers receive late copies of their heartbeats.
   */
  @Test
  void runningMachinesKeepTheirEntries() {
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
