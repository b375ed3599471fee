package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mallowstall.Constants;
import mallowstall.core.Effects.Code;
import mallowstall.core.Effects.Cond;
import mallowstall.core.Effects.Put;
import mallowstall.core.Effects.Txn;
import mallowstall.core.Model.BitsRec;
import mallowstall.core.Model.CounterRec;
import mallowstall.core.Model.Entry;
import mallowstall.core.Model.Final;
import mallowstall.core.Model.GroupRec;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.MachineRec;
import mallowstall.core.Model.Priority;
import mallowstall.core.Model.UserAnswer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Limits of the state service that fall while everything goes on. */
class StateLimitsTest {
  private static final int MANY = 100_000;
  private static final Simulation.StateLimits BEFORE = new Simulation.StateLimits(8_192, 24, 120);
  private static final Simulation.StateLimits AFTER = new Simulation.StateLimits(2_048, 8, 40);
  private static final String TOO_LARGE = "limits, too large";
  private static final String TOO_MANY = "limits, too many";

  private static JobSpec many(Simulation sim, String id, String team) {
    return sim.job(id, MANY, 4, Priority.NORMAL, team, false, false, true, null);
  }

  private static BitSet firstTasks(int count) {
    BitSet out = new BitSet();
    out.set(0, count);
    return out;
  }

  /** Stores the job as the version in production has it, held by this controller. */
  private static void storeInProductionsLayout(
      Simulation sim, JobSpec spec, SimulatedController holder, BitSet done) {
    int chunk = Constants.BITS_PER_CHUNK;
    JobRec job =
        new JobRec(
            spec,
            1_700_000_000_000L,
            holder.name,
            holder.core.incarnation(),
            1,
            done.get(0, chunk).toByteArray(),
            done.cardinality(),
            0,
            Final.NONE);
    long revision = ++sim.state.revision;
    for (int c = 1; c * chunk < done.length(); c++) {
      BitsRec bits = new BitsRec(done.get(c * chunk, (c + 1) * chunk).toByteArray());
      sim.state.set(JobEntries.chunkKey(spec.id(), c), bits, revision, 0);
    }
    sim.state.set(JobEntries.jobKey(spec.id()), job, revision, 0);
    sim.rules.submitted(spec);
    sim.jobs.add(spec.id());
  }

  /** From now on compares what can be read of these jobs after each change with before. */
  private static void bitsOnlyGrow(Simulation sim, String... jobs) {
    Map<String, BitSet> before = new HashMap<>();
    for (String id : jobs) {
      before.put(id, sim.doneBits(id));
    }
    sim.state.changed =
        transaction -> {
          for (String id : jobs) {
            if (transaction.puts().stream().noneMatch(put -> put.key().contains(id))) {
              continue;
            }
            BitSet now = sim.doneBits(id);
            BitSet lost = before.put(id, now);
            lost.andNot(now);
            if (!lost.isEmpty()) {
              sim.rules.broken.add(sim.now + " lost: " + id + " " + lost);
            }
          }
        };
  }

  /** Changes of the controller's session entry since then, its end among them. */
  private static long sessionChanges(Simulation sim, String node, long revision) {
    return sim.state.changes.stream()
        .filter(item -> item.version() > revision && item.key().equals(Store.SESSIONS + node))
        .count();
  }

  private static long asked(Simulation sim, int from, String key) {
    return sim.state.asked.stream()
        .skip(from)
        .filter(transaction -> transaction.puts().stream().anyMatch(put -> put.key().equals(key)))
        .count();
  }

