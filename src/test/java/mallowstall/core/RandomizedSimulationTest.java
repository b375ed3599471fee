package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicLong;
import mallowstall.core.Model.Command;
import mallowstall.core.Model.CommandKind;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.Priority;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Seeded random histories of three cores against the plain model of the rules. */
class RandomizedSimulationTest {
  private static void allOver(Simulation sim) {
    assertEquals(List.of(), sim.rules.broken);
    for (String id : sim.jobs) {
      String last = sim.rules.lastTold(id);
      assertTrue("done".equals(last) || "cancelled".equals(last), id + " is " + last);
    }
  }

  @Test
  void aQuietDayGetsEverythingDone() {
    Simulation sim = new Simulation(1);
    RandomFaults.work(sim, 25);
    sim.run(200_000);
    allOver(sim);
    assertTrue(sim.rules.starts > 60, "starts " + sim.rules.starts);
  }

  /**
   * Seed 1303 once broke wrong_place: urgent tasks of one job took the place of others in two
   * zones. Seed 21124 broke went_back: a controller that had stood still told what it had read
   * before.
   */
  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 1303, 1694, 21124})
  void roughDaysKeepEveryRule(long seed) {
    Simulation sim = new Simulation(seed);
    sim.loss = 0.02;
    sim.rosterChaos = seed % 2 == 0 ? 0.2 : 0;
    sim.lateCopies = seed % 3 == 0 ? 0.2 : 0;
    RandomFaults.work(sim, 25);
    for (int i = 0; i < 14; i++) {
      sim.at(10_000 + sim.rnd.nextInt(110_000), () -> RandomFaults.older(sim));
    }
    sim.at(140_000, sim::endChance);
    sim.rules.calmSince = 185_000; // the last trouble has begun by 120 s and lasts up to a minute
    sim.run(330_000);
    allOver(sim);
    assertTrue(sim.rules.starts > 40, "starts " + sim.rules.starts);
  }

  private static final Set<String> TROUBLES =
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
          "isolate");

  private static final int MEETINGS = 10;
  private static int met;
  private static final Map<String, Integer> struck = new TreeMap<>();

  /**
   * The newer troubles meet the older ones, and each other. Seed 1753 once broke ran_twice: a
   * machine kept from a former process was written off while another's record of it was unknown.
   * Seed 1188 told a machine as free whose tasks were of a job not known yet.
   */
  @ParameterizedTest
  @ValueSource(longs = {101, 102, 103, 104, 105, 106, 107, 108, 1188, 1753})
  void meetingsOfTroublesKeepEveryRule(long seed) {
    Simulation sim = meetings(seed);
    sim.struck.forEach((k, v) -> struck.merge(k, v, Integer::sum));
    met++;
    assertEquals(List.of(), sim.rules.broken);
    overForUsers(sim);
    assertTrue(sim.rules.starts > 40, "starts " + sim.rules.starts);
  }

  @AfterAll
  static void everyTroubleStruck() {
    if (met < MEETINGS) {
      return; // only some of the seeds were asked for
    }
    Set<String> missing = new TreeSet<>(TROUBLES);
    missing.removeAll(struck.keySet());
    assertEquals(Set.of(), missing, "never struck in any of the histories");
  }

  /**
   * Hunts through seeds, outside of what every build runs. Prints each seed that breaks a rule:
   *
   * <pre>mvn -q test -Dtest=RandomizedSimulationTest#manySeeds -Dmallowstall.seeds=1000-3000</pre>
   */
  @Test
  void manySeeds() throws InterruptedException {
    AtomicLong starts = new AtomicLong();
    AtomicLong crossed = new AtomicLong();
    AtomicLong startsAfterCancel = new AtomicLong();
    new SeedSearch()
        .run(
            seed -> {
              Simulation sim = meetings(seed);
              starts.addAndGet(sim.rules.starts);
              crossed.addAndGet(sim.rules.crossed.size());
              startsAfterCancel.addAndGet(sim.rules.startsAfterCancel);
              assertEquals(List.of(), sim.rules.broken);
              overForUsers(sim);
              assertTrue(sim.rules.starts > 0, "nothing_ran");
            },
            () ->
                String.format(
                    "%d starts, %d of them after a told cancellation; %d answers crossed",
                    starts.get(), startsAfterCancel.get(), crossed.get()));
  }

  private static Simulation meetings(long seed) {
    return meetings(seed, Recorder.OFF);
  }

  /** Plays the history of the seed; what leaves the cores goes to the recorder. */
  static Simulation meetings(long seed, Recorder recorder) {
    Simulation sim = new Simulation(seed, ProgramVersion.CURRENT, recorder);
    sim.loss = seed % 4 == 0 ? 0.02 : 0;
    sim.rosterChaos = seed % 2 == 0 ? 0.2 : 0;
    sim.lateCopies = seed % 3 == 0 ? 0.2 : 0;
    sim.lateWrites = seed % 5 == 0 ? 0.1 : 0.01;
    sim.cancelAtEnd = 0.2;
    // with a state service this slow a poll is overtaken by the cancellation at another controller
    sim.rules.crossingsBreak = false;
    RandomFaults.work(sim, 45, 105_000);
    for (int i = 0; i < 8; i++) {
      sim.at(10_000 + sim.rnd.nextInt(110_000), () -> RandomFaults.older(sim));
    }
    for (int i = 0; i < 10; i++) {
      sim.at(10_000 + sim.rnd.nextInt(110_000), () -> RandomFaults.newer(sim, 140_000));
    }
    sim.at(140_000, sim::endChance);
    sim.rules.calmSince = 185_000; // the last trouble has begun by 120 s and lasts up to a minute
    sim.run(400_000);
    return sim;
  }

  /** A user may have given up before any controller could take the job: then it was never told. */
  private static void overForUsers(Simulation sim) {
    for (String id : sim.jobs) {
      String last = sim.rules.lastTold(id);
      assertTrue(
          last == null || "done".equals(last) || "cancelled".equals(last), id + " is " + last);
    }
  }

  /** Runs or stays known: the check of it can fail too, and not before its time. */
  @Test
  void theModelSeesAJobNobodyAnswersFor() {
    Simulation sim = new Simulation(6);
    InvariantChecker rules = new InvariantChecker(sim.teams, 1_000);
    rules.submitted(sim.job("wk-000003", 1, 4, Priority.NORMAL, "free", false, false, false, null));
    rules.calmSince = 10_000;
    rules.told(9_000, "wk-000003", 201, "pending");
    rules.told(60_000, "wk-000003", 503, null);
    rules.step(84_000);
    assertEquals(List.of(), rules.broken);
    rules.step(85_500);
    assertTrue(rules.broken.get(0).contains("forgotten"), rules.broken.toString());
  }

  /** The checks can fail: rogue commands and answers are each called by their rule's name. */
  @Test
  void theModelSeesBrokenRules() {
    Simulation sim = new Simulation(5);
    sim.run(5_000);
    JobSpec spec = sim.job("wk-000001", 2, 4, Priority.NORMAL, "tight", true, false, false, null);
    sim.rules.submitted(spec);
    List<SimulatedWorker> ws = List.copyOf(sim.workers.values());
    Command run = new Command(CommandKind.START, "wk-000001", 0, 1, 0);
    ws.get(0).execute(run);
    ws.get(1).execute(run);
    sim.run(8_000);
    assertTrue(
        sim.rules.broken.stream().anyMatch(b -> b.contains("ran_twice")),
        sim.rules.broken.toString());
    assertTrue(
        sim.rules.broken.stream().anyMatch(b -> b.contains("wrong_place")),
        sim.rules.broken.toString());
    InvariantChecker rules = new InvariantChecker(sim.teams, 1_000);
    rules.submitted(
        sim.job("wk-000002", 9, 4, Priority.NORMAL, "tight", false, false, false, null));
    for (int i = 0; i < 7; i++) {
      rules.started(1, new InvariantChecker.OnMachine("m" + i, "wk-000002", i, "t8", "a", false));
    }
    assertTrue(rules.broken.get(0).contains("quota"), rules.broken.toString());
    rules.broken.clear();
    rules.told(2, "wk-000002", 200, "done");
    assertTrue(rules.broken.get(0).contains("not_done"), rules.broken.toString());
    rules.broken.clear();
    rules.asksToCancel("wk-000002");
    rules.told(3, "wk-000002", 200, "cancelled");
    assertTrue(rules.broken.get(0).contains("went_back"), rules.broken.toString());
    rules.broken.clear();
    rules.step(2_000);
    assertTrue(rules.broken.get(0).contains("ran_cancelled"), rules.broken.toString());
    rules.broken.clear();
    rules.told(4, "wk-000002", 404, null);
    rules.told(4, "wk-000777", 200, "pending");
    assertFalse(rules.broken.get(0).contains("invented"));
    assertTrue(
        rules.broken.get(0).contains("forgotten") && rules.broken.get(1).contains("invented"),
        rules.broken.toString());
  }

  /** The newer checks can fail too, and not before their time. */
  @Test
  void theModelSeesLateStartsAndForgottenRoom() {
    Simulation sim = new Simulation(7);
    InvariantChecker rules = new InvariantChecker(sim.teams, 1_000);
    rules.submitted(sim.job("wk-000004", 2, 4, Priority.NORMAL, "tight", false, false, false, "a"));
    rules.told(1, "wk-000004", 201, "pending");
    rules.calmSince = 1_000;
    rules.machineUp(new InvariantChecker.Machine("m1", "t8", "b", false, 8)); // not allowed
    rules.step(2_000);
    rules.machineUp(new InvariantChecker.Machine("m2", "t8", "a", false, 8));
    for (long t = 3_000; t <= 3_000 + InvariantChecker.WAITS_MS; t += 30_000) {
      rules.told(t, "wk-000004", 200, "pending");
      rules.step(t);
    }
    assertEquals(List.of(), rules.broken);
    rules.step(3_500 + InvariantChecker.WAITS_MS);
    assertTrue(rules.broken.get(0).contains("never_started"), rules.broken.toString());
    rules.broken.clear();
    rules.asksToCancel("wk-000004");
    rules.told(100_000, "wk-000004", 200, "cancelled");
    rules.started(100_900, new InvariantChecker.OnMachine("m2", "wk-000004", 0, "t8", "a", false));
    assertEquals(List.of(), rules.broken);
    assertEquals(1, rules.startsAfterCancel);
    rules.started(101_100, new InvariantChecker.OnMachine("m2", "wk-000004", 1, "t8", "a", false));
    assertTrue(rules.broken.get(0).contains("ran_cancelled"), rules.broken.toString());
    assertEquals(1, rules.startsAfterCancel);
    rules.broken.clear();
    rules.toldImpossible(1, "wk-900000", 422);
    rules.toldImpossible(1, "wk-900000", 503);
    assertEquals(List.of(), rules.broken);
    rules.toldImpossible(1, "wk-900000", 201);
    assertTrue(rules.broken.get(0).contains("took_impossible"), rules.broken.toString());
    rules.broken.clear();
    rules.told(103_000, 99_999, "wk-000004", 200, "running"); // nobody waits that long
    assertTrue(rules.broken.get(0).contains("went_back"), rules.broken.toString());
    rules.broken.clear();
    rules.told(101_500, "wk-000004", 200, "cancelled");
    rules.told(101_500, 99_999, "wk-000004", 200, "running");
    assertTrue(rules.broken.get(0).contains("went_back"), rules.broken.toString());
    rules.broken.clear();
    rules.told(101_500, "wk-000004", 200, "cancelled");
    rules.crossingsBreak = false;
    rules.told(101_500, 99_999, "wk-000004", 200, "running");
    assertEquals(List.of(), rules.broken);
    assertEquals(2, rules.crossed.size());
    rules.told(101_600, 100_001, "wk-000004", 200, "running");
    assertTrue(rules.broken.get(0).contains("went_back"), rules.broken.toString());
    for (int status : new int[] {400, 404, 422}) {
      rules.broken.clear();
      rules.told(101_000, "wk-000004", status, null);
      assertTrue(rules.broken.get(0).contains("forgotten"), rules.broken.toString());
    }
  }

  /** A hung machine goes on with its tasks within its lease, and with none beyond it. */
  @Test
  void aHungMachineGoesOnWithinItsLeaseOnly() {
    Simulation sim = new Simulation(8);
    sim.runMs = 20_000;
    sim.run(5_000);
    sim.rules.submitted(
        sim.job("wk-000005", 2, 4, Priority.NORMAL, "free", false, false, false, null));
    List<SimulatedWorker> ws = List.copyOf(sim.workers.values());
    SimulatedWorker brief = ws.get(0);
    SimulatedWorker long_ = ws.get(1);
    brief.execute(new Command(CommandKind.START, "wk-000005", 0, 1, 0));
    long_.execute(new Command(CommandKind.START, "wk-000005", 1, 1, 0));
    sim.run(8_000);
    assertEquals(2, sim.rules.machinesOf("wk-000005").size());
    sim.rules.asksToCancel("wk-000005");
    sim.rules.told(sim.now - Simulation.CANCEL + 3_000, "wk-000005", 200, "cancelled");
    long session = long_.session;
    brief.hang(6_000);
    long_.hang(14_000);
    sim.run(13_000);
    assertTrue(
        sim.rules.broken.stream().anyMatch(b -> b.contains("ran_cancelled")),
        sim.rules.broken.toString());
    assertTrue(brief.hangs());
    sim.run(15_000);
    assertEquals(1, brief.tasks.size());
    sim.run(20_500);
    assertTrue(long_.hangs());
    assertEquals(Set.of(brief.id), sim.rules.machinesOf("wk-000005"));
    sim.run(23_000);
    assertEquals(session + 1, long_.session);
    assertEquals(List.of(), List.copyOf(long_.tasks.values()));
  }
}
