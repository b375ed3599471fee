package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import mallowstall.core.model.JobSpec;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against open jobs that nobody is told of since some of their machines are silent. */
class SilentMachineAnswersTest {
  private static final long IMAGE_FETCH_MS = 300_000;

  private static final long HANG_MS = 300_000;

  private static final long BOOTED_MS = 15_000;

  /** Time in milliseconds between two machines that begin to hang. */
  private static final long HANG_INTERVAL_MS = 42_000;

  private static final int SITE_MACHINES = 80;

  /** The fetch takes 300 s, give or take a third. */
  private static final double IMAGE_GB = 300;

  /** Less than a lease, and longer than the time until the next machine falls silent. */
  private static final long SILENCE_MS = 18_000;

  private static final long SILENCE_INTERVAL_MS = 14_000;

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void machineThatHangsWhileItsTokenIsRaisedDoesNotHideItsJob(boolean duringStart) {
    Simulation sim = new Simulation(3, WorkerTimes.LONG);
    sim.imageFetchMs = IMAGE_FETCH_MS;
    sim.runUntil(BOOTED_MS);
    List<SimulatedWorker> workers = List.copyOf(sim.workers.values());
    JobSpec array = batchJob("wk-000000").tasks(workers.size()).cpus(5).build();
    sim.users.submit(array);
    sim.runUntil(sim.nowMs + 10_000);
    workers.forEach(worker -> assertEquals(1, worker.tasks.size()));
    for (int i = 0; i < 3; i++) {
      scheduleHang(sim, workers, i, duringStart);
    }
    JobPoller poller = new JobPoller(sim, List.of(array));
    poller.run(4 * HANG_INTERVAL_MS);
    poller.assertNothingForgotten();
  }

  /** The ways in which a machine falls silent. */
  private enum Silence {
    HANGS,
    HEARS_NOTHING
  }

  @ParameterizedTest
  @EnumSource(Silence.class)
  void arrayWhoseMachinesFallSilentInTurnIsTold(Silence silence) {
    Simulation sim = new Simulation(5, WorkerTimes.LONG);
    sim.fetchesBySize = true;
    sim.maxMachines = SITE_MACHINES;
    sim.addMachines(SITE_MACHINES - sim.workers.size());
    sim.runUntil(BOOTED_MS);
    JobSpec array = batchJob("wk-000000").tasks(12).cpus(8).imageGb(IMAGE_GB).build();
    sim.users.submit(array);
    sim.runUntil(sim.nowMs + 10_000);
    List<SimulatedWorker> workers =
        sim.workers.values().stream().filter(worker -> !worker.tasks.isEmpty()).toList();
    assertEquals(array.tasks(), workers.size());
    for (int i = 0; i < workers.size(); i++) {
      SimulatedWorker worker = workers.get(i);
      sim.schedule(i * SILENCE_INTERVAL_MS, () -> fallSilent(sim, worker, silence));
    }
    JobPoller poller = new JobPoller(sim, List.of(array));
    poller.run(150_000);
    poller.assertNothingForgotten();
  }

  private static void fallSilent(Simulation sim, SimulatedWorker worker, Silence silence) {
    if (silence == Silence.HANGS) {
      worker.pause(SILENCE_MS);
    } else {
      worker.inboundBlocked = true;
      sim.schedule(SILENCE_MS, () -> worker.inboundBlocked = false);
    }
  }

  /**
   * Lets a worker hang, either while nothing is sent to it, or as it receives a start, whose
   * outcome is then unknown to its leader.
   */
  private static void scheduleHang(
      Simulation sim, List<SimulatedWorker> workers, int number, boolean duringStart) {
    sim.schedule(number * HANG_INTERVAL_MS, () -> workers.get(number).pause(HANG_MS));
    if (duringStart) {
      String filler = String.format("wk-%06d", 100 + number);
      JobSpec spec = batchJob(filler).tasks(workers.size()).cpus(3).build();
      sim.schedule(number * HANG_INTERVAL_MS, () -> sim.users.submit(spec));
      sim.schedule(number * HANG_INTERVAL_MS + 6_000, () -> sim.users.cancel(filler));
    }
  }
}
