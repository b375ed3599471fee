package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicLong;
import mallowstall.core.model.CommandKind;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.ProgramVersion;
import mallowstall.core.model.WorkerCommand;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs random histories of three controllers, each determined by its seed, and checks them against
 * the rules of {@link InvariantChecker}. Seeds that once violated a rule are among those that each
 * build runs, or have a test of their own:
 *
 * <ul>
 *   <li>1188: a machine was published as free although it ran tasks, because their job was not yet
 *       known.
 *   <li>1303 (wrong_place): high-priority tasks of one job preempted other tasks in two zones.
 *   <li>1753 (ran_twice): a controller recovered a machine from its former incarnation and expired
 *       the machine's lease while another controller's entry of that machine was unknown to it; see
 *       also {@link MachineLeadershipTest}.
 *   <li>3745, 3818 (ran_twice): a lease was counted from the last heartbeat of a former session;
 *       see {@link HeartbeatSafetyTest}.
 *   <li>21124 (went_back): a controller resumed after a pause and answered with a state that it had
 *       read before the pause; see also {@link PartitionSafetyTest}.
 * </ul>
 */
class RandomizedSimulationTest {
  private static void assertAllFinished(Simulation sim) {
    assertEquals(List.of(), sim.checker.violations);
    for (String id : sim.users.jobs) {
      assertTrue(sim.checker.hasEnded(id), id + " is " + sim.checker.lastState(id));
    }
  }

