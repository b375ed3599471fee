package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.service;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mallowstall.core.model.CommandKind;
import mallowstall.core.model.ExitReason;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.WorkerCommand;
import org.junit.jupiter.api.Test;

/** The checks of services can fail, and not before their time; so the simulation can be trusted. */
class ServiceInvariantsTest {
  private static final String SERVICE = "wk-000001";
  private static final long FAULTS_ENDED_MS = 1_000;

  private static InvariantChecker checkerFor(JobSpec service) {
    InvariantChecker rules = new InvariantChecker(new Simulation(5).teams, 1_000);
    rules.onSubmitted(service);
    rules.onAnswer(1, service.id(), 201, "pending");
    rules.faultsEndedMs = FAULTS_ENDED_MS;
    return rules;
  }

  private static JobSpec serviceSpec(int replicas, String team) {
    return service(SERVICE).tasks(replicas).cpus(4).team(team).build();
  }

  private static InvariantChecker.Machine machine(String id, String zone) {
    return new InvariantChecker.Machine(id, "t8", zone, false, 8);
  }

  private static InvariantChecker.RunningTask replicaOn(
      InvariantChecker.Machine machine, int replica) {
    return new InvariantChecker.RunningTask(
        machine.id(), SERVICE, replica, machine.type(), machine.zone(), machine.spot());
  }

  /** As the user keeps asking and is answered. */
  private static void checkAt(InvariantChecker rules, long now) {
    rules.onAnswer(now, SERVICE, 200, "pending");
    rules.check(now);
  }

  /** Steps the rules from then until just after the bound for replicas is over. */
  private static void checkPastTimeout(InvariantChecker rules, long from) {
    for (long now = from; now <= from + InvariantChecker.MAX_REPLICA_MISSING_MS + 500; now += 500) {
      checkAt(rules, now);
    }
  }

  private static void assertViolation(InvariantChecker rules, String check) {
    assertEquals(1, rules.violations.size(), rules.violations.toString());
    assertTrue(rules.violations.get(0).contains(check), rules.violations.toString());
  }

  @Test
  void serviceNeverCompletes() {
    InvariantChecker rules = checkerFor(serviceSpec(1, "free"));
    InvariantChecker.Machine machine = machine("m1", "a");
    rules.onMachineUp(machine);
    rules.onStarted(2, replicaOn(machine, 0));
    rules.onStopped("m1", SERVICE, 0, true);
    assertEquals(1, rules.remainingTasks(SERVICE), "it has to run again");
    rules.onAnswer(3, SERVICE, 200, "pending");
    rules.onStarted(4, replicaOn(machine, 0));
    rules.onAnswer(5, SERVICE, 200, "running");
    assertEquals(List.of(), rules.violations, "a replica that completed may run again");
    rules.onAnswer(6, SERVICE, 200, "done");
    assertViolation(rules, "not_done");
  }

  @Test
  void placementInvariantsApplyToReplicas() {
    InvariantChecker rules = checkerFor(serviceSpec(7, "tight"));
    for (int replica = 0; replica < 6; replica++) {
      rules.onStarted(2, replicaOn(machine("m" + replica, "a"), replica));
    }
    assertEquals(List.of(), rules.violations);
    rules.onStarted(3, replicaOn(machine("m7", "a"), 6));
    assertViolation(rules, "quota");
    rules.onStopped("m7", SERVICE, 6, true);
    rules.violations.clear();
    rules.onStopped("m0", SERVICE, 0, true);
    rules.onStarted(4, replicaOn(machine("m8", "a"), 1));
    assertViolation(rules, "ran_twice");
    rules.violations.clear();
    rules.onCancelRequested(SERVICE);
    rules.onAnswer(5, SERVICE, 200, "cancelled");
    rules.check(1_004);
    assertEquals(List.of(), rules.violations);
    rules.check(1_006);
    assertTrue(rules.violations.get(0).contains("ran_cancelled"), rules.violations.toString());
    InvariantChecker placed =
        checkerFor(service(SERVICE).tasks(3).cpus(1).spot(false).zone("b").build());
    placed.onStarted(2, replicaOn(machine("m1", "a"), 0));
    assertViolation(placed, "wrong_place");
  }

