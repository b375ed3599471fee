package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static mallowstall.core.model.JobSpecBuilder.service;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.ExitReason;
import mallowstall.core.model.JobOutcome;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.ProgramVersion;
import org.junit.jupiter.api.Test;

/**
 * Guards against failures in an upgrade from the old version, which has no services, in simulated
 * time. A service could be accepted before all controllers can read it, or a controller that runs
 * the old version could lose or end a service.
 */
class UpgradeTest {
  private static final String SERVICE_JOB = "wk-000001";
  private static final String BATCH_JOB = "wk-000002";
  private static final int REPLICAS = 3;
  private static final long RESPONSE_TIMEOUT_MS = 3_000;

  /** Maximum time in milliseconds until tasks of jobs that were taken over run again. */
  private static final long RESTART_TIMEOUT_MS = 40_000;

  private static JobSpec serviceSpec() {
    return service(SERVICE_JOB).tasks(REPLICAS).build();
  }

  private static JobSpec batchSpec(int tasks) {
    return batchJob(BATCH_JOB).tasks(tasks).build();
  }

  /** Sends the request, waits for the controller's response and passes it to the checker too. */
  private static ApiResponse awaitResponse(
      Simulation sim, String job, Consumer<Consumer<ApiResponse>> request) {
    List<ApiResponse> responses = new ArrayList<>();
    request.accept(responses::add);
    long until = sim.nowMs + RESPONSE_TIMEOUT_MS;
    while (responses.isEmpty() && sim.nowMs < until) {
      sim.runUntil(sim.nowMs + 10);
    }
    ApiResponse response = responses.isEmpty() ? null : responses.get(0);
    assertNotNull(response, "no response about " + job);
    sim.checker.onAnswer(sim.nowMs, job, response.status(), response.state());
    return response;
  }

  private static ApiResponse submitAt(Simulation sim, SimulatedController node, JobSpec job) {
    sim.checker.onSubmitted(job);
    return awaitResponse(sim, job.id(), reply -> sim.users.submitAt(node, job, reply));
  }

  private static ApiResponse queryAt(Simulation sim, SimulatedController node, String job) {
    return awaitResponse(sim, job, reply -> node.enqueueEvent(() -> node.core.query(job, reply)));
  }

  private static void upgrade(Simulation sim, String... nodes) {
    for (String name : nodes) {
      sim.upgrade(sim.controllers.get(name), 500);
      sim.runUntil(sim.nowMs + 8_000);
    }
  }

  /**
   * Starts a cluster whose named controllers run the current version and whose other controllers
   * run the old version.
   */
  private static Simulation startMixedVersions(long seed, String... upgraded) {
    Simulation sim = new Simulation(seed, ProgramVersion.UNKNOWN);
    sim.runUntil(8_000);
    upgrade(sim, upgraded);
    return sim;
  }

  private static Simulation startWithService(long seed) {
    Simulation sim = startMixedVersions(seed, "n0", "n1", "n2");
    assertEquals(201, submitAt(sim, sim.controllers.get("n0"), serviceSpec()).status());
    sim.runUntil(sim.nowMs + 10_000);
    assertEquals(REPLICAS, sim.checker.runningReplicas(SERVICE_JOB));
    return sim;
  }

  @Test
  void serviceIsAcceptedOnceAllControllersAreUpgraded() {
    Simulation sim = startMixedVersions(301, "n0", "n1");
    SimulatedController controller = sim.controllers.get("n0");
    ApiResponse rejection = submitAt(sim, controller, serviceSpec());
    assertEquals(503, rejection.status());
    assertTrue(rejection.retryAfterS() >= 1, "Retry-After: " + rejection.retryAfterS());
    sim.upgrade(sim.controllers.get("n2"), 500);
    sim.runUntil(sim.nowMs + 300);
    assertEquals(
        503,
        submitAt(sim, controller, serviceSpec()).status(),
        "n2 is down and last ran the old version");
    sim.runUntil(sim.nowMs + 8_000);
    assertEquals(201, submitAt(sim, controller, serviceSpec()).status());
    sim.runUntil(sim.nowMs + 10_000);
    assertEquals("running", queryAt(sim, controller, SERVICE_JOB).state());
    assertEquals(REPLICAS, sim.checker.runningReplicas(SERVICE_JOB));
    assertEquals(List.of(), sim.checker.violations);
  }

  /** The version of an upgraded controller counts as known while the controller is down. */
  @Test
  void serviceIsAcceptedWhileUpgradedControllerIsDown() {
    Simulation sim = startMixedVersions(302, "n0", "n1", "n2");
    sim.controllers.get("n2").crash(30_000);
    sim.runUntil(sim.nowMs + 10_000);
    assertEquals(201, submitAt(sim, sim.controllers.get("n0"), serviceSpec()).status());
    assertEquals(List.of(), sim.checker.violations);
  }

  @Test
  void resubmissionReportsStateInMixedVersions() {
    Simulation sim = startWithService(303);
    SimulatedController old = sim.controllers.get("n2");
    restartOldVersion(sim, old);
    for (String name : List.of("n0", "n1")) {
      ApiResponse again = submitAt(sim, sim.controllers.get(name), serviceSpec());
      assertEquals(200, again.status());
      assertEquals("running", again.state());
      JobSpec other = service("wk-000003").tasks(1).build();
      assertEquals(503, submitAt(sim, sim.controllers.get(name), other).status());
    }
    assertEquals(List.of(), sim.checker.violations);
  }