  @Test
  void allJobsFinishWithoutFaults() {
    Simulation sim = new Simulation(1);
    RandomFaults.scheduleRandomJobs(sim, 25);
    sim.runUntil(200_000);
    assertAllFinished(sim);
    assertTrue(sim.checker.startCount > 60, "starts " + sim.checker.startCount);
  }

  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 1303, 1694, 21124})
  void invariantsHoldUnderRandomFaults(long seed) {
    Simulation sim = new Simulation(seed);
    sim.messageLossRate = 0.02;
    sim.statusUpdateFaultRate = seed % 2 == 0 ? 0.2 : 0;
    sim.duplicateHeartbeatRate = seed % 3 == 0 ? 0.2 : 0;
    RandomFaults.scheduleRandomJobs(sim, 25);
    for (int i = 0; i < 14; i++) {
      sim.schedule(10_000 + sim.random.nextInt(110_000), () -> RandomFaults.injectBasicFault(sim));
    }
    sim.schedule(140_000, sim::stopRandomFaults);
    // the last fault starts by 120 s and lasts at most one minute
    sim.checker.faultsEndedMs = 185_000;
    sim.runUntil(330_000);
    assertAllFinished(sim);
    assertTrue(sim.checker.startCount > 40, "starts " + sim.checker.startCount);
  }

  private static final Set<String> FAULTS =
      Set.of(
          "lateWrites",
          "lateWrites, applied",
          "slowState",
          "mute",
          "mute, ordered",
          "hang",
          "hang, ordered",
          "hang, held orders executed",
          "hang, beyond its lease",
          "cancelNow",
          "cancelNow, hang",
          "cancelAtEnd",
          "cancelAtEnd, one task short",
          "oddRequests, again",
          "oddRequests, over again",
          "oddRequests, cancel done",
          "oddRequests, nobody's",
          "oddRequests, impossible",
          "changeLeaders",
          "changeLeaders, in an outage",
          "refusedThenOutage",
          "isolate",
          "worker restart, EVERYTHING",
          "worker restart, TOKEN_AND_SESSION",
          "repeatedCommands",
          "repeated, STARTS",
          "repeated, STATUS_UPDATES",
          "repeated, OTHER_PEER_MESSAGES",
          "repeated, HEARTBEATS",
          "repeated, WRITES");

  private static final int HISTORIES = 10;
  private static int historiesRun;
  private static final Map<String, Integer> FAULT_COUNTS = new TreeMap<>();

  /** Invariants hold when combined faults overlap with basic faults and with each other. */
  @ParameterizedTest
  @ValueSource(longs = {101, 102, 103, 104, 105, 106, 107, 108, 1188, 1753})
  void invariantsHoldUnderCombinedFaults(long seed) {
    Simulation sim = runCombinedFaults(seed);
    sim.faultCounts.forEach((k, v) -> FAULT_COUNTS.merge(k, v, Integer::sum));
    historiesRun++;
    assertEquals(List.of(), sim.checker.violations);
    assertFinishedForUsers(sim);
    assertTrue(sim.checker.startCount > 40, "starts " + sim.checker.startCount);
  }

  @AfterAll
  static void assertEveryFaultInjected() {
    if (historiesRun < HISTORIES) {
      return; // only some of the seeds were run
    }
    Set<String> missing = new TreeSet<>(FAULTS);
    missing.addAll(LateAnswerFaults.NAMES);
    missing.removeAll(FAULT_COUNTS.keySet());
    assertEquals(Set.of(), missing, "injected in none of the histories");
  }

  /**
   * Searches seeds beyond those that each build runs, and prints each seed that violates a rule.
   *
   * <pre>mvn -q test -Dtest=RandomizedSimulationTest#manySeeds -Dmallowstall.seeds=1000-3000</pre>
   */
  @Test
  void manySeeds() throws InterruptedException {
    AtomicLong starts = new AtomicLong();
    AtomicLong startsAfterCancel = new AtomicLong();
    new SeedSearch()
        .runAll(
            seed -> {
              Simulation sim = runCombinedFaults(seed);
              starts.addAndGet(sim.checker.startCount);
              startsAfterCancel.addAndGet(sim.checker.startsAfterCancelCount);
              assertEquals(List.of(), sim.checker.violations);
              assertFinishedForUsers(sim);
              assertTrue(sim.checker.startCount > 0, "nothing_ran");
            },
            () ->
                String.format(
                    "%d starts, %d of them after a confirmed cancellation",
                    starts.get(), startsAfterCancel.get()));
  }

  private static Simulation runCombinedFaults(long seed) {
    return runCombinedFaults(seed, Recorder.OFF);
  }

  /** Runs the history of the seed. The recorder receives everything that the controllers send. */
  static Simulation runCombinedFaults(long seed, Recorder recorder) {
    Simulation sim = new Simulation(seed, ProgramVersion.CURRENT, recorder);
    RandomFaults.setMessageFaultRates(sim, seed);
    sim.cancelAtEndRate = 0.2;
    RandomFaults.scheduleRandomJobs(sim, 45, 105_000);
    for (int i = 0; i < 8; i++) {
      sim.schedule(10_000 + sim.random.nextInt(110_000), () -> RandomFaults.injectBasicFault(sim));
    }
    for (int i = 0; i < 10; i++) {
      sim.schedule(
          10_000 + sim.random.nextInt(110_000),
          () -> RandomFaults.injectCombinedFault(sim, 140_000));
    }
    new LateAnswerFaults(sim).schedule(10, 10_000, 110_000);
    sim.schedule(140_000, sim::stopRandomFaults);
    // the last fault starts by 120 s and lasts at most one minute
    sim.checker.faultsEndedMs = 185_000;
    sim.runUntil(400_000);
    return sim;
  }

  /**
   * Asserts that each job is done or cancelled, or was never answered: a user may give up before
   * any controller accepts the job.
   */
  private static void assertFinishedForUsers(Simulation sim) {
    for (String id : sim.users.jobs) {
      String last = sim.checker.lastState(id);
      assertTrue(
          last == null || "done".equals(last) || "cancelled".equals(last), id + " is " + last);
    }
  }

  /**
   * The checker reports an accepted job as forgotten if users get no further answer with its state,
   * but not before the time limit after the end of the faults.
   */
  @Test
  void checkerDetectsUnansweredJob() {
    Simulation sim = new Simulation(6);
    InvariantChecker rules = new InvariantChecker(sim.teams, 1_000);
    rules.onSubmitted(batchJob("wk-000003").tasks(1).cpus(4).spot(false).build());
    rules.faultsEndedMs = 10_000;
    rules.onAnswer(9_000, "wk-000003", 201, "pending");
    rules.onAnswer(60_000, "wk-000003", 503, null);
    rules.check(84_000);
    assertEquals(List.of(), rules.violations);
    rules.check(85_500);
    assertTrue(rules.violations.get(0).contains("forgotten"), rules.violations.toString());
  }

  /**
   * The checker reports a job as forgotten during faults if every poll for it fails for 90 s while
   * most others are answered, and not if most others fail as well.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void checkerDetectsJobForgottenAmongOthers(boolean othersAreAnswered) {
    Simulation sim = new Simulation(6);
    InvariantChecker rules = new InvariantChecker(sim.teams, 1_000);
    for (long t = 1_000; t <= 91_000; t += 5_000) {
      rules.onPoll(t, "wk-000001", false);
      rules.onPoll(t, "wk-000002", othersAreAnswered);
    }
    rules.check(91_000);
    assertEquals(List.of(), rules.violations);
    rules.check(91_001);
    boolean isReported = rules.violations.stream().anyMatch(text -> text.contains("wk-000001"));
    assertEquals(othersAreAnswered, isReported, rules.violations.toString());
  }

  /** The checker reports each forbidden command and answer under the name of its rule. */
  @Test
  void checkerDetectsViolations() {
    Simulation sim = new Simulation(5);
    sim.runUntil(5_000);
    JobSpec spec =
        batchJob("wk-000001").tasks(2).cpus(4).team("tight").singleZone(true).spot(false).build();
    sim.checker.onSubmitted(spec);
    List<SimulatedWorker> workers = List.copyOf(sim.workers.values());
    WorkerCommand run = new WorkerCommand(CommandKind.START, "wk-000001", 0, 1, 0);
    workers.get(0).taskRunner.execute(run);
    workers.get(1).taskRunner.execute(run);
    sim.runUntil(8_000);
    assertTrue(
        sim.checker.violations.stream().anyMatch(violation -> violation.contains("ran_twice")),
        sim.checker.violations.toString());
    assertTrue(
        sim.checker.violations.stream().anyMatch(violation -> violation.contains("wrong_place")),
        sim.checker.violations.toString());
    InvariantChecker rules = new InvariantChecker(sim.teams, 1_000);
    rules.onSubmitted(batchJob("wk-000002").tasks(9).cpus(4).team("tight").spot(false).build());
    for (int i = 0; i < 7; i++) {
      rules.onStarted(
          1, new InvariantChecker.RunningTask("m" + i, "wk-000002", i, "t8", "a", false));
    }
    assertTrue(rules.violations.get(0).contains("quota"), rules.violations.toString());
    rules.violations.clear();
    rules.onAnswer(2, "wk-000002", 200, "done");
    assertTrue(rules.violations.get(0).contains("not_done"), rules.violations.toString());
    rules.violations.clear();
    rules.onCancelRequested("wk-000002");
    rules.onAnswer(3, "wk-000002", 200, "cancelled");
    assertTrue(rules.violations.get(0).contains("went_back"), rules.violations.toString());
    rules.violations.clear();
    rules.check(2_000);
    assertTrue(rules.violations.get(0).contains("ran_cancelled"), rules.violations.toString());
    rules.violations.clear();
    rules.onAnswer(4, "wk-000002", 404, null);
    rules.onAnswer(4, "wk-000777", 200, "pending");
    assertFalse(rules.violations.get(0).contains("invented"));
    assertTrue(
        rules.violations.get(0).contains("forgotten")
            && rules.violations.get(1).contains("invented"),
        rules.violations.toString());
  }

  /**
   * The checker reports late starts, unused capacity and stale answers, each only after its time
   * limit.
   */
  @Test
  void checkerDetectsLateStartsAndUnusedCapacity() {
    Simulation sim = new Simulation(7);
    InvariantChecker rules = new InvariantChecker(sim.teams, 1_000);
    rules.onSubmitted(
        batchJob("wk-000004").tasks(2).cpus(4).team("tight").spot(false).zone("a").build());
    rules.onAnswer(1, "wk-000004", 201, "pending");
    rules.faultsEndedMs = 1_000;
    rules.onMachineUp(
        new InvariantChecker.Machine("m1", "t8", "b", false, 8)); // the job allows only zone a
    rules.check(2_000);
    rules.onMachineUp(new InvariantChecker.Machine("m2", "t8", "a", false, 8));
    for (long t = 3_000; t <= 3_000 + InvariantChecker.MAX_PENDING_MS; t += 30_000) {
      rules.onAnswer(t, "wk-000004", 200, "pending");
      rules.check(t);
    }
    assertEquals(List.of(), rules.violations);
    rules.check(3_500 + InvariantChecker.MAX_PENDING_MS);
    assertTrue(rules.violations.get(0).contains("never_started"), rules.violations.toString());
    rules.violations.clear();
    rules.onCancelRequested("wk-000004");
    rules.onAnswer(100_000, "wk-000004", 200, "cancelled");
    rules.onStarted(
        100_900, new InvariantChecker.RunningTask("m2", "wk-000004", 0, "t8", "a", false));
    assertEquals(List.of(), rules.violations);
    assertEquals(1, rules.startsAfterCancelCount);
    rules.onStarted(
        101_100, new InvariantChecker.RunningTask("m2", "wk-000004", 1, "t8", "a", false));
    assertTrue(rules.violations.get(0).contains("ran_cancelled"), rules.violations.toString());
    assertEquals(1, rules.startsAfterCancelCount);
    rules.violations.clear();
    rules.onUnplaceableAnswer(1, "wk-900000", 422);
    rules.onUnplaceableAnswer(1, "wk-900000", 503);
    assertEquals(List.of(), rules.violations);
    rules.onUnplaceableAnswer(1, "wk-900000", 201);
    assertTrue(rules.violations.get(0).contains("took_impossible"), rules.violations.toString());
    rules.violations.clear();
    rules.onAnswer(103_000, 99_999, "wk-000004", 200, "running"); // users do not wait that long
    assertTrue(rules.violations.get(0).contains("went_back"), rules.violations.toString());
    rules.violations.clear();
    rules.onAnswer(101_500, "wk-000004", 200, "cancelled");
    rules.onAnswer(101_500, 99_999, "wk-000004", 200, "running");
    assertTrue(rules.violations.get(0).contains("went_back"), rules.violations.toString());
    rules.onAnswer(101_500, "wk-000004", 200, "cancelled");
    rules.violations.clear();
    rules.onAnswer(101_600, 100_001, "wk-000004", 200, "running");
    assertTrue(rules.violations.get(0).contains("went_back"), rules.violations.toString());
    for (int status : new int[] {400, 404, 422}) {
      rules.violations.clear();
      rules.onAnswer(101_000, "wk-000004", status, null);
      assertTrue(rules.violations.get(0).contains("forgotten"), rules.violations.toString());
    }
  }

  /**
   * A paused machine continues its tasks if it resumes within its lease, and has no tasks if it
   * resumes later.
   */
  @Test
  void pausedMachineResumesOnlyWithinLease() {
    Simulation sim = new Simulation(8);
    sim.taskRunMs = 20_000;
    sim.runUntil(5_000);
    sim.checker.onSubmitted(batchJob("wk-000005").tasks(2).cpus(4).spot(false).build());
    List<SimulatedWorker> workers = List.copyOf(sim.workers.values());
    SimulatedWorker brieflyPaused = workers.get(0);
    SimulatedWorker longPaused = workers.get(1);
    brieflyPaused.taskRunner.execute(new WorkerCommand(CommandKind.START, "wk-000005", 0, 1, 0));
    longPaused.taskRunner.execute(new WorkerCommand(CommandKind.START, "wk-000005", 1, 1, 0));
    sim.runUntil(8_000);
    assertEquals(2, sim.checker.machinesOf("wk-000005").size());
    sim.checker.onCancelRequested("wk-000005");
    sim.checker.onAnswer(sim.nowMs - Simulation.CANCEL_MS + 3_000, "wk-000005", 200, "cancelled");
    long session = longPaused.epoch;
    brieflyPaused.pause(6_000);
    longPaused.pause(14_000);
    sim.runUntil(13_000);
    assertTrue(
        sim.checker.violations.stream().anyMatch(violation -> violation.contains("ran_cancelled")),
        sim.checker.violations.toString());
    assertTrue(brieflyPaused.isPaused());
    sim.runUntil(15_000);
    assertEquals(1, brieflyPaused.tasks.size());
    sim.runUntil(20_500);
    assertTrue(longPaused.isPaused());
    assertEquals(Set.of(brieflyPaused.id), sim.checker.machinesOf("wk-000005"));
    sim.runUntil(23_000);
    assertEquals(session + 1, longPaused.epoch);
    assertEquals(List.of(), List.copyOf(longPaused.tasks.values()));
  }
}