  @Test
  void replicaNotRunningDespiteCapacityIsMissing() {
    InvariantChecker rules = checkerFor(serviceSpec(2, "free"));
    InvariantChecker.Machine machine = machine("m1", "a");
    rules.onMachineUp(machine);
    rules.onStarted(2, replicaOn(machine, 1));
    for (long now = 500; now < FAULTS_ENDED_MS; now += 500) {
      rules.check(now);
    }
    for (long now = FAULTS_ENDED_MS;
        now <= FAULTS_ENDED_MS + InvariantChecker.MAX_REPLICA_MISSING_MS;
        now += 500) {
      rules.check(now);
    }
    assertEquals(List.of(), rules.violations, "not before its time");
    rules.check(FAULTS_ENDED_MS + InvariantChecker.MAX_REPLICA_MISSING_MS + 1);
    assertViolation(rules, "replica_missing: Replica[job=wk-000001, number=0]");
  }

  @Test
  void eachReplicaHasFullTimeoutToRestart() {
    InvariantChecker rules = checkerFor(serviceSpec(1, "free"));
    InvariantChecker.Machine machine = machine("m1", "a");
    rules.onMachineUp(machine);
    long now = FAULTS_ENDED_MS;
    for (int times = 0; times < 3; times++) {
      long back = now + InvariantChecker.MAX_REPLICA_MISSING_MS;
      for (; now <= back; now += 500) {
        checkAt(rules, now);
      }
      rules.onStarted(now, replicaOn(machine, 0));
      checkAt(rules, now);
      rules.onStopped("m1", SERVICE, 0, false);
      now += 500;
    }
    assertEquals(List.of(), rules.violations);
    checkPastTimeout(rules, now);
    assertViolation(rules, "replica_missing");
  }

  @Test
  void noReplicaIsMissingWithoutCapacity() {
    InvariantChecker tooFull = checkerFor(serviceSpec(3, "free"));
    InvariantChecker.Machine machine = machine("m1", "a");
    tooFull.onMachineUp(machine);
    tooFull.onStarted(2, replicaOn(machine, 0));
    tooFull.onStarted(2, replicaOn(machine, 1));
    checkPastTimeout(tooFull, FAULTS_ENDED_MS);
    assertEquals(List.of(), tooFull.violations, "no machine has room");

    InvariantChecker atLimit = checkerFor(serviceSpec(7, "tight"));
    for (int i = 0; i < 6; i++) {
      atLimit.onMachineUp(machine("m" + i, "a"));
      atLimit.onStarted(2, replicaOn(machine("m" + i, "a"), i));
    }
    checkPastTimeout(atLimit, FAULTS_ENDED_MS);
    assertEquals(List.of(), atLimit.violations, "the team is at its limit");

    JobSpec pinned = service(SERVICE).tasks(1).cpus(4).spot(false).zone("b").build();
    InvariantChecker elsewhere = checkerFor(pinned);
    elsewhere.onMachineUp(machine("m1", "a"));
    elsewhere.onMachineUp(new InvariantChecker.Machine("m2", "t8", "b", true, 8));
    checkPastTimeout(elsewhere, FAULTS_ENDED_MS);
    assertEquals(List.of(), elsewhere.violations, "wrong zone, wrong kind of machine");
    elsewhere.onMachineUp(machine("m3", "b"));
    checkPastTimeout(elsewhere, 100_000);
    assertViolation(elsewhere, "replica_missing");
  }

  @Test
  void capacityCountsOnlyInAllowedZones() {
    JobSpec oneZone = service(SERVICE).tasks(2).cpus(8).singleZone(true).build();
    JobSpec spread = service(SERVICE).tasks(2).cpus(8).spread(true).build();
    for (JobSpec service : List.of(oneZone, spread)) {
      String allowed = service.singleZone() ? "a" : "b";
      String forbidden = service.singleZone() ? "b" : "a";
      InvariantChecker rules = checkerFor(service);
      rules.onMachineUp(machine("m1", "a"));
      rules.onStarted(2, replicaOn(machine("m1", "a"), 0));
      rules.onMachineUp(machine("m2", forbidden));
      checkPastTimeout(rules, FAULTS_ENDED_MS);
      assertEquals(List.of(), rules.violations);
      rules.onMachineUp(machine("m3", allowed));
      checkPastTimeout(rules, 100_000);
      assertViolation(rules, "replica_missing");
    }
  }

