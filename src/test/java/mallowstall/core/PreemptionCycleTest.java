package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.service;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.Priority;
import org.junit.jupiter.api.Test;

/**
 * Guards against services that preempt each other without end, one by its priority and another by
 * its team's guarantee, so that replicas go on and off and none of them is served.
 */
class PreemptionCycleTest {
  /** Covered by the guarantee of its team. */
  private static final String COVERED = "wk-700001";

  private static final String PRODUCTION = "wk-700002";
  private static final String HIGH = "wk-700003";

  /** Long enough for each to preempt, by its guarantee too, and to start. */
  private static final long SETTLED_MS = 60_000;

  private static final long WATCHED_MS = 120_000;

  private static JobSpec replica(String id, String team, Priority priority) {
    return service(id).tasks(1).cpus(8).zone("b").team(team).priority(priority).build();
  }

  /** Zone b has two machines, each with room for one replica of the three services. */
  private static Simulation threeServicesForTwoMachines(long seed, int maxMachines) {
    Simulation sim = new Simulation(seed);
    sim.maxMachines = maxMachines;
    sim.runUntil(8_000);
    sim.users.submit(replica(COVERED, "tight", Priority.LOW));
    sim.users.submit(replica(PRODUCTION, "free", Priority.PRODUCTION));
    sim.users.submit(replica(HIGH, "free", Priority.HIGH));
    sim.runUntil(sim.nowMs + SETTLED_MS);
    return sim;
  }

  private static boolean runs(Simulation sim, String service) {
    return sim.checker.runningReplicas(service) == 1;
  }

  /** Nothing can be scaled out: the highest two stay where they are, and the lowest waits. */
  @Test
  void highestServicesStayAndTheLowestWaits() {
    for (long seed = 191; seed <= 200; seed++) {
      Simulation sim = threeServicesForTwoMachines(seed, 4);
      int startsBefore = sim.checker.startCount;
      for (long end = sim.nowMs + WATCHED_MS; sim.nowMs < end; ) {
        sim.runUntil(sim.nowMs + 1_000);
        assertTrue(runs(sim, COVERED), "seed " + seed + " at " + sim.nowMs);
        assertTrue(runs(sim, PRODUCTION), "seed " + seed + " at " + sim.nowMs);
      }
      assertEquals(startsBefore, sim.checker.startCount, "no replica is started again");
      assertEquals(List.of(), sim.checker.violations);
    }
  }

  /** A machine can be scaled out: the lowest gets one of its own. */
  @Test
  void machineIsScaledOutForTheLowest() {
    for (long seed = 201; seed <= 210; seed++) {
      Simulation sim = threeServicesForTwoMachines(seed, 12);
      for (String service : List.of(COVERED, PRODUCTION, HIGH)) {
        assertTrue(runs(sim, service), "seed " + seed + ": " + service);
      }
    }
  }
}
