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

/** Guards against jobs that wait forever and against machines that stay idle forever. */
class SchedulingProgressTest {
  /**
   * A job needs on-demand machines of one zone. That zone has only spot machines, and on-demand
   * machines exist only in another zone. The job waited forever.
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

  /** A fleet without work is scaled in, though more machines are idle than a request may name. */
  @Test
  void hundredsOfIdleMachinesScaleIn() {
    Simulation sim = new Simulation(94);
    sim.addMachines(900);
    sim.runUntil(130_000);
    assertTrue(sim.workers.size() < 200, "still up: " + sim.workers.size());
  }

  /**
   * Guards against starvation. An endless stream of small urgent jobs exceeds the capacity, and
   * large jobs of lower priority that are submitted meanwhile must start within 200 s on every
   * seed. Without the starvation bound they never started. When the wait was counted from the last
   * attempt instead of from the last task that ran, a rejected start cost another 90 s, and on some
   * seeds a job started only after 4 minutes.
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
    assertTrue(
        startedJobs.containsAll(List.of("wk-000001", "wk-000002")), "both jobs have started");
    assertEquals(List.of(), sim.checker.violations);
  }

  /**
   * A large job could use its quota reservation again and again while another job of its team waits
   * for quota. The large job must release part of the reservation so that the other starts.
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
        sim.jobEntry("wk-000001").completedTaskCount() < 400, "the large job is not done yet");
    assertTrue(sim.jobEntry("wk-000002").completedTaskCount() > 0, "the other job has started");
    assertEquals(List.of(), sim.checker.violations);
  }

  /**
   * Scale-out plans for whole waves of tasks. If the deadline leaves time for one and three quarter
   * waves, only one wave is on time, and it needs machines for all tasks. At most two waves are
   * planned, however late the deadline.
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

  /**
   * Guards against a placement cost that grows with the number of tasks, and against completions of
   * a large job that are lost when its leader crashes. The cost may grow with groups and machines:
   * the job leader decides on a large job as a whole, in chunks of its completion bitmap.
   */
  @Test
  void jobOfHundredThousandTasksIsPlacedAsOne() {
    Simulation sim = new Simulation(43);
    sim.runUntil(6_000);
    sim.users.submit(batchJob("wk-000001").tasks(100_000).cpus(1).build());
    sim.policyEvaluations = 0;
    long ticks = sim.ticks;
    sim.runUntil(30_000);
    ticks = sim.ticks - ticks;
    assertTrue(
        sim.policyEvaluations < ticks * 12 * 8,
        sim.policyEvaluations + " evaluations in " + ticks + " ticks");
    JobEntry job = sim.jobEntry("wk-000001");
    assertTrue(job.completedTaskCount() > 50, "done " + job.completedTaskCount());
    leaderOf(sim, "wk-000001").crash(30_000);
    sim.runUntil(60_000);
    assertTrue(sim.jobEntry("wk-000001").epoch() > 1);
    assertTrue(sim.jobEntry("wk-000001").completedTaskCount() > job.completedTaskCount());
    assertEquals(List.of(), sim.checker.violations);
  }
}
