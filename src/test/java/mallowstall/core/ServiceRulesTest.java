package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mallowstall.core.Model.Command;
import mallowstall.core.Model.CommandKind;
import mallowstall.core.Model.ExitReason;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.Priority;
import org.junit.jupiter.api.Test;

/** The checks of services can fail, and not before their time; so the simulation can be trusted. */
class ServiceRulesTest {
  private static final String SERVICE = "wk-000001";
  private static final long CALM = 1_000;

  private static InvariantChecker rules(JobSpec service) {
    InvariantChecker rules = new InvariantChecker(new Simulation(5).teams, 1_000);
    rules.submitted(service);
    rules.told(1, service.id(), 201, "pending");
    rules.calmSince = CALM;
    return rules;
  }

  private static JobSpec plain(int replicas, String team) {
    return new Simulation(5)
        .service(SERVICE, replicas, 4, Priority.NORMAL, team, false, false, true, null);
  }

  private static InvariantChecker.Machine machine(String id, String zone) {
    return new InvariantChecker.Machine(id, "t8", zone, false, 8);
  }

  private static InvariantChecker.OnMachine on(InvariantChecker.Machine machine, int replica) {
    return new InvariantChecker.OnMachine(
        machine.id(), SERVICE, replica, machine.type(), machine.zone(), machine.spot());
  }

  /** As the user keeps asking and is answered. */
  private static void step(InvariantChecker rules, long now) {
    rules.told(now, SERVICE, 200, "pending");
    rules.step(now);
  }

  /** Steps the rules from then until just after the bound for replicas is over. */
  private static void stepPastTheBound(InvariantChecker rules, long from) {
    for (long now = from; now <= from + InvariantChecker.REPLICA_MISSING_MS + 500; now += 500) {
      step(rules, now);
    }
  }

  private static void assertBroken(InvariantChecker rules, String check) {
    assertEquals(1, rules.broken.size(), rules.broken.toString());
    assertTrue(rules.broken.get(0).contains(check), rules.broken.toString());
  }

  @Test
  void aServiceIsNeverDoneWhateverItsReplicasDid() {
    InvariantChecker rules = rules(plain(1, "free"));
    InvariantChecker.Machine machine = machine("m1", "a");
    rules.machineUp(machine);
    rules.started(2, on(machine, 0));
    rules.left("m1", SERVICE, 0, true);
    assertEquals(1, rules.tasksLeft(SERVICE), "it has to run again");
    rules.told(3, SERVICE, 200, "pending");
    rules.started(4, on(machine, 0));
    rules.told(5, SERVICE, 200, "running");
    assertEquals(List.of(), rules.broken, "a replica that completed may run again");
    rules.told(6, SERVICE, 200, "done");
    assertBroken(rules, "not_done");
  }

  @Test
  void theRulesOfPlacementHoldForReplicas() {
    InvariantChecker rules = rules(plain(7, "tight"));
    for (int replica = 0; replica < 6; replica++) {
      rules.started(2, on(machine("m" + replica, "a"), replica));
    }
    assertEquals(List.of(), rules.broken);
    rules.started(3, on(machine("m7", "a"), 6));
    assertBroken(rules, "quota");
    rules.left("m7", SERVICE, 6, true);
    rules.broken.clear();
    rules.left("m0", SERVICE, 0, true);
    rules.started(4, on(machine("m8", "a"), 1));
    assertBroken(rules, "ran_twice");
    rules.broken.clear();
    rules.asksToCancel(SERVICE);
    rules.told(5, SERVICE, 200, "cancelled");
    rules.step(1_004);
    assertEquals(List.of(), rules.broken);
    rules.step(1_006);
    assertTrue(rules.broken.get(0).contains("ran_cancelled"), rules.broken.toString());
    InvariantChecker placed =
        rules(
            new Simulation(5)
                .service(SERVICE, 3, 1, Priority.NORMAL, "free", false, false, false, "b"));
    placed.started(2, on(machine("m1", "a"), 0));
    assertBroken(placed, "wrong_place");
  }

