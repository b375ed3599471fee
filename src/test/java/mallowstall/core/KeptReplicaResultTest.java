package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.service;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mallowstall.core.model.ExitReason;
import mallowstall.core.model.Priority;
import org.junit.jupiter.api.Test;

/**
 * Guards against a replica that is started again and again on a machine where it cannot run (seeds
 * 20008, 40024, 40222 of the upgrade histories, and 3097 on the sources of its page).
 *
 * <p>A replica that exits as done leaves its result on the machine, and the worker ends each
 * further attempt of that replica there immediately. The fault occurred when only that machine had
 * capacity for the replica: placement and scale-out counted the machine as usable capacity, so no
 * other machine was requested, and the replica was started there every 15 s until its job was
 * cancelled. At the end of seed 20008 the log repeats {@code start requested job=wk-700002 task=0
 * machine=m-000003} and, half a second later, {@code attempt ended ... reason=DONE}, between them
 * {@code job found no capacity}, and no {@code scale out requested} follows.
 */
class KeptReplicaResultTest {
  private static final String SERVICE = "wk-000001";
  private static final String ZONE = "a";

  /**
   * Processors of a replica. A machine has 8, so a second replica does not fit beside the first.
   */
  private static final double REPLICA_CPUS = 6;

  /** Machine limit at which the cloud provides no machine, not even to replace a returned one. */
  private static final int NO_MORE_MACHINES = 0;

  private static final int MACHINES_MAX = 12;

  /**
   * Maximum time in milliseconds for which a job that fits may be pending once all faults are over.
   */
  private static final long SERVED_WITHIN_MS = InvariantChecker.MAX_PENDING_MS;

  /** Starts a service whose two replicas each occupy one of the two machines of the zone. */
  private static Simulation runOneReplicaPerMachine(long seed) {
    Simulation sim = new Simulation(seed);
    sim.runUntil(8_000);
    sim.users.submit(
        service(SERVICE)
            .tasks(2)
            .cpus(REPLICA_CPUS)
            .spot(false)
            .zone(ZONE)
            .priority(Priority.PRODUCTION)
            .build());
    sim.runUntil(sim.nowMs + 12_000);
    assertEquals(2, sim.checker.runningReplicas(SERVICE));
    assertEquals(2, sim.checker.machinesOf(SERVICE).size());
    return sim;
  }

  private static String machineOf(Simulation sim, int replica) {
    for (SimulatedWorker worker : sim.workers.values()) {
      for (SimulatedTask task : worker.tasks.values()) {
        if (task.job.equals(SERVICE) && task.task == replica) {
          return worker.id;
        }
      }
    }
    throw new IllegalStateException("replica " + replica + " is on no machine");
  }

  private static int startsWithKeptResult(Simulation sim) {
    return sim.faultCounts.getOrDefault("result kept", 0);
  }

  private static void assertServed(Simulation sim) {
    assertEquals(2, sim.checker.runningReplicas(SERVICE));
    assertEquals(List.of(), sim.checker.violations);
  }

  /**
   * Reproduces seed 20008 with one machine for each replica: the only machine with capacity for the
   * replica keeps its result.
   */
  @Test
  void scaleOutReplacesTheOnlyMachineWithCapacity() {
    for (long seed = 601; seed <= 606; seed++) {
      Simulation sim = runOneReplicaPerMachine(seed);
      assertTrue(sim.exitReplica(SERVICE, 0, ExitReason.DONE));
      sim.runUntil(sim.nowMs + SERVED_WITHIN_MS);
      assertServed(sim);
      assertEquals(1, sim.cloudState.rentedMachines(), "seed " + seed);
    }
  }

  /**
   * All controllers receive the status updates about the ended attempts, so the next job leader
   * does not start the replica on the machine that keeps its result either.
   */
  @Test
  void nextJobLeaderAvoidsTheMachineThatKeepsTheResult() {
    Simulation sim = runOneReplicaPerMachine(611);
    sim.maxMachines = NO_MORE_MACHINES;
    assertTrue(sim.exitReplica(SERVICE, 0, ExitReason.DONE));
    while (startsWithKeptResult(sim) == 0) {
      sim.runUntil(sim.nowMs + 100);
    }
    sim.runUntil(sim.nowMs + 2_000);
    int before = startsWithKeptResult(sim);
    SafetyTestSupport.leaderOf(sim, SERVICE).crash(20_000);
    sim.runUntil(sim.nowMs + 40_000);
    assertEquals(
        before, startsWithKeptResult(sim), "no start on the machine that keeps the result");
    sim.maxMachines = MACHINES_MAX;
    sim.runUntil(sim.nowMs + SERVED_WITHIN_MS);
    assertServed(sim);
  }