  private static Txn counters(int count, long value) {
    List<Put> puts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      puts.add(new Put("c/x/" + i, new CounterRec(value), 0));
    }
    return new Txn(List.of(), puts, List.of());
  }

  private static Txn bits(int bytes) {
    Put put = new Put("c/b/wk-000001/p0", new BitsRec(new byte[bytes]), 0);
    return new Txn(List.of(), List.of(put), List.of());
  }

  @Test
  void theStandInEnforcesItsLimits() {
    Simulation sim = new Simulation(300);
    sim.run(100);
    assertEquals(Code.OK, sim.state.transact(counters(200, 1)).code(), "without limits");
    assertEquals(Code.OK, sim.state.transact(bits(9_000)).code(), "without limits");
    sim.state.limitTo(AFTER);
    long revision = sim.state.revision;
    // {"done":""} and four characters for each three bytes
    assertEquals(2_047, Simulation.size(bits(1_527).puts().get(0).value()));
    assertEquals(2_051, Simulation.size(bits(1_530).puts().get(0).value()));
    assertEquals(Code.MALFORMED, sim.state.transact(bits(1_530)).code());
    assertEquals(Code.MALFORMED, sim.state.transact(counters(9, 2)).code());
    List<Cond> conditions = new ArrayList<>();
    for (int i = 0; i < 33; i++) {
      conditions.add(new Cond("c/y/" + i, 0));
    }
    Txn manyConditions = new Txn(conditions, counters(1, 2).puts(), List.of());
    assertEquals(Code.MALFORMED, sim.state.transact(manyConditions).code());
    assertEquals(revision, sim.state.revision, "nothing was changed");
    assertEquals(3, sim.struck.get(TOO_LARGE));
    assertEquals(Code.OK, sim.state.transact(bits(1_527)).code());
    for (int i = 0; i < 4; i++) {
      assertEquals(Code.OK, sim.state.transact(counters(8, 3)).code());
    }
    assertEquals(Code.REFUSED, sim.state.transact(counters(8, 4)).code(), "40 in a second");
    assertEquals(1, sim.struck.get(TOO_MANY));
    sim.now += 100; // room for four more
    assertEquals(Code.OK, sim.state.transact(counters(4, 5)).code());
    assertEquals(Code.REFUSED, sim.state.transact(counters(8, 6)).code());
    assertEquals(9_000, ((BitsRec) bits(9_000).puts().get(0).value()).done().length);
  }

  /**
   * A controller ends with jobs of 100,000 tasks partly done, one of which the version in
   * production stored, and with a third of 304 machines; the limits fall before its session has
   * ended, while its jobs and machines are taken over, or after that. Later another one ends.
   */
  @ParameterizedTest
  @ValueSource(longs = {0, 5_300, 9_000})
  void theLimitsFallInTheMiddleOfATakeover(long after) {
    Simulation sim = new Simulation(301 + after, AFTER);
    sim.state.limitTo(BEFORE);
    sim.addMachines(300);
    sim.run(20_000);
    sim.submit(many(sim, "wk-000001", "free"));
    sim.submit(many(sim, "wk-000002", "tight"));
    sim.run(35_000);
    SimulatedController first = sim.nodes.get(sim.entry("wk-000001").holder());
    BitSet done = firstTasks(30_000);
    done.clear(5_000);
    done.clear(20_000);
    storeInProductionsLayout(sim, many(sim, "wk-000003", "free"), first, done);
    bitsOnlyGrow(sim, "wk-000001", "wk-000002", "wk-000003");
    long revision = sim.state.revision;
    first.crash(40_000);
    sim.at(after, () -> sim.state.limitTo(AFTER));
    sim.run(65_000);
    for (SimulatedController node : sim.nodes.values()) {
      if (node != first) {
        assertEquals(0, sessionChanges(sim, node.name, revision), node.name);
      }
    }
    Map<String, Integer> counts = new HashMap<>();
    for (String id : List.of("wk-000001", "wk-000002", "wk-000003")) {
      JobRec job = sim.entry(id);
      counts.put(id, job.doneCount());
      assertNotEquals(first.name, job.holder(), id);
      assertEquals(job.doneCount(), sim.doneBits(id).cardinality(), id);
      assertEquals(0, job.done().length, id + " has the compact layout");
    }
    assertTrue(sim.doneBits("wk-000003").cardinality() >= done.cardinality());
    sim.run(76_000);
    SimulatedController second = sim.nodes.get(sim.entry("wk-000003").holder());
    second.crash(20_000);
    sim.run(120_000);
    for (String id : counts.keySet()) {
      int now = sim.doneBits(id).cardinality();
      assertTrue(now > counts.get(id), id + ": " + now + " after " + counts.get(id));
    }
    for (SimulatedWorker worker : sim.workers.values()) {
      assertEquals(1, worker.session, worker.id);
    }
    assertNull(sim.struck.get(TOO_LARGE));
    assertEquals(List.of(), sim.rules.broken);
  }

  /** The transaction that cancels takes the bits along that its entry has no room for. */
  @Test
  void aCancellationOfAnEntryThatNoLongerFitsKeepsItsBits() {
    Simulation sim = new Simulation(310, AFTER);
    sim.run(10_000);
    JobSpec spec = many(sim, "wk-000001", "free");
    storeInProductionsLayout(sim, spec, sim.nodes.get("n1"), firstTasks(30_000));
    bitsOnlyGrow(sim, "wk-000001");
    sim.state.limitTo(AFTER);
    sim.cancel("wk-000001");
    sim.run(20_000);
    assertEquals("cancelled", sim.rules.lastTold("wk-000001"));
    JobRec job = sim.entry("wk-000001");
    assertEquals(Final.CANCELLED, job.fin());
    assertEquals(0, job.done().length);
    assertTrue(sim.doneBits("wk-000001").cardinality() >= 30_000);
    Txn cancelling =
        sim.state.asked.stream()
            .filter(
                transaction ->
                    transaction.puts().stream().anyMatch(put -> isCancelled(put.value())))
            .findFirst()
            .orElseThrow();
    assertEquals(3, cancelling.puts().size(), "two pieces and the entry");
    assertNull(sim.struck.get(TOO_LARGE));
    assertEquals(List.of(), sim.rules.broken);
  }

  /** An entry may be known before its pieces: what these say was done isn't started again. */
  @Test
  void bitsThatAreLearntAfterTheirEntryCount() {
    Simulation sim = new Simulation(314, AFTER);
    sim.run(10_000);
    JobSpec spec =
        sim.job("wk-000001", 20_010, 4, Priority.NORMAL, "free", false, false, true, null);
    SimulatedController holder = sim.nodes.get("n1");
    long incarnation = holder.core.incarnation();
    JobRec job = JobRec.accepted(spec, 1_700_000_000_000L, holder.name, incarnation);
    sim.rules.submitted(spec);
    sim.jobs.add(spec.id());
    for (int task = 0; task < 20_000; task++) {
      sim.rules.left("", spec.id(), task, true);
    }
    int starts = sim.rules.starts;
    long revision = ++sim.state.revision;
    JobRec partly = job.withDone(new byte[0], 20_000, Final.NONE);
    sim.state.set(JobEntries.jobKey(spec.id()), partly, revision, 0);
    BitSet done = firstTasks(20_000);
    int piece = Constants.BITS_PER_PIECE;
    for (int p = 0; p * piece < 20_000; p++) {
      BitsRec bits = new BitsRec(done.get(p * piece, (p + 1) * piece).toByteArray());
      sim.state.set(JobEntries.pieceKey(spec.id(), p), bits, revision, 0);
    }
    sim.run(60_000);
    assertEquals(Final.DONE, sim.entry(spec.id()).fin());
    assertEquals(10, sim.rules.starts - starts);
    assertEquals(List.of(), sim.rules.broken);
  }

  private static boolean isCancelled(Entry value) {
    return value instanceof JobRec job && job.fin() == Final.CANCELLED;
  }

  /**
   * Nobody knew that the limits fall: entries that have become too large are tried ever more
   * seldom, and hold up neither sessions nor other jobs of the same team.
   */
  @Test
  void whatIsCalledTooLargeIsTriedSeldomAndHoldsUpNothing() {
    Simulation sim = new Simulation(311);
    sim.run(10_000);
    SimulatedController holder = sim.nodes.get("n1");
    for (String id : List.of("wk-000001", "wk-000002")) {
      JobSpec spec = many(sim, id, id.equals("wk-000001") ? "free" : "tight");
      storeInProductionsLayout(sim, spec, holder, firstTasks(30_000));
    }
    sim.state.limitTo(AFTER);
    int from = sim.state.asked.size();
    long revision = sim.state.revision;
    sim.run(15_000);
    for (int i = 3; i < 6; i++) {
      sim.submit(sim.job("wk-00000" + i, 6, 2, Priority.HIGH, "tight", false, false, true, null));
    }
    sim.run(70_000);
    for (int i = 3; i < 6; i++) {
      assertEquals("done", sim.rules.lastTold("wk-00000" + i));
    }
    for (String id : List.of("wk-000001", "wk-000002")) {
      long tries = asked(sim, from, JobEntries.jobKey(id));
      assertTrue(tries >= 2 && tries <= 12, id + " was tried " + tries + " times");
    }
    // and once more when its holder ends and the others try to claim them
    holder.crash(100_000);
    from = sim.state.asked.size();
    sim.run(140_000);
    for (String id : List.of("wk-000001", "wk-000002")) {
      long tries = asked(sim, from, JobEntries.jobKey(id));
      assertTrue(tries >= 2 && tries <= 24, id + " was claimed " + tries + " times");
    }
    for (SimulatedController node : sim.nodes.values()) {
      if (node != holder) {
        assertEquals(0, sessionChanges(sim, node.name, revision), node.name);
      }
    }
    assertTrue(sim.struck.get(TOO_LARGE) > 0);
    assertEquals(List.of(), sim.rules.broken);
  }

  /** The same with a rate that leaves no change at all: what is refused isn't asked for hotly. */
  @Test
  void aRateThatIsExceededIsNotTriedHotly() {
    Simulation sim = new Simulation(312);
    sim.run(10_000);
    List<String> ids = List.of("wk-000001", "wk-000002", "wk-000003", "wk-000004");
    for (String id : ids) {
      sim.submit(sim.job(id, 4, 2, Priority.NORMAL, "free", false, false, true, null));
    }
    sim.run(11_500);
    sim.state.limitTo(new Simulation.StateLimits(8_192, 24, 0));
    int from = sim.state.asked.size();
    long revision = sim.state.revision;
    sim.run(41_500);
    for (String id : ids) {
      long tries = asked(sim, from, JobEntries.jobKey(id));
      assertTrue(tries >= 4 && tries <= 16, id + " was tried " + tries + " times in 30 s");
    }
    assertTrue(sim.struck.get(TOO_MANY) > 0);
    for (SimulatedController node : sim.nodes.values()) {
      assertEquals(0, sessionChanges(sim, node.name, revision));
    }
    sim.state.limitTo(BEFORE);
    sim.run(51_500);
    for (String id : ids) {
      assertEquals("done", sim.rules.lastTold(id), id);
    }
    assertEquals(List.of(), sim.rules.broken);
  }

  /** A description that can't be kept is refused at once, but not one that stands already. */
  @Test
  void aDescriptionThatIsTooLargeIsRefusedUnlessItWasAccepted() {
    Simulation sim = new Simulation(313, AFTER);
    sim.run(10_000);
    sim.state.limitTo(AFTER);
    JobSpec large =
        withLongNames(sim.job("wk-000001", 4, 1, Priority.LOW, "free", false, false, true, null));
    List<UserAnswer> answers = new ArrayList<>();
    SimulatedController node = sim.nodes.get("n0");
    node.event(() -> node.core.submit(large, answers::add));
    sim.run(11_000);
    assertEquals(400, answers.get(0).status());
    assertEquals("the description is too large", answers.get(0).message());
    assertTrue(!sim.state.keys.containsKey(JobEntries.jobKey(large.id())));
    storeInProductionsLayout(sim, large, sim.nodes.get("n1"), new BitSet());
    node.event(() -> node.core.submit(large, answers::add));
    sim.run(12_000);
    assertEquals(200, answers.get(1).status());
    assertEquals(large.id(), answers.get(1).id());
  }

  private static JobSpec withLongNames(JobSpec spec) {
    List<String> types = new ArrayList<>(List.of("t8"));
    for (int i = 0; i < 9; i++) {
      types.add("t".repeat(199) + i);
    }
    return new JobSpec(
        spec.id(),
        spec.jobClass(),
        spec.team(),
        spec.priority(),
        spec.tasks(),
        spec.cpus(),
        spec.gpus(),
        spec.memoryGb(),
        spec.image(),
        spec.imageGb(),
        types,
        spec.zone(),
        spec.oneZone(),
        spec.spread(),
        spec.spot(),
        spec.estimateS(),
        spec.checkpointS(),
        spec.saveS(),
        spec.deadlineS(),
        spec.kind());
  }

  /**
   * All controllers end with hundreds of machines, and few changes are allowed. One change for
   * every 40 ms of arrivals outgrew what workers wait for: each turned to the next controller and
   * was adopted there as late, for a minute; and the cloud duty waited behind it.
   */
  @Test
  void machinesChangeOwnerOnceThoughFewChangesAreAllowed() {
    Simulation.StateLimits few = new Simulation.StateLimits(2_048, 8, 12);
    Simulation sim = new Simulation(320, few);
    sim.addMachines(500);
    sim.run(25_000);
    sim.state.limitTo(few);
    long before = sim.state.revision;
    sim.crashAll(2_000);
    sim.run(sim.now + 12_000);
    Set<String> kept = new HashSet<>();
    for (SimulatedWorker worker : sim.workers.values()) {
      if (worker.session == 1) {
        kept.add(worker.id);
      }
    }
    assertTrue(kept.size() > sim.workers.size() * 9 / 10, "kept: " + kept.size());
    assertTrue(sim.state.keys.containsKey(Store.DUTY), "somebody rents and returns machines again");
    int adopted = 0;
    for (Effects.Item item : sim.state.changes) {
      if (item.version() <= before) {
        continue;
      }
      if (item.value() instanceof GroupRec group) {
        adopted += group.machines().size();
      } else if (item.value() instanceof MachineRec) {
        adopted++;
      }
    }
    assertTrue(adopted < sim.workers.size() * 5 / 4, "adopted: " + adopted);
  }
}
