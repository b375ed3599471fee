package mallowstall.core;

import static mallowstall.core.SafetyTestSupport.assertFinished;
import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StoredValue;
import mallowstall.core.model.MachineEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a controller that the state service serves again and that stays a leader without
 * ever catching up: accepted jobs that need its machines, or its state replica, never run.
 */
class StaleReplicaTest {
  /**
   * Time in milliseconds from a lasting fault until the controller has no session: ten renewals and
   * a lease.
   */
  private static final long GIVEN_UP_WITHIN_MS = 20_000;

  /** No job waits longer than this while a machine that fits has room (handbook). */
  private static final long JOB_WAITS_MAX_MS = 90_000;

  private static Simulation runWithRefusedController(long seed) {
    Simulation sim = new Simulation(seed);
    sim.taskRunMs = 3_000;
    sim.runUntil(8_000);
    SimulatedController refused = sim.controllers.get("n0");
    refused.stateServiceUnreachable = true;
    sim.users.submit(batchJob("wk-000000").tasks(20).build());
    sim.runUntil(20_000);
    return sim;
  }

  /** Guards against jobs that never run because a served controller can't catch up for good. */
  @ParameterizedTest
  @EnumSource(value = CatchUpFault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
  void acceptedJobsRunBesideControllerThatCannotCatchUp(CatchUpFault fault) {
    for (long seed = 641; seed <= 643; seed++) {
      Simulation sim = runWithRefusedController(seed);
      SimulatedController stale = sim.controllers.get("n0");
      stale.catchUpFault = fault;
      stale.stateServiceUnreachable = false;
      sim.runUntil(sim.nowMs + 1_000);
      sim.addMachines(4); // some of them turn to the controller that can't catch up
      for (int i = 1; i <= 6; i++) {
        sim.users.submit(batchJob("wk-00000" + i).tasks(16).build());
        sim.runUntil(sim.nowMs + 500);
      }
      sim.controllers.get("n1").crash(200); // its jobs are recovered by the others
      sim.controllers.get("n2").crash(6_000);
      sim.runUntil(sim.nowMs + JOB_WAITS_MAX_MS);
      for (int i = 0; i <= 6; i++) {
        assertFinished(sim, "wk-00000" + i);
      }
    }
  }

  /** Guards against peers that wait for the state replica of a controller that stays behind. */
  @ParameterizedTest
  @EnumSource(
      value = CatchUpFault.class,
      names = {"STALLED", "UNLISTED"})
  void controllerThatCannotCatchUpLeadsNothing(CatchUpFault fault) {
    Simulation sim = new Simulation(645);
    sim.runUntil(10_000);
    SimulatedController stale = sim.controllers.get("n1");
    stale.catchUpFault = fault;
    sim.users.submit(batchJob("wk-000001").tasks(4).build());
    sim.runUntil(sim.nowMs + GIVEN_UP_WITHIN_MS);
    assertTrue(stale.core.store().sessionRemainingMs() <= 0, "session");
    sim.runUntil(sim.nowMs + GIVEN_UP_WITHIN_MS);
    for (String id : sim.workers.keySet()) {
      MachineEntry entry = sim.controllers.get("n2").core.store().machine(id);
      assertTrue(entry != null && !entry.node().equals("n1"), id + " is led by " + entry);
    }
    stale.catchUpFault = CatchUpFault.NONE;
    sim.runUntil(sim.nowMs + 10_000);
    assertTrue(stale.core.store().sessionRemainingMs() > 0, "session after catching up");
    assertEquals(List.of(), sim.checker.violations);
  }

  /** Guards against ways to catch up after a fault that end in different states of the replica. */
  @ParameterizedTest
  @EnumSource(CatchUpFault.class)
  void everyWayToCatchUpEndsInTheSameState(CatchUpFault fault) {
    for (long seed = 651; seed <= 654; seed++) {
      Simulation sim = runWithRefusedController(seed);
      SimulatedController stale = sim.controllers.get("n0");
      stale.catchUpFault = fault;
      stale.stateServiceUnreachable = false;
      for (int i = 1; i <= 4; i++) {
        sim.users.submit(batchJob("wk-00000" + i).tasks(9).team("tight").build());
        sim.runUntil(sim.nowMs + 2_000 + 1_000L * i);
      }
      sim.killMachine(sim.workers.keySet().iterator().next());
      sim.addMachines(40); // some register together, under one key
      sim.controllers.get("n2").crash(300); // its machines get other entries
      sim.runUntil(sim.nowMs + 20_000);
      assertTrue(hasGroup(sim), "machines that share an entry");
      stale.catchUpFault = CatchUpFault.NONE;
      sim.runUntil(sim.nowMs + 30_000);
      assertReplicaHoldsState(sim, stale);
      assertEquals(List.of(), sim.checker.violations);
    }
  }

  /** Guards against broken rules while controllers fail to catch up beside other faults. */
  @ParameterizedTest
  @ValueSource(longs = {61001, 61002, 61003, 61004, 61005, 61006})
  void invariantsHoldWhileControllersFailToCatchUp(long seed) {
    assertInvariantsHold(seed);
  }

  /**
   * Searches further seeds for broken rules.
   *
   * <pre>mvn -q test -Dtest=StaleReplicaTest#manySeeds -Dmallowstall.seeds=62000-62300</pre>
   */
  @Test
  void manySeeds() throws InterruptedException {
    new SeedSearch().runAll(StaleReplicaTest::assertInvariantsHold, () -> "");
  }

  private static void assertInvariantsHold(long seed) {
    Simulation sim = new Simulation(seed);
    RandomFaults.setMessageFaultRates(sim, seed);
    RandomFaults.scheduleRandomJobs(sim, 30);
    for (int i = 0; i < 8; i++) {
      sim.schedule(10_000 + sim.random.nextInt(110_000), () -> RandomFaults.injectBasicFault(sim));
      sim.schedule(10_000 + sim.random.nextInt(110_000), () -> injectCatchUpFault(sim));
    }
    sim.schedule(140_000, sim::stopRandomFaults);
    // the last fault starts by 120 s and lasts at most one minute
    sim.checker.faultsEndedMs = 185_000;
    sim.runUntil(400_000);
    assertEquals(List.of(), sim.checker.violations);
    for (String id : sim.users.jobs) {
      String last = sim.checker.lastState(id);
      assertTrue(last == null || sim.checker.hasEnded(id), id + " is " + last);
    }
    assertTrue(sim.checker.startCount > 0, "nothing_ran");
  }

  /** Lets a controller, which may be refused before, fail to catch up for up to 40 s. */
  private static void injectCatchUpFault(Simulation sim) {
    SimulatedController node = sim.controllers.get(Simulation.NODES.get(sim.random.nextInt(3)));
    CatchUpFault[] faults = CatchUpFault.values();
    node.catchUpFault = faults[sim.random.nextInt(faults.length)];
    if (sim.random.nextBoolean()) {
      node.stateServiceUnreachable = true;
      sim.schedule(sim.random.nextInt(20_000), () -> node.stateServiceUnreachable = false);
    }
    sim.schedule(2_000 + sim.random.nextInt(40_000), () -> node.catchUpFault = CatchUpFault.NONE);
  }

  private static void assertReplicaHoldsState(Simulation sim, SimulatedController controller) {
    long until = sim.nowMs + 10_000;
    while (sim.nowMs < until && !stored(sim).equals(replicated(controller))) {
      sim.runUntil(sim.nowMs + 20);
    }
    assertEquals(stored(sim), replicated(controller));
    for (String id : sim.workers.keySet()) {
      assertEquals(
          sim.controllers.get("n1").core.store().machine(id),
          controller.core.store().machine(id),
          "leader of a machine, by its own entry or one that it shares with others");
    }
  }

  private static boolean hasGroup(Simulation sim) {
    return sim.stateService.changes.stream()
        .anyMatch(change -> change.key().startsWith(StateKeys.MACHINE_GROUP_PREFIX));
  }

  /**
   * Returns the revisions of the keys in the state service, without those that change all the time.
   */
  private static Map<String, Long> stored(Simulation sim) {
    Map<String, Long> revisions = new TreeMap<>();
    sim.stateService.entries.forEach(
        (key, value) -> {
          if (isCompared(key)) {
            revisions.put(key, value.version());
          }
        });
    return revisions;
  }

  private static Map<String, Long> replicated(SimulatedController controller) {
    Map<String, Long> revisions = new TreeMap<>();
    for (Map.Entry<String, StoredValue> entry :
        controller.core.store().entriesUnder("c/").entrySet()) {
      if (isCompared(entry.getKey())) {
        revisions.put(entry.getKey(), entry.getValue().modRevision());
      }
    }
    return revisions;
  }

  private static boolean isCompared(String key) {
    return !key.startsWith("c/d/") && !key.startsWith(StateKeys.MACHINE_PREFIX);
  }
}
