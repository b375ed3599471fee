package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import mallowstall.core.Model.Final;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.Priority;
import mallowstall.core.Model.UserAnswer;
import mallowstall.core.Model.Why;
import org.junit.jupiter.api.Test;

/** Single moments of an upgrade from the version without services, on simulated time. */
class UpgradeTest {
  private static final String SERVICE = "wk-000001";
  private static final String BATCH = "wk-000002";
  private static final int REPLICAS = 3;
  private static final long ANSWER_WITHIN_MS = 3_000;

  /** For what was taken over to be placed and run again. */
  private static final long RUNS_AGAIN_MS = 40_000;

  private static JobSpec service(Sim s) {
    return s.service(SERVICE, REPLICAS, 2, Priority.NORMAL, "free", false, false, true, null);
  }

  private static JobSpec batch(Sim s, int tasks) {
    return s.job(BATCH, tasks, 2, Priority.NORMAL, "free", false, false, true, null);
  }

  /** What the controller answers, which the rules are told too. */
  private static UserAnswer answer(Sim s, String job, Consumer<Consumer<UserAnswer>> question) {
    List<UserAnswer> got = new ArrayList<>();
    question.accept(got::add);
    long until = s.now + ANSWER_WITHIN_MS;
    while (got.isEmpty() && s.now < until) {
      s.run(s.now + 10);
    }
    UserAnswer answer = got.isEmpty() ? null : got.get(0);
    assertNotNull(answer, "no answer about " + job);
    s.rules.told(s.now, job, answer.status(), answer.state());
    return answer;
  }

  private static UserAnswer submitAt(Sim s, Sim.Node n, JobSpec job) {
    s.rules.submitted(job);
    return answer(s, job.id(), reply -> s.submitAt(n, job, reply));
  }

  private static UserAnswer queryAt(Sim s, Sim.Node n, String job) {
    return answer(s, job, reply -> n.event(() -> n.core.query(job, reply)));
  }

  private static void upgrade(Sim s, String... nodes) {
    for (String n : nodes) {
      s.upgrade(s.nodes.get(n), 500);
      s.run(s.now + 8_000);
    }
  }

  /** A cluster of which these controllers are of the present version, and the others old. */
  private static Sim mixed(long seed, String... upgraded) {
    Sim s = new Sim(seed, ClusterVersion.UNKNOWN);
    s.run(8_000);
    upgrade(s, upgraded);
    return s;
  }

  private static Sim withService(long seed) {
    Sim s = mixed(seed, "n0", "n1", "n2");
    assertEquals(201, submitAt(s, s.nodes.get("n0"), service(s)).status());
    s.run(s.now + 10_000);
    assertEquals(REPLICAS, s.rules.replicasOn(SERVICE));
    return s;
  }

  @Test
  void aServiceIsAcceptedOnceEveryControllerIsUpgraded() {
    Sim s = mixed(301, "n0", "n1");
    Sim.Node asked = s.nodes.get("n0");
    UserAnswer early = submitAt(s, asked, service(s));
    assertEquals(503, early.status());
    assertTrue(early.retryAfterS() >= 1, "Retry-After: " + early.retryAfterS());
    s.upgrade(s.nodes.get("n2"), 500);
    s.run(s.now + 300);
    assertEquals(503, submitAt(s, asked, service(s)).status(), "it is down and was old");
    s.run(s.now + 8_000);
    assertEquals(201, submitAt(s, asked, service(s)).status());
    s.run(s.now + 10_000);
    assertEquals("running", queryAt(s, asked, SERVICE).state());
    assertEquals(REPLICAS, s.rules.replicasOn(SERVICE));
    assertEquals(List.of(), s.rules.broken);
  }

  /** The versions shown stay through the crash of one that has been upgraded. */
  @Test
  void aServiceIsAcceptedWhileAnUpgradedControllerIsDown() {
    Sim s = mixed(302, "n0", "n1", "n2");
    s.nodes.get("n2").crash(30_000);
    s.run(s.now + 10_000);
    assertEquals(201, submitAt(s, s.nodes.get("n0"), service(s)).status());
    assertEquals(List.of(), s.rules.broken);
  }

  @Test
  void aRepetitionIsToldTheStateWhateverTheOthersRun() {
    Sim s = withService(303);
    Sim.Node old = s.nodes.get("n2");
    old.installed = ClusterVersion.UNKNOWN;
    old.crash(500);
    s.run(s.now + 10_000);
    for (String n : List.of("n0", "n1")) {
      UserAnswer again = submitAt(s, s.nodes.get(n), service(s));
      assertEquals(200, again.status());
      assertEquals("running", again.state());
      JobSpec other =
          s.service("wk-000003", 1, 2, Priority.NORMAL, "free", false, false, true, null);
      assertEquals(503, submitAt(s, s.nodes.get(n), other).status());
    }
    assertEquals(List.of(), s.rules.broken);
  }

