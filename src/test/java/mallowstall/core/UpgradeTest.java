package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import mallowstall.core.Model.ExitReason;
import mallowstall.core.Model.Final;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.Priority;
import mallowstall.core.Model.UserAnswer;
import org.junit.jupiter.api.Test;

/** Single moments of an upgrade from the version without services, on simulated time. */
class UpgradeTest {
  private static final String SERVICE = "wk-000001";
  private static final String BATCH = "wk-000002";
  private static final int REPLICAS = 3;
  private static final long ANSWER_WITHIN_MS = 3_000;

  /** For what was taken over to be placed and run again. */
  private static final long RUNS_AGAIN_MS = 40_000;

  private static JobSpec service(Simulation sim) {
    return sim.service(SERVICE, REPLICAS, 2, Priority.NORMAL, "free", false, false, true, null);
  }

  private static JobSpec batch(Simulation sim, int tasks) {
    return sim.job(BATCH, tasks, 2, Priority.NORMAL, "free", false, false, true, null);
  }

  /** What the controller answers, which the rules are told too. */
  private static UserAnswer answer(
      Simulation sim, String job, Consumer<Consumer<UserAnswer>> question) {
    List<UserAnswer> got = new ArrayList<>();
    question.accept(got::add);
    long until = sim.now + ANSWER_WITHIN_MS;
    while (got.isEmpty() && sim.now < until) {
      sim.run(sim.now + 10);
    }
    UserAnswer answer = got.isEmpty() ? null : got.get(0);
    assertNotNull(answer, "no answer about " + job);
    sim.rules.told(sim.now, job, answer.status(), answer.state());
    return answer;
  }

  private static UserAnswer submitAt(Simulation sim, SimulatedController node, JobSpec job) {
    sim.rules.submitted(job);
    return answer(sim, job.id(), reply -> sim.submitAt(node, job, reply));
  }

  private static UserAnswer queryAt(Simulation sim, SimulatedController node, String job) {
    return answer(sim, job, reply -> node.event(() -> node.core.query(job, reply)));
  }

  private static void upgrade(Simulation sim, String... nodes) {
    for (String n : nodes) {
      sim.upgrade(sim.nodes.get(n), 500);
      sim.run(sim.now + 8_000);
    }
  }

  /** A cluster of which these controllers are of the present version, and the others old. */
  private static Simulation mixed(long seed, String... upgraded) {
    Simulation sim = new Simulation(seed, ProgramVersion.UNKNOWN);
    sim.run(8_000);
    upgrade(sim, upgraded);
    return sim;
  }

  private static Simulation withService(long seed) {
    Simulation sim = mixed(seed, "n0", "n1", "n2");
    assertEquals(201, submitAt(sim, sim.nodes.get("n0"), service(sim)).status());
    sim.run(sim.now + 10_000);
    assertEquals(REPLICAS, sim.rules.replicasOn(SERVICE));
    return sim;
  }

  @Test
  void aServiceIsAcceptedOnceEveryControllerIsUpgraded() {
    Simulation sim = mixed(301, "n0", "n1");
    SimulatedController asked = sim.nodes.get("n0");
    UserAnswer early = submitAt(sim, asked, service(sim));
    assertEquals(503, early.status());
    assertTrue(early.retryAfterS() >= 1, "Retry-After: " + early.retryAfterS());
    sim.upgrade(sim.nodes.get("n2"), 500);
    sim.run(sim.now + 300);
    assertEquals(503, submitAt(sim, asked, service(sim)).status(), "it is down and was old");
    sim.run(sim.now + 8_000);
    assertEquals(201, submitAt(sim, asked, service(sim)).status());
    sim.run(sim.now + 10_000);
    assertEquals("running", queryAt(sim, asked, SERVICE).state());
    assertEquals(REPLICAS, sim.rules.replicasOn(SERVICE));
    assertEquals(List.of(), sim.rules.broken);
  }

  /** The versions shown stay through the crash of one that has been upgraded. */
  @Test
  void aServiceIsAcceptedWhileAnUpgradedControllerIsDown() {
    Simulation sim = mixed(302, "n0", "n1", "n2");
    sim.nodes.get("n2").crash(30_000);
    sim.run(sim.now + 10_000);
    assertEquals(201, submitAt(sim, sim.nodes.get("n0"), service(sim)).status());
    assertEquals(List.of(), sim.rules.broken);
  }

  @Test
  void aRepetitionIsToldTheStateWhateverTheOthersRun() {
    Simulation sim = withService(303);
    SimulatedController old = sim.nodes.get("n2");
    comesBackOld(sim, old);
    for (String n : List.of("n0", "n1")) {
      UserAnswer again = submitAt(sim, sim.nodes.get(n), service(sim));
      assertEquals(200, again.status());
      assertEquals("running", again.state());
      JobSpec other =
          sim.service("wk-000003", 1, 2, Priority.NORMAL, "free", false, false, true, null);
      assertEquals(503, submitAt(sim, sim.nodes.get(n), other).status());
    }
    assertEquals(List.of(), sim.rules.broken);
  }