  /** It would end there as soon as it is started; another replica has room there. */
  @Test
  void machineWithKeptResultIsNoCapacityForReplica() {
    InvariantChecker rules = checkerFor(serviceSpec(2, "free"));
    InvariantChecker.Machine machine = machine("m1", "a");
    rules.onMachineUp(machine);
    rules.onStarted(2, replicaOn(machine, 0));
    rules.onStopped("m1", SERVICE, 0, true);
    checkPastTimeout(rules, FAULTS_ENDED_MS);
    assertViolation(rules, "replica_missing: Replica[job=wk-000001, number=1]");
    rules.violations.clear();
    rules.onStarted(50_000, replicaOn(machine, 1));
    checkPastTimeout(rules, 50_000);
    assertEquals(List.of(), rules.violations);
    rules.onMachineUp(machine("m2", "a"));
    checkPastTimeout(rules, 100_000);
    assertViolation(rules, "replica_missing: Replica[job=wk-000001, number=0]");
  }

  @Test
  void cancelledServiceHasNoMissingReplica() {
    InvariantChecker rules = checkerFor(serviceSpec(2, "free"));
    rules.onMachineUp(machine("m1", "a"));
    rules.onCancelRequested(SERVICE);
    checkPastTimeout(rules, FAULTS_ENDED_MS);
    assertEquals(List.of(), rules.violations);
  }

  @Test
  void replicaRunsUntilStoppedOrExited() {
    Simulation sim = new Simulation(5);
    sim.runUntil(5_000);
    sim.checker.onSubmitted(serviceSpec(2, "free"));
    SimulatedWorker worker = List.copyOf(sim.workers.values()).get(0);
    worker.taskRunner.execute(new WorkerCommand(CommandKind.START, SERVICE, 0, 1, 0));
    worker.taskRunner.execute(new WorkerCommand(CommandKind.START, SERVICE, 1, 1, 0));
    sim.runUntil(8_000);
    assertEquals(2, sim.checker.runningReplicas(SERVICE));
    sim.runUntil(9_000);
    worker.taskRunner.execute(new WorkerCommand(CommandKind.STOP, SERVICE, 1, 1, 0));
    assertEquals(1, sim.checker.runningReplicas(SERVICE));
    assertTrue(sim.exitReplica(SERVICE, 0, ExitReason.DONE));
    assertEquals(0, sim.checker.runningReplicas(SERVICE));
  }

  /** Started again where it completed, a replica ends at once; elsewhere it runs. */
  @Test
  void aWorkerKeepsTheResultOfAReplicaThatCompleted() {
    Simulation sim = new Simulation(5);
    sim.runUntil(5_000);
    sim.checker.onSubmitted(serviceSpec(1, "free"));
    List<SimulatedWorker> workers = List.copyOf(sim.workers.values());
    workers.get(0).taskRunner.execute(new WorkerCommand(CommandKind.START, SERVICE, 0, 1, 0));
    sim.runUntil(8_000);
    assertTrue(sim.exitReplica(SERVICE, 0, ExitReason.DONE));
    workers.get(0).taskRunner.execute(new WorkerCommand(CommandKind.START, SERVICE, 0, 2, 0));
    sim.runUntil(8_100);
    assertEquals(0, sim.checker.runningReplicas(SERVICE));
    assertEquals(1, sim.faultCounts.get("result kept"));
    workers.get(1).taskRunner.execute(new WorkerCommand(CommandKind.START, SERVICE, 0, 3, 0));
    sim.runUntil(12_000);
    assertEquals(1, sim.checker.runningReplicas(SERVICE));
  }

  @Test
  void aFaultyMachineFailsReplicas() {
    Simulation sim = new Simulation(5);
    sim.runUntil(5_000);
    sim.checker.onSubmitted(serviceSpec(1, "free"));
    SimulatedWorker worker = List.copyOf(sim.workers.values()).get(0);
    worker.faulty = true;
    worker.taskRunner.execute(new WorkerCommand(CommandKind.START, SERVICE, 0, 1, 0));
    SimulatedTask replica = worker.tasks.values().iterator().next();
    sim.runUntil(8_000);
    assertEquals(0, sim.checker.runningReplicas(SERVICE));
    assertEquals(ExitReason.ERROR, replica.exitReason);
  }
}
