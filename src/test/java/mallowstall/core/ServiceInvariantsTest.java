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

/**
 * Shows that the service checks of {@link InvariantChecker} report violations, and none before
 * their timeouts. Without that a passing simulation would prove nothing.
 */
class ServiceInvariantsTest {
  private static final String SERVICE = "wk-000001";
  private static final long FAULTS_ENDED_MS = 1_000;

  private static InvariantChecker checkerFor(JobSpec service) {
    InvariantChecker checker = new InvariantChecker(new Simulation(5).teams, 1_000);
    checker.onSubmitted(service);
    checker.onAnswer(1, service.id(), 201, "pending");
    checker.faultsEndedMs = FAULTS_ENDED_MS;
    return checker;
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

  /** Runs the checks after the user has received an answer to another query. */
  private static void checkAt(InvariantChecker checker, long now) {
    checker.onAnswer(now, SERVICE, 200, "pending");
    checker.check(now);
  }

  /** Runs the checks every 500 ms until just after the bound for missing replicas. */
  private static void checkPastTimeout(InvariantChecker checker, long from) {
    for (long now = from; now <= from + InvariantChecker.MAX_REPLICA_MISSING_MS + 500; now += 500) {
      checkAt(checker, now);
    }
  }

  private static void assertViolation(InvariantChecker checker, String check) {
    assertEquals(1, checker.violations.size(), checker.violations.toString());
    assertTrue(checker.violations.get(0).contains(check), checker.violations.toString());
  }

  @Test
  void serviceNeverCompletes() {
    InvariantChecker checker = checkerFor(serviceSpec(1, "free"));
    InvariantChecker.Machine machine = machine("m1", "a");
    checker.onMachineUp(machine);
    checker.onStarted(2, replicaOn(machine, 0));
    checker.onStopped("m1", SERVICE, 0, true);
    assertEquals(1, checker.remainingTasks(SERVICE), "the replica has to run again");
    checker.onAnswer(3, SERVICE, 200, "pending");
    checker.onStarted(4, replicaOn(machine, 0));
    checker.onAnswer(5, SERVICE, 200, "running");
    assertEquals(List.of(), checker.violations, "a replica that completed may run again");
    checker.onAnswer(6, SERVICE, 200, "done");
    assertViolation(checker, "not_done");
  }

  @Test
  void placementInvariantsApplyToReplicas() {
    InvariantChecker checker = checkerFor(serviceSpec(7, "tight"));
    for (int replica = 0; replica < 6; replica++) {
      checker.onStarted(2, replicaOn(machine("m" + replica, "a"), replica));
    }
    assertEquals(List.of(), checker.violations);
    checker.onStarted(3, replicaOn(machine("m7", "a"), 6));
    assertViolation(checker, "quota");
    checker.onStopped("m7", SERVICE, 6, true);
    checker.violations.clear();
    checker.onStopped("m0", SERVICE, 0, true);
    checker.onStarted(4, replicaOn(machine("m8", "a"), 1));
    assertViolation(checker, "ran_twice");
    checker.violations.clear();
    checker.onCancelRequested(SERVICE);
    checker.onAnswer(5, SERVICE, 200, "cancelled");
    checker.check(1_004);
    assertEquals(List.of(), checker.violations);
    checker.check(1_006);
    assertTrue(checker.violations.get(0).contains("ran_cancelled"), checker.violations.toString());
    InvariantChecker placed =
        checkerFor(service(SERVICE).tasks(3).cpus(1).spot(false).zone("b").build());
    placed.onStarted(2, replicaOn(machine("m1", "a"), 0));
    assertViolation(placed, "wrong_place");
  }

  @Test
  void replicaNotRunningDespiteCapacityIsMissing() {
    InvariantChecker checker = checkerFor(serviceSpec(2, "free"));
    InvariantChecker.Machine machine = machine("m1", "a");
    checker.onMachineUp(machine);
    checker.onStarted(2, replicaOn(machine, 1));
    for (long now = 500; now < FAULTS_ENDED_MS; now += 500) {
      checker.check(now);
    }
    for (long now = FAULTS_ENDED_MS;
        now <= FAULTS_ENDED_MS + InvariantChecker.MAX_REPLICA_MISSING_MS;
        now += 500) {
      checker.check(now);
    }
    assertEquals(List.of(), checker.violations, "no violation before the timeout");
    checker.check(FAULTS_ENDED_MS + InvariantChecker.MAX_REPLICA_MISSING_MS + 1);
    assertViolation(checker, "replica_missing: Replica[job=wk-000001, number=0]");
  }

  @Test
  void eachReplicaHasFullTimeoutToRestart() {
    InvariantChecker checker = checkerFor(serviceSpec(1, "free"));
    InvariantChecker.Machine machine = machine("m1", "a");
    checker.onMachineUp(machine);
    long now = FAULTS_ENDED_MS;
    for (int times = 0; times < 3; times++) {
      long restartMs = now + InvariantChecker.MAX_REPLICA_MISSING_MS;
      for (; now <= restartMs; now += 500) {
        checkAt(checker, now);
      }
      checker.onStarted(now, replicaOn(machine, 0));
      checkAt(checker, now);
      checker.onStopped("m1", SERVICE, 0, false);
      now += 500;
    }
    assertEquals(List.of(), checker.violations);
    checkPastTimeout(checker, now);
    assertViolation(checker, "replica_missing");
  }

  @Test
  void noReplicaIsMissingWithoutCapacity() {
    InvariantChecker tooFull = checkerFor(serviceSpec(3, "free"));
    InvariantChecker.Machine machine = machine("m1", "a");
    tooFull.onMachineUp(machine);
    tooFull.onStarted(2, replicaOn(machine, 0));
    tooFull.onStarted(2, replicaOn(machine, 1));
    checkPastTimeout(tooFull, FAULTS_ENDED_MS);
    assertEquals(List.of(), tooFull.violations, "no machine has capacity");

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
    assertEquals(
        List.of(), elsewhere.violations, "one machine in the wrong zone, one a spot machine");
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
      InvariantChecker checker = checkerFor(service);
      checker.onMachineUp(machine("m1", "a"));
      checker.onStarted(2, replicaOn(machine("m1", "a"), 0));
      checker.onMachineUp(machine("m2", forbidden));
      checkPastTimeout(checker, FAULTS_ENDED_MS);
      assertEquals(List.of(), checker.violations);
      checker.onMachineUp(machine("m3", allowed));
      checkPastTimeout(checker, 100_000);
      assertViolation(checker, "replica_missing");
    }
  }