  @Test
  void aReplicaThatRunsNowhereBesideRoomIsMissing() {
    InvariantChecker rules = rules(plain(2, "free"));
    InvariantChecker.Machine machine = machine("m1", "a");
    rules.machineUp(machine);
    rules.started(2, on(machine, 1));
    for (long now = 500; now < CALM; now += 500) {
      rules.step(now);
    }
    for (long now = CALM; now <= CALM + InvariantChecker.REPLICA_MISSING_MS; now += 500) {
      rules.step(now);
    }
    assertEquals(List.of(), rules.broken, "not before its time");
    rules.step(CALM + InvariantChecker.REPLICA_MISSING_MS + 1);
    assertBroken(rules, "replica_missing: Replica[job=wk-000001, number=0]");
  }

  @Test
  void eachReplicaHasTheWholeBoundToComeBack() {
    InvariantChecker rules = rules(plain(1, "free"));
    InvariantChecker.Machine machine = machine("m1", "a");
    rules.machineUp(machine);
    long now = CALM;
    for (int times = 0; times < 3; times++) {
      long back = now + InvariantChecker.REPLICA_MISSING_MS;
      for (; now <= back; now += 500) {
        step(rules, now);
      }
      rules.started(now, on(machine, 0));
      step(rules, now);
      rules.left("m1", SERVICE, 0, false);
      now += 500;
    }
    assertEquals(List.of(), rules.broken);
    stepPastTheBound(rules, now);
    assertBroken(rules, "replica_missing");
  }

  @Test
  void withoutRoomNoReplicaIsMissing() {
    InvariantChecker tooFull = rules(plain(3, "free"));
    InvariantChecker.Machine machine = machine("m1", "a");
    tooFull.machineUp(machine);
    tooFull.started(2, on(machine, 0));
    tooFull.started(2, on(machine, 1));
    stepPastTheBound(tooFull, CALM);
    assertEquals(List.of(), tooFull.broken, "no machine has room");

    InvariantChecker atLimit = rules(plain(7, "tight"));
    for (int i = 0; i < 6; i++) {
      atLimit.machineUp(machine("m" + i, "a"));
      atLimit.started(2, on(machine("m" + i, "a"), i));
    }
    stepPastTheBound(atLimit, CALM);
    assertEquals(List.of(), atLimit.broken, "the team is at its limit");

    JobSpec pinned =
        new Simulation(5).service(SERVICE, 1, 4, Priority.NORMAL, "free", false, false, false, "b");
    InvariantChecker elsewhere = rules(pinned);
    elsewhere.machineUp(machine("m1", "a"));
    elsewhere.machineUp(new InvariantChecker.Machine("m2", "t8", "b", true, 8));
    stepPastTheBound(elsewhere, CALM);
    assertEquals(List.of(), elsewhere.broken, "wrong zone, wrong kind of machine");
    elsewhere.machineUp(machine("m3", "b"));
    stepPastTheBound(elsewhere, 100_000);
    assertBroken(elsewhere, "replica_missing");
  }

  @Test
  void roomIsInAZoneThatTheOtherReplicasAllow() {
    JobSpec oneZone =
        new Simulation(5).service(SERVICE, 2, 8, Priority.NORMAL, "free", true, false, true, null);
    JobSpec spread =
        new Simulation(5).service(SERVICE, 2, 8, Priority.NORMAL, "free", false, true, true, null);
    for (JobSpec service : List.of(oneZone, spread)) {
      String allowed = service.oneZone() ? "a" : "b";
      String forbidden = service.oneZone() ? "b" : "a";
      InvariantChecker rules = rules(service);
      rules.machineUp(machine("m1", "a"));
      rules.started(2, on(machine("m1", "a"), 0));
      rules.machineUp(machine("m2", forbidden));
      stepPastTheBound(rules, CALM);
      assertEquals(List.of(), rules.broken);
      rules.machineUp(machine("m3", allowed));
      stepPastTheBound(rules, 100_000);
      assertBroken(rules, "replica_missing");
    }
  }

