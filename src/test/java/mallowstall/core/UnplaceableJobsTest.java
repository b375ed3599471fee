package mallowstall.core;

import static mallowstall.core.SafetyTestSupport.assertFinished;
import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static mallowstall.core.model.JobSpecBuilder.service;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import mallowstall.Constants;
import mallowstall.core.model.JobSpecBuilder;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.Priority;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against accepted jobs that never run because no machine is requested for them: their
 * demand is a small part of a machine, or the machines that are counted against it can't serve
 * them. Guards as well against machines that such requests would rent in vain.
 */
class UnplaceableJobsTest {
  private static final String JOB = "wk-000001";

  /**
   * Time in milliseconds within which a job starts that no machine in service or expected can
   * serve: twice the lag of the cloud's list and one read of it after a change of the leader, boot,
   * and image fetch.
   */
  private static final long STARTS_WITHOUT_MACHINE_MS = 40_000;

  /**
   * Time in milliseconds within which a job starts beside machines that others fill for long. The
   * machine is requested after at most 120 s, boots in at most 8 s here and fetches the image.
   */
  private static final long STARTS_BESIDE_FULL_MACHINES_MS = 135_000;

  /** Time in milliseconds after which a lost machine no longer counts: lease expiry and return. */
  private static final long LOST_MACHINE_GONE_MS = 45_000;

  private static final long LONG_RUN_MS = 3_600_000;

  /** Time in milliseconds after which the controllers have read the machine types again. */
  private static final long TYPES_READ_AGAIN_MS = 61_000;

  private static final int CPUS_OF_ALL_MACHINES = 32;

  private static final MachineType LARGE_TYPE =
      new MachineType("t32", 32, 0, 128, 20, 1, 4.0, 1.2, 8, List.of("a", "b"));

  /** Returns a cluster whose cloud grants requests and which has lost all its machines. */
  private static Simulation withoutMachines(long seed) {
    Simulation sim = new Simulation(seed);
    sim.runUntil(8_000);
    loseAllMachines(sim);
    sim.runUntil(sim.nowMs + LOST_MACHINE_GONE_MS);
    assertEquals(0, sim.workers.size());
    return sim;
  }

  private static void loseAllMachines(Simulation sim) {
    List.copyOf(sim.workers.keySet()).forEach(sim::killMachine);
  }

  private static boolean hasStarted(Simulation sim, String job) {
    return !sim.checker.machinesOf(job).isEmpty() || sim.checker.remainingTasks(job) == 0;
  }

  /** A small job that runs alone must start again after the only machine was taken back. */
  @ParameterizedTest
  @ValueSource(longs = {301, 302, 303})
  void smallJobRunsAgainAfterItsOnlyMachineWasTakenBack(long seed) {
    Simulation sim = withoutMachines(seed);
    String machine = sim.addMachine("t8", "a", true, 0);
    sim.runUntil(sim.nowMs + 5_000);
    sim.taskRunMs = 40_000;
    sim.users.submit(
        batchJob(JOB).cpus(0.25).priority(Priority.LOW).estimatedRunS(150).deadlineS(null).build());
    sim.runUntil(sim.nowMs + 10_000);
    assertEquals(List.of(machine), List.copyOf(sim.checker.machinesOf(JOB)));
    sim.killMachine(machine);
    sim.runUntil(sim.nowMs + LOST_MACHINE_GONE_MS + STARTS_WITHOUT_MACHINE_MS);
    assertTrue(hasStarted(sim, JOB), "requests: " + sim.cloudState.requests);
    sim.runUntil(sim.nowMs + 60_000);
    assertFinished(sim, JOB);
    assertEquals(1, sim.cloudState.rentedMachines());
  }

  private static Arguments job(String name, UnaryOperator<JobSpecBuilder> change) {
    return Arguments.of(name, change);
  }

  private static Stream<Arguments> smallJobs() {
    return Stream.of(
        job("estimated at 0 s", job -> job.cpus(1).estimatedRunS(0)),
        job("estimated at 1 s", job -> job.cpus(0.25).estimatedRunS(1)),
        job("estimated at 12 s", job -> job.cpus(0.25).estimatedRunS(12)),
        job("four tasks estimated at 0 s", job -> job.tasks(4).cpus(1).estimatedRunS(0)),
        job("tiny task", job -> job.cpus(0.0001).estimatedRunS(600)),
        job("urgent", job -> job.cpus(0.25).estimatedRunS(1).priority(Priority.HIGH)),
        job("lowest priority", job -> job.cpus(0.25).priority(Priority.LOW).deadlineS(null)),
        job("on-demand only", job -> job.cpus(0.25).estimatedRunS(1).spot(false)),
        job("one zone", job -> job.tasks(2).cpus(0.25).singleZone(true).estimatedRunS(1)),
        job("given zone", job -> job.cpus(0.25).zone("b").estimatedRunS(1)),
        job("spread", job -> job.tasks(2).cpus(0.25).spread(true).estimatedRunS(1)),
        job("team with a limit", job -> job.cpus(0.25).team("tight").estimatedRunS(1)),
        job("given type", job -> job.cpus(0.25).machineTypes(List.of("t8")).estimatedRunS(1)));
  }