  /** Unsupported, and yet no harm: what it can't read it neither runs nor forgets nor ends. */
  @Test
  void aControllerThatComesBackOldLeavesServicesToTheOthers() {
    for (String name : Simulation.NODES) {
      Simulation sim = withService(304);
      sim.submit(batch(sim, 6));
      SimulatedController old = sim.nodes.get(name);
      old.installed = ProgramVersion.UNKNOWN;
      old.crash(500);
      sim.run(sim.now + RUNS_AGAIN_MS);
      assertEquals(503, queryAt(sim, old, SERVICE).status());
      for (SimulatedController node : sim.nodes.values()) {
        if (node != old) {
          assertEquals("running", queryAt(sim, node, SERVICE).state(), node.name);
        }
      }
      assertEquals(REPLICAS, sim.rules.replicasOn(SERVICE), "old: " + name);
      assertEquals("done", sim.rules.lastTold(BATCH));
      assertEquals(Final.SERVING, sim.entry(SERVICE).fin());
      assertTrue(sim.endReplica(SERVICE, 0, ExitReason.DONE));
      sim.run(sim.now + RUNS_AGAIN_MS);
      assertEquals(REPLICAS, sim.rules.replicasOn(SERVICE), "old: " + name);
      assertEquals(List.of(), sim.rules.broken);
    }
  }

  /** Also when it alone is up for long: then nobody looks after the service. */
  @Test
  void anOldControllerLeftAloneDoesNotEndAService() {
    Simulation sim = withService(305);
    SimulatedController old = sim.nodes.get("n1");
    old.installed = ProgramVersion.UNKNOWN;
    for (SimulatedController node : sim.nodes.values()) {
      node.crash(node == old ? 500 : 60_000);
    }
    sim.run(sim.now + 50_000);
    assertEquals(503, queryAt(sim, old, SERVICE).status());
    assertEquals(Final.SERVING, sim.entry(SERVICE).fin());
    sim.run(sim.now + 10_000 + RUNS_AGAIN_MS);
    assertEquals("running", queryAt(sim, sim.nodes.get("n0"), SERVICE).state());
    assertEquals(REPLICAS, sim.rules.replicasOn(SERVICE));
    assertEquals(List.of(), sim.rules.broken);
  }

  /** An old controller reads the cancelled entry, and what it writes keeps it cancelled. */
  @Test
  void aServiceCancelledBesideAnOldControllerStaysCancelled() {
    Simulation sim = withService(306);
    SimulatedController old = sim.nodes.get("n1");
    comesBackOld(sim, old);
    sim.rules.asksToCancel(SERVICE);
    SimulatedController node = sim.nodes.get("n2");
    answer(sim, SERVICE, reply -> node.event(() -> node.core.cancel(SERVICE, reply)));
    for (SimulatedController other : sim.nodes.values()) {
      if (other != old) {
        other.crash(15_000);
      }
    }
    sim.run(sim.now + 10_000);
    assertEquals("cancelled", queryAt(sim, old, SERVICE).state());
    sim.run(sim.now + Simulation.CANCEL);
    assertEquals(0, sim.rules.replicasOn(SERVICE));
    for (SimulatedController each : sim.nodes.values()) {
      assertEquals("cancelled", queryAt(sim, each, SERVICE).state());
    }
    assertEquals(List.of(), sim.rules.broken);
  }

  @Test
  void aControllerThatDiesBeforeItsTurnComesBackOldAndWorkGoesOn() {
    Simulation sim = mixed(307, "n0");
    sim.submit(batch(sim, 12));
    sim.run(sim.now + 3_000);
    SimulatedController early = sim.nodes.get("n2");
    early.crash(1_000);
    sim.run(sim.now + 10_000);
    assertTrue(early.up && !early.knowsServices(), "it is back, and old");
    assertEquals(503, submitAt(sim, sim.nodes.get("n0"), service(sim)).status());
    sim.run(sim.now + RUNS_AGAIN_MS);
    assertEquals("done", sim.rules.lastTold(BATCH));
    upgrade(sim, "n2", "n1");
    assertEquals(201, submitAt(sim, sim.nodes.get("n2"), service(sim)).status());
    sim.run(sim.now + 10_000);
    assertEquals(REPLICAS, sim.rules.replicasOn(SERVICE));
    assertEquals(List.of(), sim.rules.broken);
  }

  /** The controller ends and comes back at once with the version that knows no services. */
  private static void comesBackOld(Simulation sim, SimulatedController node) {
    node.installed = ProgramVersion.UNKNOWN;
    node.crash(500);
    sim.run(sim.now + 10_000);
  }
}