  /** It would end there as soon as it is started; another replica has room there. */
  @Test
  void aMachineThatKeepsItsResultIsNoRoomForAReplica() {
    InvariantChecker rules = rules(plain(2, "free"));
    InvariantChecker.Machine machine = machine("m1", "a");
    rules.machineUp(machine);
    rules.started(2, on(machine, 0));
    rules.left("m1", SERVICE, 0, true);
    stepPastTheBound(rules, CALM);
    assertBroken(rules, "replica_missing: Replica[job=wk-000001, number=1]");
    rules.broken.clear();
    rules.started(50_000, on(machine, 1));
    stepPastTheBound(rules, 50_000);
    assertEquals(List.of(), rules.broken);
    rules.machineUp(machine("m2", "a"));
    stepPastTheBound(rules, 100_000);
    assertBroken(rules, "replica_missing: Replica[job=wk-000001, number=0]");
  }

  @Test
  void aCancelledServiceMissesNoReplica() {
    InvariantChecker rules = rules(plain(2, "free"));
    rules.machineUp(machine("m1", "a"));
    rules.asksToCancel(SERVICE);
    stepPastTheBound(rules, CALM);
    assertEquals(List.of(), rules.broken);
  }

  @Test
  void aReplicaRunsOnUntilItIsStoppedOrEnds() {
    Simulation sim = new Simulation(5);
    sim.run(5_000);
    sim.rules.submitted(plain(2, "free"));
    SimulatedWorker worker = List.copyOf(sim.workers.values()).get(0);
    worker.execute(new Command(CommandKind.START, SERVICE, 0, 1, 0));
    worker.execute(new Command(CommandKind.START, SERVICE, 1, 1, 0));
    sim.run(8_000);
    assertEquals(2, sim.rules.replicasOn(SERVICE));
    sim.run(9_000);
    worker.execute(new Command(CommandKind.STOP, SERVICE, 1, 1, 0));
    assertEquals(1, sim.rules.replicasOn(SERVICE));
    assertTrue(sim.endReplica(SERVICE, 0, ExitReason.DONE));
    assertEquals(0, sim.rules.replicasOn(SERVICE));
  }

  /** Started again where it completed, a replica ends at once; elsewhere it runs. */
  @Test
  void aWorkerKeepsTheResultOfAReplicaThatCompleted() {
    Simulation sim = new Simulation(5);
    sim.run(5_000);
    sim.rules.submitted(plain(1, "free"));
    List<SimulatedWorker> workers = List.copyOf(sim.workers.values());
    workers.get(0).execute(new Command(CommandKind.START, SERVICE, 0, 1, 0));
    sim.run(8_000);
    assertTrue(sim.endReplica(SERVICE, 0, ExitReason.DONE));
    workers.get(0).execute(new Command(CommandKind.START, SERVICE, 0, 2, 0));
    sim.run(8_100);
    assertEquals(0, sim.rules.replicasOn(SERVICE));
    assertEquals(1, sim.struck.get("result kept"));
    workers.get(1).execute(new Command(CommandKind.START, SERVICE, 0, 3, 0));
    sim.run(12_000);
    assertEquals(1, sim.rules.replicasOn(SERVICE));
  }

  @Test
  void aFaultyMachineFailsReplicas() {
    Simulation sim = new Simulation(5);
    sim.run(5_000);
    sim.rules.submitted(plain(1, "free"));
    SimulatedWorker worker = List.copyOf(sim.workers.values()).get(0);
    worker.faulty = true;
    worker.execute(new Command(CommandKind.START, SERVICE, 0, 1, 0));
    SimulatedWorker.T replica = worker.tasks.values().iterator().next();
    sim.run(8_000);
    assertEquals(0, sim.rules.replicasOn(SERVICE));
    assertEquals(ExitReason.ERROR, replica.why);
  }
}
