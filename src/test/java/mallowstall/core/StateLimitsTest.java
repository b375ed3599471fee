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
  private static final Sim.StateLimits BEFORE = new Sim.StateLimits(8_192, 24, 120);
  private static final Sim.StateLimits AFTER = new Sim.StateLimits(2_048, 8, 40);
  private static final String TOO_LARGE = "limits, too large";
  private static final String TOO_MANY = "limits, too many";

  private static JobSpec many(Sim s, String id, String team) {
    return s.job(id, MANY, 4, Priority.NORMAL, team, false, false, true, null);
  }

  private static BitSet firstTasks(int count) {
    BitSet out = new BitSet();
    out.set(0, count);
    return out;
  }

  /** Stores the job as the version in production has it, held by this controller. */
  private static void storeInProductionsLayout(Sim s, JobSpec spec, Sim.Node holder, BitSet done) {
    int chunk = Constants.BITS_PER_CHUNK;
    JobRec rec =
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
    long revision = ++s.state.revision;
    for (int c = 1; c * chunk < done.length(); c++) {
      BitsRec bits = new BitsRec(done.get(c * chunk, (c + 1) * chunk).toByteArray());
      s.state.set(JobEntries.chunkKey(spec.id(), c), bits, revision, 0);
    }
    s.state.set(JobEntries.jobKey(spec.id()), rec, revision, 0);
    s.rules.submitted(spec);
    s.jobs.add(spec.id());
  }

  /** From now on compares what can be read of these jobs after each change with before. */
  private static void bitsOnlyGrow(Sim s, String... jobs) {
    Map<String, BitSet> before = new HashMap<>();
    for (String id : jobs) before.put(id, s.doneBits(id));
    s.state.changed =
        t -> {
          for (String id : jobs) {
            if (t.puts().stream().noneMatch(p -> p.key().contains(id))) {
              continue;
            }
            BitSet now = s.doneBits(id);
            BitSet lost = before.put(id, now);
            lost.andNot(now);
            if (!lost.isEmpty()) {
              s.rules.broken.add(s.now + " lost: " + id + " " + lost);
            }
          }
        };
  }

  /** Changes of the controller's session entry since then, its end among them. */
  private static long sessionChanges(Sim s, String node, long revision) {
    return s.state.changes.stream()
        .filter(i -> i.version() > revision && i.key().equals(Store.SESSIONS + node))
        .count();
  }

  private static long asked(Sim s, int from, String key) {
    return s.state.asked.stream()
        .skip(from)
        .filter(t -> t.puts().stream().anyMatch(p -> p.key().equals(key)))
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
    Sim s = new Sim(300);
    s.run(100);
    assertEquals(Code.OK, s.state.transact(counters(200, 1)).code(), "without limits");
    assertEquals(Code.OK, s.state.transact(bits(9_000)).code(), "without limits");
    s.state.limitTo(AFTER);
    long revision = s.state.revision;
    // {"done":""} and four characters for each three bytes
    assertEquals(2_047, Sim.size(bits(1_527).puts().get(0).value()));
    assertEquals(2_051, Sim.size(bits(1_530).puts().get(0).value()));
    assertEquals(Code.MALFORMED, s.state.transact(bits(1_530)).code());
    assertEquals(Code.MALFORMED, s.state.transact(counters(9, 2)).code());
    List<Cond> conditions = new ArrayList<>();
    for (int i = 0; i < 33; i++) {
      conditions.add(new Cond("c/y/" + i, 0));
    }
    Txn manyConditions = new Txn(conditions, counters(1, 2).puts(), List.of());
    assertEquals(Code.MALFORMED, s.state.transact(manyConditions).code());
    assertEquals(revision, s.state.revision, "nothing was changed");
    assertEquals(3, s.struck.get(TOO_LARGE));
    assertEquals(Code.OK, s.state.transact(bits(1_527)).code());
    for (int i = 0; i < 4; i++) {
      assertEquals(Code.OK, s.state.transact(counters(8, 3)).code());
    }
    assertEquals(Code.REFUSED, s.state.transact(counters(8, 4)).code(), "40 in a second");
    assertEquals(1, s.struck.get(TOO_MANY));
    s.now += 100; // room for four more
    assertEquals(Code.OK, s.state.transact(counters(4, 5)).code());
    assertEquals(Code.REFUSED, s.state.transact(counters(8, 6)).code());
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
    Sim s = new Sim(301 + after, AFTER);
    s.state.limitTo(BEFORE);
    for (int i = 0; i < 300; i++) {
      s.machine("t8", i % 2 == 0 ? "a" : "b", false, 0);
    }
    s.run(20_000);
    s.submit(many(s, "wk-000001", "free"));
    s.submit(many(s, "wk-000002", "tight"));
    s.run(35_000);
    Sim.Node first = s.nodes.get(s.entry("wk-000001").holder());
    BitSet done = firstTasks(30_000);
    done.clear(5_000);
    done.clear(20_000);
    storeInProductionsLayout(s, many(s, "wk-000003", "free"), first, done);
    bitsOnlyGrow(s, "wk-000001", "wk-000002", "wk-000003");
    long revision = s.state.revision;
    first.crash(40_000);
    s.at(after, () -> s.state.limitTo(AFTER));
    s.run(65_000);
    for (Sim.Node n : s.nodes.values())
      if (n != first) {
        assertEquals(0, sessionChanges(s, n.name, revision), n.name);
      }
    Map<String, Integer> counts = new HashMap<>();
    for (String id : List.of("wk-000001", "wk-000002", "wk-000003")) {
      JobRec rec = s.entry(id);
      counts.put(id, rec.doneCount());
      assertNotEquals(first.name, rec.holder(), id);
      assertEquals(rec.doneCount(), s.doneBits(id).cardinality(), id);
      assertEquals(0, rec.done().length, id + " has the compact layout");
    }
    assertTrue(s.doneBits("wk-000003").cardinality() >= done.cardinality());
    s.run(76_000);
    Sim.Node second = s.nodes.get(s.entry("wk-000003").holder());
    second.crash(20_000);
    s.run(120_000);
    for (String id : counts.keySet()) {
      int now = s.doneBits(id).cardinality();
      assertTrue(now > counts.get(id), id + ": " + now + " after " + counts.get(id));
    }
    for (Sim.Worker w : s.workers.values()) assertEquals(1, w.session, w.id);
    assertNull(s.struck.get(TOO_LARGE));
    assertEquals(List.of(), s.rules.broken);
  }

  /** The transaction that cancels takes the bits along that its entry has no room for. */
  @Test
  void aCancellationOfAnEntryThatNoLongerFitsKeepsItsBits() {
    Sim s = new Sim(310, AFTER);
    s.run(10_000);
    JobSpec spec = many(s, "wk-000001", "free");
    storeInProductionsLayout(s, spec, s.nodes.get("n1"), firstTasks(30_000));
    bitsOnlyGrow(s, "wk-000001");
    s.state.limitTo(AFTER);
    s.cancel("wk-000001");
    s.run(20_000);
    assertEquals("cancelled", s.rules.lastTold("wk-000001"));
    JobRec rec = s.entry("wk-000001");
    assertEquals(Final.CANCELLED, rec.fin());
    assertEquals(0, rec.done().length);
    assertTrue(s.doneBits("wk-000001").cardinality() >= 30_000);
    Txn cancelling =
        s.state.asked.stream()
            .filter(t -> t.puts().stream().anyMatch(p -> isCancelled(p.value())))
            .findFirst()
            .orElseThrow();
    assertEquals(3, cancelling.puts().size(), "two pieces and the entry");
    assertNull(s.struck.get(TOO_LARGE));
    assertEquals(List.of(), s.rules.broken);
  }

  /** An entry may be known before its pieces: what these say was done isn't started again. */
  @Test
  void bitsThatAreLearntAfterTheirEntryCount() {
    Sim s = new Sim(314, AFTER);
    s.run(10_000);
    JobSpec spec = s.job("wk-000001", 20_010, 4, Priority.NORMAL, "free", false, false, true, null);
    Sim.Node holder = s.nodes.get("n1");
    long incarnation = holder.core.incarnation();
    JobRec rec = JobRec.accepted(spec, 1_700_000_000_000L, holder.name, incarnation);
    s.rules.submitted(spec);
    s.jobs.add(spec.id());
    for (int task = 0; task < 20_000; task++) {
      s.rules.left("", spec.id(), task, true);
    }
    int starts = s.rules.starts;
    long revision = ++s.state.revision;
    JobRec partly = rec.withDone(new byte[0], 20_000, Final.NONE);
    s.state.set(JobEntries.jobKey(spec.id()), partly, revision, 0);
    BitSet done = firstTasks(20_000);
    int piece = Constants.BITS_PER_PIECE;
    for (int p = 0; p * piece < 20_000; p++) {
      BitsRec bits = new BitsRec(done.get(p * piece, (p + 1) * piece).toByteArray());
      s.state.set(JobEntries.pieceKey(spec.id(), p), bits, revision, 0);
    }
    s.run(60_000);
    assertEquals(Final.DONE, s.entry(spec.id()).fin());
    assertEquals(10, s.rules.starts - starts);
    assertEquals(List.of(), s.rules.broken);
  }

  private static boolean isCancelled(Entry value) {
    return value instanceof JobRec j && j.fin() == Final.CANCELLED;
  }

  /**
   * Nobody knew that the limits fall: entries that have become too large are tried ever more
   * seldom, and hold up neither sessions nor other jobs of the same team.
   */
  @Test
  void whatIsCalledTooLargeIsTriedSeldomAndHoldsUpNothing() {
    Sim s = new Sim(311);
    s.run(10_000);
    Sim.Node holder = s.nodes.get("n1");
    for (String id : List.of("wk-000001", "wk-000002")) {
      JobSpec spec = many(s, id, id.equals("wk-000001") ? "free" : "tight");
      storeInProductionsLayout(s, spec, holder, firstTasks(30_000));
    }
    s.state.limitTo(AFTER);
    int from = s.state.asked.size();
    long revision = s.state.revision;
    s.run(15_000);
    for (int i = 3; i < 6; i++) {
      s.submit(s.job("wk-00000" + i, 6, 2, Priority.HIGH, "tight", false, false, true, null));
    }
    s.run(70_000);
    for (int i = 3; i < 6; i++) {
      assertEquals("done", s.rules.lastTold("wk-00000" + i));
    }
    for (String id : List.of("wk-000001", "wk-000002")) {
      long tries = asked(s, from, JobEntries.jobKey(id));
      assertTrue(tries >= 2 && tries <= 12, id + " was tried " + tries + " times");
    }
    // and once more when its holder ends and the others try to claim them
    holder.crash(100_000);
    from = s.state.asked.size();
    s.run(140_000);
    for (String id : List.of("wk-000001", "wk-000002")) {
      long tries = asked(s, from, JobEntries.jobKey(id));
      assertTrue(tries >= 2 && tries <= 24, id + " was claimed " + tries + " times");
    }
    for (Sim.Node n : s.nodes.values())
      if (n != holder) {
        assertEquals(0, sessionChanges(s, n.name, revision), n.name);
      }
    assertTrue(s.struck.get(TOO_LARGE) > 0);
    assertEquals(List.of(), s.rules.broken);
  }

  /** The same with a rate that leaves no change at all: what is refused isn't asked for hotly. */
  @Test
  void aRateThatIsExceededIsNotTriedHotly() {
    Sim s = new Sim(312);
    s.run(10_000);
    List<String> ids = List.of("wk-000001", "wk-000002", "wk-000003", "wk-000004");
    for (String id : ids)
      s.submit(s.job(id, 4, 2, Priority.NORMAL, "free", false, false, true, null));
    s.run(11_500);
    s.state.limitTo(new Sim.StateLimits(8_192, 24, 0));
    int from = s.state.asked.size();
    long revision = s.state.revision;
    s.run(41_500);
    for (String id : ids) {
      long tries = asked(s, from, JobEntries.jobKey(id));
      assertTrue(tries >= 4 && tries <= 16, id + " was tried " + tries + " times in 30 s");
    }
    assertTrue(s.struck.get(TOO_MANY) > 0);
    for (Sim.Node n : s.nodes.values()) assertEquals(0, sessionChanges(s, n.name, revision));
    s.state.limitTo(BEFORE);
    s.run(51_500);
    for (String id : ids) assertEquals("done", s.rules.lastTold(id), id);
    assertEquals(List.of(), s.rules.broken);
  }

  /** A description that can't be kept is refused at once, but not one that stands already. */
  @Test
  void aDescriptionThatIsTooLargeIsRefusedUnlessItWasAccepted() {
    Sim s = new Sim(313, AFTER);
    s.run(10_000);
    s.state.limitTo(AFTER);
    JobSpec large =
        withLongNames(s.job("wk-000001", 4, 1, Priority.LOW, "free", false, false, true, null));
    List<UserAnswer> answers = new ArrayList<>();
    Sim.Node n = s.nodes.get("n0");
    n.event(() -> n.core.submit(large, answers::add));
    s.run(11_000);
    assertEquals(400, answers.get(0).status());
    assertEquals("the description is too large", answers.get(0).message());
    assertTrue(!s.state.keys.containsKey(JobEntries.jobKey(large.id())));
    storeInProductionsLayout(s, large, s.nodes.get("n1"), new BitSet());
    n.event(() -> n.core.submit(large, answers::add));
    s.run(12_000);
    assertEquals(200, answers.get(1).status());
    assertEquals(large.id(), answers.get(1).id());
  }

  private static JobSpec withLongNames(JobSpec j) {
    List<String> types = new ArrayList<>(List.of("t8"));
    for (int i = 0; i < 9; i++) {
      types.add("t".repeat(199) + i);
    }
    return new JobSpec(
        j.id(),
        j.jobClass(),
        j.team(),
        j.priority(),
        j.tasks(),
        j.cpus(),
        j.gpus(),
        j.memoryGb(),
        j.image(),
        j.imageGb(),
        types,
        j.zone(),
        j.oneZone(),
        j.spread(),
        j.spot(),
        j.estimateS(),
        j.checkpointS(),
        j.saveS(),
        j.deadlineS(),
        j.kind());
  }

  /**
   * All controllers end with hundreds of machines, and few changes are allowed. One change for
   * every 40 ms of arrivals outgrew what workers wait for: each turned to the next controller and
   * was adopted there as late, for a minute; and the cloud duty waited behind it.
   */
  @Test
  void machinesChangeOwnerOnceThoughFewChangesAreAllowed() {
    Sim.StateLimits few = new Sim.StateLimits(2_048, 8, 12);
    Sim s = new Sim(320, few);
    for (int i = 0; i < 500; i++) {
      s.machine("t8", i % 2 == 0 ? "a" : "b", false, 0);
    }
    s.run(25_000);
    s.state.limitTo(few);
    long before = s.state.revision;
    for (Sim.Node n : s.nodes.values()) n.crash(2_000);
    s.run(s.now + 12_000);
    Set<String> kept = new HashSet<>();
    for (Sim.Worker w : s.workers.values())
      if (w.session == 1) {
        kept.add(w.id);
      }
    assertTrue(kept.size() > s.workers.size() * 9 / 10, "kept: " + kept.size());
    assertTrue(s.state.keys.containsKey(Store.DUTY), "somebody rents and returns machines again");
    int adopted = 0;
    for (Effects.Item i : s.state.changes) {
      if (i.version() <= before) {
        continue;
      }
      if (i.value() instanceof GroupRec g) {
        adopted += g.machines().size();
      } else if (i.value() instanceof MachineRec) {
        adopted++;
      }
    }
    assertTrue(adopted < s.workers.size() * 5 / 4, "adopted: " + adopted);
  }
}
