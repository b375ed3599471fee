package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import mallowstall.core.model.JobSpec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against open jobs on many machines of which no question is answered for 75 s. */
class LargeArrayAnswersTest {
  private static final long POLLED_MS = 110_000;

  /** Longer than all polls, so that no task runs meanwhile. */
  private static final long IMAGE_FETCH_MS = 200_000;

  private static final long SCALED_OUT_MS = 15_000;

  private static Simulation fleet(int machines) {
    Simulation sim = new Simulation(machines, WorkerTimes.LONG);
    sim.imageFetchMs = IMAGE_FETCH_MS;
    sim.maxMachines = machines;
    sim.addMachines(machines - sim.workers.size());
    sim.runUntil(SCALED_OUT_MS);
    return sim;
  }

  /** Submits jobs whose tasks fill a machine each, and returns when all tasks fetch the image. */
  private static List<JobSpec> submitJobs(Simulation sim, int jobs, int tasksPerJob) {
    List<JobSpec> specs = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      JobSpec spec = batchJob(String.format("wk-%06d", i)).tasks(tasksPerJob).cpus(8).build();
      specs.add(spec);
      sim.users.submit(spec);
    }
    int tasks = jobs * tasksPerJob;
    for (long until = sim.nowMs + 60_000; fetchingTasks(sim) < tasks && sim.nowMs < until; ) {
      sim.runUntil(sim.nowMs + 1_000);
    }
    assertEquals(tasks, fetchingTasks(sim));
    return specs;
  }

  private static long fetchingTasks(Simulation sim) {
    return sim.workers.values().stream().mapToLong(worker -> worker.tasks.size()).sum();
  }

  @ParameterizedTest
  @CsvSource({"20, false", "20, true", "300, false", "300, true", "1000, true"})
  void arrayThatFetchesItsImageIsTold(int tasks, boolean controllerRestarts) {
    Simulation sim = fleet(tasks);
    List<JobSpec> jobs = submitJobs(sim, 1, tasks);
    if (controllerRestarts) {
      sim.controllers.get("n1").crash(300);
    }
    JobPoller poller = new JobPoller(sim, jobs);
    poller.run(POLLED_MS);
    poller.assertNothingForgotten();
  }

  @Test
  void jobsThatFetchTheirImagesOnAllMachinesAreTold() {
    Simulation sim = fleet(300);
    JobPoller poller = new JobPoller(sim, submitJobs(sim, 15, 20));
    poller.run(POLLED_MS);
    poller.assertNothingForgotten();
  }
}
