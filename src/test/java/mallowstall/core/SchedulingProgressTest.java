package mallowstall.core;

import static mallowstall.core.SafetyTestSupport.assertFinished;
import static mallowstall.core.SafetyTestSupport.leaderOf;
import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.Priority;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Work that would wait for good, or machines that would stand idle, were it not for one rule. */
class SchedulingProgressTest {
  /**
   * A job that needs ordinary machines of one zone, while there are spot ones there and ordinary
   * ones elsewhere: it waited for good.
   */
  @Test
  void jobForOnDemandMachinesOfOneZoneRuns() {
    Simulation sim = new Simulation(68);
    sim.runUntil(8_000);
    for (SimulatedWorker worker : List.copyOf(sim.workers.values())) {
      if (worker.zone.equals("a")) {
        sim.killMachine(worker.id);
      }
    }
    sim.addMachine("t8", "a", true, 0);
    sim.runUntil(60_000);
    sim.users.submit(batchJob("wk-000001").tasks(2).spot(false).zone("a").build());
    sim.runUntil(150_000);
    assertFinished(sim, "wk-000001");
  }

  /** A fleet without work goes back, though more machines are idle than one request may name. */
  @Test
  void hundredsOfIdleMachinesScaleIn() {
    Simulation sim = new Simulation(94);
    sim.addMachines(900);
    sim.runUntil(130_000);
    assertTrue(sim.workers.size() < 200, "still up: " + sim.workers.size());
  }

  /**
   * Nobody starves: small urgent jobs without end, more than can be done, and large routine ones
   * submitted among them begin within 200 s all the same, whatever the luck. Without the bound they
   * never did; with the wait counted from the last try instead of the last task that ran, a start
   * that was refused cost 90 s more, and on some seeds a job began after 4 minutes only.
   */
  @ParameterizedTest
  @ValueSource(longs = {70, 71, 72, 79})
  void largeLowPriorityJobStartsInUrgentOverload(long seed) {
    Simulation sim = new Simulation(seed);
    sim.taskRunMs = 20_000;
    sim.runUntil(8_000);
    for (int i = 0; i < 400; i++) {
      String id = String.format("wk-1%05d", i);
      sim.schedule(
          i * 700L,
          () -> sim.users.submit(batchJob(id).tasks(4).cpus(4).priority(Priority.HIGH).build()));
    }
    sim.runUntil(30_000);
    sim.users.submit(batchJob("wk-000001").tasks(40).cpus(4).singleZone(true).build());
    sim.users.submit(
        batchJob("wk-000002").tasks(40).cpus(4).priority(Priority.LOW).spread(true).build());
    Set<String> startedJobs = new HashSet<>();
    while (sim.nowMs < 230_000) {
      sim.runUntil(sim.nowMs + 5_000);
      for (SimulatedWorker worker : sim.workers.values()) {
        for (SimulatedTask task : worker.tasks.values()) {
          startedJobs.add(task.job);
        }
      }
    }
    assertTrue(startedJobs.containsAll(List.of("wk-000001", "wk-000002")), "both have begun");
    assertEquals(List.of(), sim.checker.violations);
  }

  /**
   * The same within one team's limit: a job that uses its quota reservation again and again
   * releases some.
   */
  @Test
  void largestJobOfTeamReleasesQuotaReservations() {
    Simulation sim = new Simulation(71);
    sim.taskRunMs = 8_000;
    sim.runUntil(8_000);
    sim.users.submit(
        batchJob("wk-000001").tasks(400).priority(Priority.HIGH).team("tight").build());
    sim.runUntil(15_000);
    sim.users.submit(batchJob("wk-000002").tasks(10).team("tight").build());
    sim.runUntil(180_000);
    assertTrue(
        sim.jobEntry("wk-000001").completedTaskCount() < 400, "there is more to do than can be");
    assertTrue(sim.jobEntry("wk-000002").completedTaskCount() > 0, "and still the other has begun");
    assertEquals(List.of(), sim.checker.violations);
  }

  /**
   * Machines are planned for whole waves of tasks: where one and three quarters would be on time,
   * one is, and all its machines are needed.
   */
  @Test
  void scaleOutPlansForWholeWaves() {
    for (double deadline : new double[] {72, 200}) {
      Simulation sim = new Simulation(76);
      sim.runUntil(8_000);
      sim.users.submit(
          batchJob("wk-000001")
              .jobClass("c")
              .tasks(20)
              .cpus(4)
              .image("i")
              .estimatedRunS(30)
              .deadlineS(deadline)
              .build());
      sim.runUntil(13_000);
      int machines = sim.workers.size();
      if (deadline == 72) {
        assertTrue(machines >= 10, "for one wave of 20 tasks: " + machines);
      } else {
        assertTrue(machines >= 5 && machines <= 7, "for two waves: " + machines);
      }
    }
  }

  /** Cost follows groups and machines: a large job is decided as one, in chunks of its bitmap. */
  @Test
  void jobOfHundredThousandTasksIsPlacedAsOne() {
    Simulation sim = new Simulation(43);
    sim.runUntil(6_000);
    sim.users.submit(batchJob("wk-000001").tasks(100_000).cpus(1).build());
    sim.policyEvaluations = 0;
    long rounds = sim.ticks;
    sim.runUntil(30_000);
    rounds = sim.ticks - rounds;
    assertTrue(
        sim.policyEvaluations < rounds * 12 * 8,
        sim.policyEvaluations + " evaluations in " + rounds + " ticks");
    JobEntry job = sim.jobEntry("wk-000001");
    assertTrue(job.completedTaskCount() > 50, "done " + job.completedTaskCount());
    leaderOf(sim, "wk-000001").crash(30_000);
    sim.runUntil(60_000);
    assertTrue(sim.jobEntry("wk-000001").epoch() > 1);
    assertTrue(sim.jobEntry("wk-000001").completedTaskCount() > job.completedTaskCount());
    assertEquals(List.of(), sim.checker.violations);
  }
}