  /** A job handed in while no machine is up must run, however small or short it is. */
  @ParameterizedTest(name = "{0}")
  @MethodSource("smallJobs")
  void smallJobRunsWithoutAnyMachineInService(String name, UnaryOperator<JobSpecBuilder> change) {
    Simulation sim = withoutMachines(311);
    sim.users.submit(change.apply(batchJob(JOB)).build());
    sim.runUntil(sim.nowMs + STARTS_WITHOUT_MACHINE_MS);
    assertTrue(hasStarted(sim, JOB), name + ", requests: " + sim.cloudState.requests);
    sim.runUntil(sim.nowMs + 30_000);
    assertFinished(sim, JOB);
    int zones = change.apply(batchJob(JOB)).build().spread() ? 2 : 1;
    assertTrue(sim.cloudState.rentedMachines() <= zones, "rented: " + sim.cloudState.requests);
  }

  private static Stream<Arguments> fillers() {
    return Stream.of(
        job("long, by their estimates too", job -> job.estimatedRunS(3_600).deadlineS(null)),
        job("long, though estimated at 0 s", job -> job.estimatedRunS(0).deadlineS(null)),
        job("long, though estimated at 20 s", job -> job.estimatedRunS(20).deadlineS(900.0)));
  }

  /**
   * A small job must run beside machines that other jobs fill for long, also if their estimates
   * promise room soon, with and without a service, and whatever zone and kind of machine it needs.
   */
  @ParameterizedTest(name = "{0}")
  @MethodSource("fillers")
  void jobRunsBesideMachinesFilledForLong(String name, UnaryOperator<JobSpecBuilder> filler) {
    for (boolean service : new boolean[] {false, true}) {
      Simulation sim = new Simulation(321);
      sim.maxMachines = 4;
      sim.taskRunMs = LONG_RUN_MS;
      sim.runUntil(8_000);
      if (service) {
        sim.users.submit(service("wk-000008").cpus(0.5).build());
        sim.runUntil(sim.nowMs + 5_000);
      }
      int tasks = service ? CPUS_OF_ALL_MACHINES - 1 : CPUS_OF_ALL_MACHINES;
      sim.users.submit(filler.apply(batchJob("wk-000009").tasks(tasks).cpus(1)).build());
      sim.runUntil(sim.nowMs + 12_000);
      assertEquals(tasks, sim.checker.runningReplicas("wk-000009"), name);
      sim.maxMachines = 12;
      sim.users.submit(batchJob(JOB).cpus(1).deadlineS(null).build());
      sim.users.submit(batchJob("wk-000002").cpus(0.6).zone("b").estimatedRunS(1).build());
      sim.users.submit(batchJob("wk-000003").cpus(1).spot(false).team("tight").build());
      sim.runUntil(sim.nowMs + STARTS_BESIDE_FULL_MACHINES_MS);
      for (String id : List.of(JOB, "wk-000002", "wk-000003")) {
        assertTrue(hasStarted(sim, id), id + ", requests: " + sim.cloudState.requests);
      }
      assertEquals(List.of(), sim.checker.violations);
    }
  }

  /** The time until the request depends on what the machines in service are expected to free. */
  @ParameterizedTest
  @CsvSource({"100, 3600, 25", "15, 34, 0", "0, 3600, 45"})
  void requestWaitsForMachinesThatAreExpectedToFreeCapacity(
      double estimatedRunS, int runS, int requestedWithinS) {
    Simulation sim = new Simulation(325);
    sim.maxMachines = 4;
    sim.taskRunMs = runS * 1_000L;
    sim.runUntil(8_000);
    sim.users.submit(
        batchJob("wk-000009")
            .tasks(32)
            .cpus(1)
            .estimatedRunS(estimatedRunS)
            .deadlineS(900.0)
            .build());
    sim.runUntil(sim.nowMs + 5_000);
    assertEquals(CPUS_OF_ALL_MACHINES, sim.checker.runningReplicas("wk-000009"));
    sim.users.submit(batchJob(JOB).cpus(0.5).estimatedRunS(0).build());
    sim.cloudState.requests.clear();
    sim.maxMachines = 12;
    long submittedMs = sim.nowMs;
    while (sim.cloudState.requests.isEmpty() && sim.nowMs < submittedMs + 60_000) {
      sim.runUntil(sim.nowMs + 100);
    }
    if (requestedWithinS == 0) {
      assertEquals(List.of(), sim.cloudState.requests);
      assertTrue(hasStarted(sim, JOB));
    } else {
      long tookMs = sim.nowMs - submittedMs;
      assertTrue(tookMs <= requestedWithinS * 1_000L, "requested after " + tookMs);
    }
  }

