package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mallowstall.core.InvariantChecker.RunningTask;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.TaskState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs random histories in which images take minutes to fetch, workers report rarely and users poll
 * rarely, while machines fall silent in turn and other faults strike. Each is determined by its
 * seed and checked against the rules of {@link InvariantChecker}.
 */
class RandomizedFetchTest {
  private static final int JOBS = 20;

  private static final int IMAGES = 5;

  private static final int FAULTS_BEGIN_MS = 20_000;

  private static final int FAULTS_MS = 180_000;

  private static final long POLL_INTERVAL_MIN_MS = 5_000;

  @ParameterizedTest
  @ValueSource(longs = {27, 28, 38, 64, 72, 87})
  void invariantsHoldDuringLongFetches(long seed) {
    assertRulesHold(run(seed));
  }

  /**
   * Searches seeds beyond those that each build runs, and prints each seed that violates a rule.
   *
   * <pre>mvn -q test -Dtest=RandomizedFetchTest#manySeeds -Dmallowstall.seeds=1000-3000</pre>
   */
  @Test
  void manySeeds() throws InterruptedException {
    new SeedSearch().runAll(seed -> assertRulesHold(run(seed)), () -> "long fetches");
  }

  private static void assertRulesHold(Simulation sim) {
    assertEquals(List.of(), sim.checker.violations);
    assertTrue(sim.checker.startCount > 0, "nothing_ran");
  }

  private static Simulation run(long seed) {
    Simulation sim = new Simulation(seed, WorkerTimes.LONG);
    RandomFaults.setMessageFaultRates(sim, seed);
    sim.users.pollIntervalMinMs = POLL_INTERVAL_MIN_MS;
    sim.fetchesBySize = true;
    sim.checker.fetchingTasks = () -> fetchingTasks(sim);
    sim.taskRunMs = 5_000L + sim.random.nextInt(60_000);
    sim.maxMachines = 20 + sim.random.nextInt(60);
    sim.addMachines(sim.maxMachines / 2);
    scheduleJobs(sim);
    for (int i = 0; i < 3; i++) {
      scheduleFault(sim, () -> fallSilentInTurn(sim));
    }
    for (int i = 0; i < 4; i++) {
      scheduleFault(sim, () -> RandomFaults.injectBasicFault(sim));
    }
    sim.schedule(FAULTS_BEGIN_MS + FAULTS_MS, sim::stopRandomFaults);
    sim.checker.faultsEndedMs = FAULTS_BEGIN_MS + FAULTS_MS + 60_000;
    sim.runUntil(600_000);
    return sim;
  }

  private static List<RunningTask> fetchingTasks(Simulation sim) {
    List<RunningTask> fetching = new ArrayList<>();
    for (SimulatedWorker worker : sim.workers.values()) {
      for (SimulatedTask task : worker.tasks.values()) {
        if (task.state == TaskState.FETCHING) {
          fetching.add(
              new RunningTask(
                  worker.id, task.job, task.task, worker.type, worker.zone, worker.spot));
        }
      }
    }
    return fetching;
  }

  private static void scheduleFault(Simulation sim, Runnable fault) {
    sim.schedule(FAULTS_BEGIN_MS + sim.random.nextInt(FAULTS_MS), fault);
  }

  private static void scheduleJobs(Simulation sim) {
    double[] imageGb = new double[IMAGES];
    for (int i = 0; i < IMAGES; i++) {
      imageGb[i] = 1 + sim.random.nextInt(150);
    }
    for (int i = 0; i < JOBS; i++) {
      int image = sim.random.nextInt(IMAGES);
      JobSpec spec =
          batchJob(String.format("wk-%06d", i))
              .tasks(1 + sim.random.nextInt(20))
              .cpus(1 + sim.random.nextInt(8))
              .image("img-" + image)
              .imageGb(imageGb[image])
              .build();
      sim.schedule(5_000 + sim.random.nextInt(100_000), () -> sim.users.submit(spec));
    }
  }

  /** Lets one machine after the other hang or hear nothing, each for less than a lease. */
  private static void fallSilentInTurn(Simulation sim) {
    boolean hangs = sim.random.nextBoolean();
    long silenceMs = 4_000L + sim.random.nextInt(14_000);
    long intervalMs = 3_000L + sim.random.nextInt(11_000);
    int machines = 1 + sim.random.nextInt(4);
    for (long at = 0; sim.nowMs + at < FAULTS_BEGIN_MS + FAULTS_MS; at += intervalMs) {
      for (int i = 0; i < machines; i++) {
        sim.schedule(at, () -> fallSilent(sim, hangs, silenceMs));
      }
    }
  }

  private static void fallSilent(Simulation sim, boolean hangs, long silenceMs) {
    List<SimulatedWorker> workers = List.copyOf(sim.workers.values());
    if (workers.isEmpty()) {
      return;
    }
    SimulatedWorker worker = workers.get(sim.random.nextInt(workers.size()));
    if (hangs) {
      worker.pause(silenceMs);
    } else {
      worker.inboundBlocked = true;
      sim.schedule(silenceMs, () -> worker.inboundBlocked = false);
    }
  }
}