  /**
   * The downgrade of a controller is unsupported, but the old controller must not run, delete or
   * end a service that it can't read. The test is listed in KNOWN-RED.txt: with its seed, a replica
   * is started on the machine that keeps its result, ends at once, and is missing for 200 s.
   */
  @Test
  void restartedOldControllerLeavesServicesToOthers() {
    for (String name : Simulation.NODES) {
      Simulation sim = startWithService(304);
      sim.users.submit(batchSpec(6));
      SimulatedController old = sim.controllers.get(name);
      old.installedVersion = ProgramVersion.UNKNOWN;
      old.crash(500);
      sim.runUntil(sim.nowMs + RESTART_TIMEOUT_MS);
      assertEquals(503, queryAt(sim, old, SERVICE_JOB).status());
      for (SimulatedController node : sim.controllers.values()) {
        if (node != old) {
          assertEquals("running", queryAt(sim, node, SERVICE_JOB).state(), node.name);
        }
      }
      assertEquals(REPLICAS, sim.checker.runningReplicas(SERVICE_JOB), "old: " + name);
      assertEquals("done", sim.checker.lastState(BATCH_JOB));
      assertEquals(JobOutcome.SERVING, sim.jobEntry(SERVICE_JOB).outcome());
      assertTrue(sim.exitReplica(SERVICE_JOB, 0, ExitReason.DONE));
      sim.runUntil(sim.nowMs + RESTART_TIMEOUT_MS);
      assertEquals(REPLICAS, sim.checker.runningReplicas(SERVICE_JOB), "old: " + name);
      assertEquals(List.of(), sim.checker.violations);
    }
  }

  /** An old controller that runs alone for a long time neither manages nor ends a service. */
  @Test
  void loneOldControllerDoesNotEndService() {
    Simulation sim = startWithService(305);
    SimulatedController old = sim.controllers.get("n1");
    old.installedVersion = ProgramVersion.UNKNOWN;
    for (SimulatedController node : sim.controllers.values()) {
      node.crash(node == old ? 500 : 60_000);
    }
    sim.runUntil(sim.nowMs + 50_000);
    assertEquals(503, queryAt(sim, old, SERVICE_JOB).status());
    assertEquals(JobOutcome.SERVING, sim.jobEntry(SERVICE_JOB).outcome());
    sim.runUntil(sim.nowMs + 10_000 + RESTART_TIMEOUT_MS);
    assertEquals("running", queryAt(sim, sim.controllers.get("n0"), SERVICE_JOB).state());
    assertEquals(REPLICAS, sim.checker.runningReplicas(SERVICE_JOB));
    assertEquals(List.of(), sim.checker.violations);
  }

  /**
   * An old controller can read a cancelled service's entry, and its writes leave the job cancelled.
   */
  @Test
  void serviceCancelledBesideOldControllerStaysCancelled() {
    Simulation sim = startWithService(306);
    SimulatedController old = sim.controllers.get("n1");
    restartOldVersion(sim, old);
    sim.checker.onCancelRequested(SERVICE_JOB);
    SimulatedController node = sim.controllers.get("n2");
    awaitResponse(
        sim, SERVICE_JOB, reply -> node.enqueueEvent(() -> node.core.cancel(SERVICE_JOB, reply)));
    for (SimulatedController other : sim.controllers.values()) {
      if (other != old) {
        other.crash(15_000);
      }
    }
    sim.runUntil(sim.nowMs + 10_000);
    assertEquals("cancelled", queryAt(sim, old, SERVICE_JOB).state());
    sim.runUntil(sim.nowMs + Simulation.CANCEL_MS);
    assertEquals(0, sim.checker.runningReplicas(SERVICE_JOB));
    for (SimulatedController each : sim.controllers.values()) {
      assertEquals("cancelled", queryAt(sim, each, SERVICE_JOB).state());
    }
    assertEquals(List.of(), sim.checker.violations);
  }

  @Test
  void controllerCrashBeforeUpgradeRestartsOldVersion() {
    Simulation sim = startMixedVersions(307, "n0");
    sim.users.submit(batchSpec(12));
    sim.runUntil(sim.nowMs + 3_000);
    SimulatedController crashed = sim.controllers.get("n2");
    crashed.crash(1_000);
    sim.runUntil(sim.nowMs + 10_000);
    assertTrue(
        crashed.running && !crashed.supportsServices(),
        "the controller runs the old version again");
    assertEquals(503, submitAt(sim, sim.controllers.get("n0"), serviceSpec()).status());
    sim.runUntil(sim.nowMs + RESTART_TIMEOUT_MS);
    assertEquals("done", sim.checker.lastState(BATCH_JOB));
    upgrade(sim, "n2", "n1");
    assertEquals(201, submitAt(sim, sim.controllers.get("n2"), serviceSpec()).status());
    sim.runUntil(sim.nowMs + 10_000);
    assertEquals(REPLICAS, sim.checker.runningReplicas(SERVICE_JOB));
    assertEquals(List.of(), sim.checker.violations);
  }

  /** Restarts the controller after 500 ms with the old version, which has no services. */
  private static void restartOldVersion(Simulation sim, SimulatedController node) {
    node.installedVersion = ProgramVersion.UNKNOWN;
    node.crash(500);
    sim.runUntil(sim.nowMs + 10_000);
  }
}