  /**
   * A replica ends at once on the machine that keeps its result, so that machine counts as capacity
   * for other replicas only.
   */
  @Test
  void machineWithKeptResultIsNoCapacityForReplica() {
    InvariantChecker checker = checkerFor(serviceSpec(2, "free"));
    InvariantChecker.Machine machine = machine("m1", "a");
    checker.onMachineUp(machine);
    checker.onStarted(2, replicaOn(machine, 0));
    checker.onStopped("m1", SERVICE, 0, true);
    checkPastTimeout(checker, FAULTS_ENDED_MS);
    assertViolation(checker, "replica_missing: Replica[job=wk-000001, number=1]");
    checker.violations.clear();
    checker.onStarted(50_000, replicaOn(machine, 1));
    checkPastTimeout(checker, 50_000);
    assertEquals(List.of(), checker.violations);
    checker.onMachineUp(machine("m2", "a"));
    checkPastTimeout(checker, 100_000);
    assertViolation(checker, "replica_missing: Replica[job=wk-000001, number=0]");
  }

  @Test
  void cancelledServiceHasNoMissingReplica() {
    InvariantChecker checker = checkerFor(serviceSpec(2, "free"));
    checker.onMachineUp(machine("m1", "a"));
    checker.onCancelRequested(SERVICE);
    checkPastTimeout(checker, FAULTS_ENDED_MS);
    assertEquals(List.of(), checker.violations);
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

  /** A completed replica ends at once if the same worker starts it again; on others it runs. */
  @Test
  void workerKeepsResultOfCompletedReplica() {
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
  void faultyMachineFailsReplicas() {
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