  /** The remaining task of a job in one zone must run, though its other task runs for long. */
  @Test
  void remainingTaskOfPartlyPlacedJobRuns() {
    Simulation sim = new Simulation(331);
    sim.maxMachines = 4;
    sim.taskRunMs = LONG_RUN_MS;
    sim.runUntil(8_000);
    sim.users.submit(batchJob("wk-000009").tasks(4).cpus(7).estimatedRunS(0).build());
    sim.runUntil(sim.nowMs + 12_000);
    sim.users.submit(batchJob("wk-000008").tasks(3).cpus(1).estimatedRunS(0).build());
    sim.runUntil(sim.nowMs + 12_000);
    sim.maxMachines = 12;
    sim.users.submit(batchJob(JOB).tasks(2).cpus(1).singleZone(true).estimatedRunS(0).build());
    sim.runUntil(sim.nowMs + 12_000);
    assertEquals(1, sim.checker.runningReplicas(JOB));
    sim.runUntil(sim.nowMs + STARTS_BESIDE_FULL_MACHINES_MS);
    assertEquals(2, sim.checker.runningReplicas(JOB), "requests: " + sim.cloudState.requests);
    assertEquals(List.of(), sim.checker.violations);
  }

  /**
   * A job that only an on-demand machine can serve, as the cloud has no spot machines, must run
   * although the number of machines is so close to the demand that spot machines are waited for.
   */
  @Test
  void jobRunsWhileTheDemandIsNearlyMetAndSpotMachinesAreRefused() {
    Simulation sim = new Simulation(341);
    sim.addMachines(6);
    sim.maxMachines = 10;
    sim.taskRunMs = LONG_RUN_MS;
    sim.runUntil(10_000);
    sim.users.submit(
        batchJob("wk-000009").tasks(10).cpus(8).estimatedRunS(18).deadlineS(null).build());
    sim.runUntil(sim.nowMs + 12_000);
    assertEquals(10, sim.checker.runningReplicas("wk-000009"));
    sim.cloudState.refusal = request -> request.spot() ? 503 : 0;
    sim.maxMachines = 12;
    sim.users.submit(batchJob(JOB).cpus(1).estimatedRunS(600).deadlineS(null).build());
    sim.runUntil(sim.nowMs + STARTS_BESIDE_FULL_MACHINES_MS);
    assertTrue(hasStarted(sim, JOB), "requests: " + sim.cloudState.requests);
  }

  /**
   * A queue of short jobs that the running machines soon serve rents no machine, with and without
   * estimates that are too low by half.
   */
  @ParameterizedTest
  @ValueSource(ints = {3, 5})
  void queueOfShortJobsThatMachinesSoonServeRentsNothing(int runS) {
    Simulation sim = new Simulation(351);
    sim.taskRunMs = runS * 1_000L;
    sim.runUntil(8_000);
    for (int i = 0; i < 96; i++) {
      sim.users.submit(
          batchJob(String.format("wk-1%05d", i)).cpus(1).estimatedRunS(3).deadlineS(null).build());
    }
    sim.runUntil(sim.nowMs + 120_000);
    for (int i = 0; i < 96; i++) {
      assertFinished(sim, String.format("wk-1%05d", i));
    }
    assertEquals(List.of(), sim.cloudState.requests);
  }

  /** A job must run on a machine of a larger type if the cloud has none of the smallest one. */
  @Test
  void jobRunsOnLargerTypeWhileTheSmallestTypeIsSoldOut() {
    Simulation sim = withoutMachines(355);
    sim.cloudState.offeredTypes = List.of(CloudState.DEFAULT_TYPE, LARGE_TYPE);
    sim.cloudState.refusal = request -> request.type().equals("t8") ? 503 : 0;
    sim.runUntil(sim.nowMs + TYPES_READ_AGAIN_MS);
    sim.users.submit(batchJob(JOB).cpus(4).estimatedRunS(60).deadlineS(null).build());
    sim.runUntil(sim.nowMs + STARTS_WITHOUT_MACHINE_MS);
    assertTrue(hasStarted(sim, JOB), "requests: " + sim.cloudState.requests);
    sim.runUntil(sim.nowMs + 30_000);
    assertFinished(sim, JOB);
    assertEquals(1, sim.cloudState.rentedMachines());
  }