  /**
   * While the cloud has no machines, starts on the machine that keeps the result are few, and the
   * replica gets another machine as soon as the cloud provides one.
   */
  @Test
  void scaleOutIsRetriedAndStartsAreLimitedWhileCloudHasNoMachines() {
    Simulation sim = runOneReplicaPerMachine(621);
    sim.maxMachines = NO_MORE_MACHINES;
    assertTrue(sim.exitReplica(SERVICE, 0, ExitReason.DONE));
    sim.runUntil(sim.nowMs + 300_000);
    assertTrue(
        startsWithKeptResult(sim) >= 1,
        "the start is retried, since no other machine has capacity");
    assertTrue(
        startsWithKeptResult(sim) <= 7,
        "starts with a kept result in 5 minutes: " + startsWithKeptResult(sim));
    assertEquals(1, sim.checker.runningReplicas(SERVICE));
    sim.maxMachines = MACHINES_MAX;
    sim.runUntil(sim.nowMs + SERVED_WITHIN_MS);
    assertServed(sim);
  }

  /**
   * A replica that exits as done on each machine makes one machine after the other unusable for
   * itself. The scale-out requests for it must back off, with an interval that doubles from 5 s.
   * Otherwise each exit would cost a machine.
   */
  @Test
  void scaleOutBacksOffForReplicaThatExitsOnEachMachine() {
    Simulation sim = runOneReplicaPerMachine(631);
    long until = sim.nowMs + 600_000;
    while (sim.nowMs < until) {
      sim.exitReplica(SERVICE, 0, ExitReason.DONE);
      sim.runUntil(sim.nowMs + 500);
    }
    int machines = sim.cloudState.rentedMachines();
    assertTrue(machines >= 3, "scale-out continues, machines: " + machines);
    assertTrue(machines <= 9, "machines in 10 minutes: " + machines);
    sim.runUntil(sim.nowMs + 10 * SERVED_WITHIN_MS);
    assertServed(sim);
  }

  /** Another replica of the service may run on the machine that keeps the result. */
  @Test
  void otherReplicaRunsOnTheMachineThatKeepsAResult() {
    Simulation sim = runOneReplicaPerMachine(641);
    sim.maxMachines = NO_MORE_MACHINES;
    String resultMachine = machineOf(sim, 0);
    String otherMachine = machineOf(sim, 1);
    assertTrue(sim.exitReplica(SERVICE, 0, ExitReason.DONE));
    while (startsWithKeptResult(sim) == 0) {
      sim.runUntil(sim.nowMs + 100);
    }
    sim.runUntil(sim.nowMs + 16_000);
    assertTrue(sim.exitReplica(SERVICE, 1, ExitReason.ERROR));
    sim.runUntil(sim.nowMs + SERVED_WITHIN_MS);
    assertServed(sim);
    assertEquals(resultMachine, machineOf(sim, 1));
    assertEquals(otherMachine, machineOf(sim, 0));
  }

  /**
   * A replica whose machine has a termination notice is not relocated to the machine that keeps its
   * result, where its attempt would end immediately.
   */
  @Test
  void replicaIsNotRelocatedToTheMachineThatKeepsItsResult() {
    Simulation sim = runOneReplicaPerMachine(651);
    String resultMachine = machineOf(sim, 0);
    assertTrue(sim.exitReplica(SERVICE, 0, ExitReason.DONE));
    sim.runUntil(sim.nowMs + SERVED_WITHIN_MS / 2);
    assertServed(sim);
    String currentMachine = machineOf(sim, 0);
    assertFalse(currentMachine.equals(resultMachine));
    int before = startsWithKeptResult(sim);
    sim.workers.get(currentMachine).giveTerminationNotice(15_000);
    sim.runUntil(sim.nowMs + SERVED_WITHIN_MS / 2);
    assertServed(sim);
    assertEquals(before, startsWithKeptResult(sim));
  }
}
