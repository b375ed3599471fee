package mallowstall.core;

import static mallowstall.core.SafetyTestSupport.assertFinished;
import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import mallowstall.Constants;
import mallowstall.core.model.JobSpecBuilder;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.ScaleOutRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests for machines that serve nobody: machines rented twice for a job that
 * needs one zone or an on-demand machine, because a machine that had registered counted as missing
 * until its status was known; types that aren't offered in the zone; requests that fail and are
 * repeated at once.
 */
class ConstrainedScaleOutTest {
  private static final String JOB = "wk-000001";

  private static Arguments job(String name, int machines, UnaryOperator<JobSpecBuilder> change) {
    return Arguments.of(name, machines, change);
  }

  private static Stream<Arguments> constrainedJobs() {
    return Stream.of(
        job("given zone", 1, job -> job.zone("b")),
        job("on-demand", 1, job -> job.spot(false)),
        job("on-demand in a zone", 1, job -> job.spot(false).zone("b")),
        job("spread", 2, job -> job.tasks(2).spread(true)));
  }

  /** A machine that registers must not be requested again for the job it was rented for. */
  @ParameterizedTest(name = "{0}")
  @MethodSource("constrainedJobs")
  void registeringMachineIsNotRequestedAgain(
      String name, int machines, UnaryOperator<JobSpecBuilder> change) {
    for (long seed = 401; seed <= 410; seed++) {
      Simulation sim = new Simulation(seed);
      sim.runUntil(8_000);
      List.copyOf(sim.workers.keySet()).forEach(sim::killMachine);
      sim.runUntil(sim.nowMs + 45_000);
      sim.users.submit(change.apply(batchJob(JOB).cpus(4).estimatedRunS(60)).build());
      sim.runUntil(sim.nowMs + 40_000);
      assertFinished(sim, JOB);
      assertEquals(
          machines,
          sim.cloudState.rentedMachines(),
          "seed " + seed + ": " + sim.cloudState.requests);
    }
  }

  /** A job of a zone must get a machine of a type that the cloud offers in that zone. */
  @Test
  void jobOfZoneIsServedByTypeThatIsOfferedThere() {
    Simulation sim = new Simulation(421);
    sim.cloudState.offeredTypes =
        List.of(
            new MachineType("t4", 4, 0, 16, 20, 1, 0.5, 0.15, 8, List.of("a")),
            CloudState.DEFAULT_TYPE);
    sim.runUntil(8_000);
    List.copyOf(sim.workers.keySet()).forEach(sim::killMachine);
    sim.runUntil(sim.nowMs + 45_000);
    sim.users.submit(batchJob(JOB).cpus(4).zone("b").estimatedRunS(60).build());
    sim.runUntil(sim.nowMs + 40_000);
    assertFinished(sim, JOB);
    assertEquals(
        List.of("t8"), sim.cloudState.requests.stream().map(ScaleOutRequest::type).toList());
  }

  /** A request that fails for another reason than capacity must be repeated with a backoff. */
  @ParameterizedTest
  @ValueSource(ints = {400, 429, 500, 0})
  void failedRequestIsRepeatedWithBackoff(int status) {
    int noResponse = -1;
    Simulation sim = new Simulation(431);
    sim.runUntil(8_000);
    List.copyOf(sim.workers.keySet()).forEach(sim::killMachine);
    sim.runUntil(sim.nowMs + 45_000);
    sim.cloudState.refusal = request -> status == 0 ? noResponse : status;
    sim.users.submit(batchJob(JOB).cpus(4).estimatedRunS(60).build());
    sim.runUntil(sim.nowMs + 120_000);
    int kinds = 4;
    int perKind = 4 + 120_000 / (int) Constants.BACKOFF_MAX_MS;
    int requests = sim.cloudState.requests.size();
    assertTrue(requests >= 10, "requests: " + requests);
    assertTrue(requests <= kinds * perKind, "requests: " + requests);
    sim.cloudState.refusal = request -> 0;
    sim.runUntil(sim.nowMs + 40_000);
    assertFinished(sim, JOB);
  }
}