  /** A job whose team is at its limit waits for quota, so that no machine would serve it. */
  @Test
  void jobOfTeamAtItsLimitRentsNothing() {
    Simulation sim = new Simulation(357);
    sim.taskRunMs = LONG_RUN_MS;
    sim.runUntil(8_000);
    sim.users.submit(
        batchJob("wk-000009").tasks(24).cpus(1).team("tight").estimatedRunS(0).build());
    sim.users.submit(batchJob("wk-000008").tasks(8).cpus(1).estimatedRunS(0).build());
    sim.runUntil(sim.nowMs + 12_000);
    assertEquals(24, sim.checker.runningReplicas("wk-000009"));
    sim.users.submit(batchJob(JOB).cpus(1).team("tight").estimatedRunS(0).build());
    sim.runUntil(sim.nowMs + 300_000);
    assertEquals(List.of(), sim.cloudState.requests);
    assertEquals(List.of(), sim.checker.violations);
  }

  /** While the cloud refuses, a request of one kind is repeated only after its cooldown of 15 s. */
  @Test
  void refusedRequestIsRepeatedOnlyAfterACooldown() {
    Simulation sim = withoutMachines(361);
    sim.cloudState.refusal = request -> 503;
    sim.users.submit(batchJob(JOB).cpus(0.25).estimatedRunS(1).deadlineS(null).build());
    sim.runUntil(sim.nowMs + 300_000);
    int kinds = 4;
    int requests = sim.cloudState.requests.size();
    assertTrue(requests >= 10 * kinds, "requests: " + requests);
    assertTrue(requests <= 21 * kinds, "requests: " + requests);
    sim.cloudState.refusal = request -> 0;
    sim.runUntil(sim.nowMs + STARTS_WITHOUT_MACHINE_MS);
    assertTrue(hasStarted(sim, JOB));
    assertEquals(1, sim.cloudState.rentedMachines());
  }

  /** A new autoscaler leader must not request a second machine while the first one boots. */
  @Test
  void nextAutoscalerLeaderRequestsNoSecondMachine() {
    for (long seed = 371; seed <= 376; seed++) {
      Simulation sim = withoutMachines(seed);
      sim.users.submit(batchJob(JOB).cpus(0.25).estimatedRunS(1).deadlineS(null).build());
      long until = sim.nowMs + STARTS_WITHOUT_MACHINE_MS;
      while (sim.cloudState.rentedMachines() == 0 && sim.nowMs < until) {
        sim.runUntil(sim.nowMs + 20);
      }
      SafetyTestSupport.crashAutoscalerLeader(sim, 20_000);
      sim.runUntil(sim.nowMs + 60_000);
      assertTrue(hasStarted(sim, JOB), "seed " + seed);
      assertEquals(
          1, sim.cloudState.rentedMachines(), "seed " + seed + ": " + sim.cloudState.requests);
    }
  }

  /**
   * A job that fails on each machine is retried at long intervals. The machine that alone can serve
   * it must not be returned and rented again meanwhile, though another machine meets the demand.
   */
  @Test
  void machineOfJobThatAlwaysFailsIsNotRentedInTurn() {
    Simulation sim = withoutMachines(381);
    sim.addMachine("t8", "a", true, 0);
    sim.taskRunMs = LONG_RUN_MS;
    sim.runUntil(sim.nowMs + 3_000);
    sim.users.submit(batchJob("wk-000009").cpus(0.25).estimatedRunS(1).deadlineS(null).build());
    sim.runUntil(sim.nowMs + 3_000);
    sim.users.submit(batchJob(JOB).cpus(0.25).zone("b").estimatedRunS(1).deadlineS(null).build());
    long until = sim.nowMs + 1_200_000;
    while (sim.nowMs < until) {
      sim.workers.values().forEach(worker -> worker.faulty = worker.zone.equals("b"));
      sim.runUntil(sim.nowMs + 100);
    }
    int toBlameTheJob = Constants.JOB_FAULT_MACHINES;
    assertTrue(
        sim.cloudState.rentedMachines() <= toBlameTheJob + 1, "rented: " + sim.cloudState.requests);
  }
}