  /** Unsupported, and yet no harm: what it can't read it neither runs nor forgets nor ends. */
  @Test
  void aControllerThatComesBackOldLeavesServicesToTheOthers() {
    for (String name : Sim.NODES) {
      Sim s = withService(304);
      s.submit(batch(s, 6));
      Sim.Node old = s.nodes.get(name);
      old.installed = ClusterVersion.UNKNOWN;
      old.crash(500);
      s.run(s.now + RUNS_AGAIN_MS);
      assertEquals(503, queryAt(s, old, SERVICE).status());
      for (Sim.Node n : s.nodes.values())
        if (n != old) {
          assertEquals("running", queryAt(s, n, SERVICE).state(), n.name);
        }
      assertEquals(REPLICAS, s.rules.replicasOn(SERVICE), "old: " + name);
      assertEquals("done", s.rules.lastTold(BATCH));
      assertEquals(Final.SERVING, s.entry(SERVICE).fin());
      assertTrue(s.endReplica(SERVICE, 0, Why.DONE));
      s.run(s.now + RUNS_AGAIN_MS);
      assertEquals(REPLICAS, s.rules.replicasOn(SERVICE), "old: " + name);
      assertEquals(List.of(), s.rules.broken);
    }
  }

  /** Also when it alone is up for long: then nobody looks after the service. */
  @Test
  void anOldControllerLeftAloneDoesNotEndAService() {
    Sim s = withService(305);
    Sim.Node old = s.nodes.get("n1");
    old.installed = ClusterVersion.UNKNOWN;
    for (Sim.Node n : s.nodes.values()) n.crash(n == old ? 500 : 60_000);
    s.run(s.now + 50_000);
    assertEquals(503, queryAt(s, old, SERVICE).status());
    assertEquals(Final.SERVING, s.entry(SERVICE).fin());
    s.run(s.now + 10_000 + RUNS_AGAIN_MS);
    assertEquals("running", queryAt(s, s.nodes.get("n0"), SERVICE).state());
    assertEquals(REPLICAS, s.rules.replicasOn(SERVICE));
    assertEquals(List.of(), s.rules.broken);
  }

  /** An old controller reads the cancelled entry, and what it writes keeps it cancelled. */
  @Test
  void aServiceCancelledBesideAnOldControllerStaysCancelled() {
    Sim s = withService(306);
    Sim.Node old = s.nodes.get("n1");
    old.installed = ClusterVersion.UNKNOWN;
    old.crash(500);
    s.run(s.now + 10_000);
    s.rules.asksToCancel(SERVICE);
    Sim.Node n = s.nodes.get("n2");
    answer(s, SERVICE, reply -> n.event(() -> n.core.cancel(SERVICE, reply)));
    for (Sim.Node other : s.nodes.values())
      if (other != old) {
        other.crash(15_000);
      }
    s.run(s.now + 10_000);
    assertEquals("cancelled", queryAt(s, old, SERVICE).state());
    s.run(s.now + Sim.CANCEL);
    assertEquals(0, s.rules.replicasOn(SERVICE));
    for (Sim.Node each : s.nodes.values())
      assertEquals("cancelled", queryAt(s, each, SERVICE).state());
    assertEquals(List.of(), s.rules.broken);
  }

  @Test
  void aControllerThatDiesBeforeItsTurnComesBackOldAndWorkGoesOn() {
    Sim s = mixed(307, "n0");
    s.submit(batch(s, 12));
    s.run(s.now + 3_000);
    Sim.Node early = s.nodes.get("n2");
    early.crash(1_000);
    s.run(s.now + 10_000);
    assertTrue(early.up && !early.knowsServices(), "it is back, and old");
    assertEquals(503, submitAt(s, s.nodes.get("n0"), service(s)).status());
    s.run(s.now + RUNS_AGAIN_MS);
    assertEquals("done", s.rules.lastTold(BATCH));
    upgrade(s, "n2", "n1");
    assertEquals(201, submitAt(s, s.nodes.get("n2"), service(s)).status());
    s.run(s.now + 10_000);
    assertEquals(REPLICAS, s.rules.replicasOn(SERVICE));
    assertEquals(List.of(), s.rules.broken);
  }
}
