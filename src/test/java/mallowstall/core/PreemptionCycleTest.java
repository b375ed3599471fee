package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.service;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.Priority;
import org.junit.jupiter.api.Test;

/**
 * Guards against services that preempt each other endlessly, one because of its priority and
 * another because of its team's guaranteed share. Their replicas start and stop in turn, and none
 * of the services runs continuously.
 */
class PreemptionCycleTest {
  /** The service that is covered by the guaranteed share of its team. */
  private static final String GUARANTEED = "wk-700001";

  private static final String PRODUCTION = "wk-700002";
  private static final String HIGH = "wk-700003";

  /**
   * Time in milliseconds within which each service can preempt, also by its guaranteed share, and
   * start.
   */
  private static final long SETTLE_MS = 60_000;

  private static final long OBSERVED_MS = 120_000;

  private static JobSpec replica(String id, String team, Priority priority) {
    return service(id).tasks(1).cpus(8).zone("b").team(team).priority(priority).build();
  }

  /**
   * Submits three services to zone b, which has two machines with capacity for one replica each.
   */
  private static Simulation threeServicesForTwoMachines(long seed, int maxMachines) {
    Simulation sim = new Simulation(seed);
    sim.maxMachines = maxMachines;
    sim.runUntil(8_000);
    sim.users.submit(replica(GUARANTEED, "tight", Priority.LOW));
    sim.users.submit(replica(PRODUCTION, "free", Priority.PRODUCTION));
    sim.users.submit(replica(HIGH, "free", Priority.HIGH));
    sim.runUntil(sim.nowMs + SETTLE_MS);
    return sim;
  }

  private static boolean isRunning(Simulation sim, String service) {
    return sim.checker.runningReplicas(service) == 1;
  }

  /**
   * If no machine can be scaled out, the two services that rank highest keep running without a
   * restart and the third one stays pending.
   */
  @Test
  void highestServicesKeepRunningAndLowestStaysPending() {
    for (long seed = 191; seed <= 200; seed++) {
      Simulation sim = threeServicesForTwoMachines(seed, 4);
      int startsBefore = sim.checker.startCount;
      for (long end = sim.nowMs + OBSERVED_MS; sim.nowMs < end; ) {
        sim.runUntil(sim.nowMs + 1_000);
        assertTrue(isRunning(sim, GUARANTEED), "seed " + seed + " at " + sim.nowMs);
        assertTrue(isRunning(sim, PRODUCTION), "seed " + seed + " at " + sim.nowMs);
      }
      assertEquals(startsBefore, sim.checker.startCount, "no replica is restarted");
      assertEquals(List.of(), sim.checker.violations);
    }
  }

  /** If machines can be scaled out, the service that ranks lowest gets a machine. */
  @Test
  void machineIsScaledOutForLowestService() {
    for (long seed = 201; seed <= 210; seed++) {
      Simulation sim = threeServicesForTwoMachines(seed, 12);
      for (String service : List.of(GUARANTEED, PRODUCTION, HIGH)) {
        assertTrue(isRunning(sim, service), "seed " + seed + ": " + service);
      }
    }
  }
}
