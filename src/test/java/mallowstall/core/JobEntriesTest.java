package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import mallowstall.Constants;
import mallowstall.core.Effects.Cond;
import mallowstall.core.Effects.Put;
import mallowstall.core.Model.BitsRec;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.Final;
import mallowstall.core.Model.JobKind;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.Priority;
import org.junit.jupiter.api.Test;

/** What is stored for jobs and their done bits, in both layouts and on the way between them. */
class JobEntriesTest {
  private static final String JOB = "wk-000001";
  private static final int MANY = 100_000;

  private final Map<String, Store.Held> stored = new HashMap<>();
  private boolean allReadPieces = true;
  private long version;

  private JobEntries entries(int valueBytes, int txnOps) {
    CoreSettings settings =
        new CoreSettings(
            "n0",
            List.of("n1", "controller-with-a-long-name"),
            Map.of(),
            Map.of(),
            1_000,
            10_000,
            35_000,
            25,
            300,
            120,
            txnOps,
            valueBytes,
            5,
            2_000,
            Map.of(),
            ProgramVersion.CURRENT);
    return new JobEntries(settings, Simulation::size, () -> allReadPieces, stored::get);
  }

  private static JobSpec spec(int tasks, String name) {
    return new JobSpec(
        JOB,
        name,
        "free",
        Priority.NORMAL,
        tasks,
        1,
        0,
        1,
        name,
        1,
        null,
        null,
        false,
        false,
        true,
        4,
        0,
        0,
        60.0,
        JobKind.BATCH);
  }

  private static JobRec accepted(int tasks) {
    return JobRec.accepted(spec(tasks, "c"), 1_700_000_000_000L, "n0", 3);
  }

  private static BitSet bits(int... tasks) {
    BitSet out = new BitSet();
    for (int t : tasks) {
      out.set(t);
    }
    return out;
  }

  private static Set<Integer> pieces(BitSet done) {
    Set<Integer> out = new TreeSet<>();
    done.stream().forEach(t -> out.add(JobEntries.pieceOf(t)));
    return out;
  }

  private void store(List<Put> puts) {
    version++;
    for (Put put : puts) {
      stored.put(put.key(), new Store.Held(put.value(), version));
    }
  }

  private JobRec entry() {
    return (JobRec) stored.get(JobEntries.jobKey(JOB)).value();
  }

  private long entryVersion() {
    return stored.get(JobEntries.jobKey(JOB)).version();
  }

  /** Carries a change out as the state service would. */
  private void apply(JobEntries.Write write, int valueBytes, int txnOps) {
    assertTrue(write.puts().size() <= txnOps, "operations: " + write.puts().size());
    assertTrue(write.when().size() <= 4 * txnOps, "conditions: " + write.when().size());
    for (Put put : write.puts()) {
      assertTrue(
          Simulation.size(put.value()) <= valueBytes,
          put.key() + " has " + Simulation.size(put.value()));
    }
    for (Cond condition : write.when()) {
      Store.Held held = stored.get(condition.key());
      assertEquals(held == null ? 0 : held.version(), condition.version(), condition.key());
    }
    store(write.puts());
  }

  /** All bits of the job as the version in production stores them. */
  private void storeInProductionsLayout(BitSet done) {
    JobRec job = accepted(MANY);
    int chunk = Constants.BITS_PER_CHUNK;
    store(
        List.of(
            new Put(
                JobEntries.jobKey(JOB),
                job.withDone(done.get(0, chunk).toByteArray(), done.cardinality(), Final.NONE),
                0)));
    for (int c = 1; c * chunk < done.length(); c++) {
      BitsRec bits = new BitsRec(done.get(c * chunk, (c + 1) * chunk).toByteArray());
      store(List.of(new Put(JobEntries.chunkKey(JOB, c), bits, 0)));
    }
  }

  @Test
  void aJobThatFitsIsWrittenAsInProduction() {
    for (int tasks : new int[] {1, 2_048, MANY}) {
      JobEntries entries = entries(8_192, 24);
      JobRec job = accepted(tasks);
      BitSet done = bits(0, tasks / 2, tasks - 1);
      JobEntries.Write write = entries.recording(job, 0, done, pieces(done));
      Put last = write.puts().get(write.puts().size() - 1);
      assertEquals(JobEntries.jobKey(JOB), last.key());
      int first = Math.min(tasks, Constants.BITS_PER_CHUNK);
      assertArrayEquals(done.get(0, first).toByteArray(), ((JobRec) last.value()).done());
      for (Put put : write.puts().subList(0, write.puts().size() - 1)) {
        assertTrue(put.key().matches("c/b/wk-000001/[0-9]+"), put.key());
      }
      assertEquals(tasks == MANY ? 3 : 1, write.puts().size());
    }
  }

  @Test
  void whileAControllerMayReadOnlyTheFirstLayoutItIsWritten() {
    allReadPieces = false;
    JobEntries entries = entries(2_048, 8);
    BitSet done = bits(20_000, 99_999);
    List<Put> puts = entries.recording(accepted(MANY), 0, done, pieces(done)).puts();
    assertEquals(
        List.of(JobEntries.chunkKey(JOB, 1), JobEntries.chunkKey(JOB, 6), JobEntries.jobKey(JOB)),
        puts.stream().map(Put::key).toList());
  }

  /** Every kind of change takes the bits along, within the limits, and loses none. */
  @Test
  void anEntryOfProductionsThatNoLongerFitsMovesWithItsNextChange() {
    for (int txnOps : new int[] {2, 3, 8, 24}) {
      BitSet done = new BitSet();
      done.set(0, 40_000);
      done.clear(777);
      storeInProductionsLayout(done);
      JobEntries entries = entries(2_048, txnOps);
      assertEquals(done, entries.done(entry()));
      assertTrue(entries.outOfPlace(entry()));
      JobEntries.Write claim = entries.keepingBits(entry().withHolder("n1", 9), entryVersion());
      apply(claim, 2_048, txnOps);
      assertEquals("n1", entry().holder());
      assertEquals(done, entries.done(entry()));
      while (entries.outOfPlace(entry())) {
        apply(entries.recording(entry(), entryVersion(), done, Set.of()), 2_048, txnOps);
        assertEquals(done, entries.done(entry()));
      }
      assertEquals(0, entry().done().length);
      assertFalse(entries.recorded(entry(), 777));
      assertTrue(entries.recorded(entry(), 778) && entries.recorded(entry(), 39_999));
      assertFalse(entries.recorded(entry(), 40_000));
      assertEquals(done.cardinality(), entry().doneCount());
      stored.clear();
    }
  }

  /** All bits at once, with few operations: count and end wait for the last of them. */
  @Test
  void whatDoesNotFitOneTransactionIsWrittenInSeveral() {
    JobEntries entries = entries(2_048, 8);
    store(List.of(new Put(JobEntries.jobKey(JOB), accepted(MANY), 0)));
    BitSet done = new BitSet();
    done.set(0, MANY);
    Set<Integer> dirty = pieces(done);
    int writes = 0;
    while (!dirty.isEmpty()) {
      JobEntries.Write write = entries.recording(entry(), entryVersion(), done, dirty);
      apply(write, 2_048, 8);
      dirty.removeAll(write.pieces());
      writes++;
      assertEquals(dirty.isEmpty() ? Final.DONE : Final.NONE, entry().fin());
      assertEquals(dirty.isEmpty() ? MANY : 0, entry().doneCount());
    }
    assertEquals(2, writes);
    assertEquals(done, entries.done(entry()));
  }

  /** A piece that grew since it was seen here would be put back by somebody who claims the job. */
  @Test
  void piecesThatChangedMeanwhileAreNotOverwritten() {
    BitSet done = bits(1, 2, 9_000);
    storeInProductionsLayout(done);
    JobEntries entries = entries(2_048, 8);
    JobEntries.Write claim = entries.keepingBits(entry().withHolder("n1", 9), entryVersion());
    assertEquals(
        List.of(JobEntries.jobKey(JOB), JobEntries.pieceKey(JOB, 0), JobEntries.pieceKey(JOB, 1)),
        claim.when().stream().map(Cond::key).toList());
  }

  /** A controller was set back to the version in production: it must find all bits. */
  @Test
  void bitsInPiecesComeBackIntoTheFirstLayout() {
    JobEntries entries = entries(2_048, 24);
    store(List.of(new Put(JobEntries.jobKey(JOB), accepted(MANY), 0)));
    BitSet done = bits(5, 20_000, 99_000);
    store(entries.recording(entry(), entryVersion(), done, pieces(done)).puts());
    assertEquals(0, entry().done().length);
    assertFalse(entries.outOfPlace(entry()));
    allReadPieces = false;
    assertTrue(entries.outOfPlace(entry()));
    store(entries.recording(entry(), entryVersion(), done, Set.of()).puts());
    assertFalse(entries.outOfPlace(entry()));
    stored.keySet().removeIf(key -> key.contains("/p"));
    assertEquals(done, entries.done(entry()));
  }

  /** No value grows beyond the limit that the job was accepted under. */
  @Test
  void whatIsAcceptedFitsWhateverBecomesOfIt() {
    JobEntries entries = entries(2_048, 8);
    for (int tasks : new int[] {1, 2_048, 2_049, 16_384, MANY}) {
      int longest = 0;
      for (int n = 1; n < 900; n++) {
        JobSpec spec = spec(tasks, "x".repeat(n));
        if (entries.fits(JobRec.accepted(spec, 1_700_000_000_000L, "n0", 3))) {
          longest = n;
        }
      }
      assertTrue(longest > 200, "names of " + longest);
      JobSpec spec = spec(tasks, "x".repeat(longest));
      BitSet done = new BitSet();
      done.set(0, tasks);
      JobRec old =
          new JobRec(
              spec,
              1_700_000_000_000L,
              "controller-with-a-long-name",
              Long.MAX_VALUE,
              Long.MAX_VALUE - 1,
              new byte[0],
              0,
              tasks,
              Final.NONE);
      List<Put> puts = entries.recording(old, 0, done, List.of(0)).puts();
      for (Put put : puts) {
        assertTrue(Simulation.size(put.value()) <= 2_048, put.key());
      }
    }
    assertFalse(entries.fits(JobRec.accepted(spec(10, "x".repeat(1_000)), 0, "n0", 3)));
  }

  /** What is told of a job that is over never changes, also when its bits move. */
  @Test
  void theCountOfACancelledJobStays() {
    BitSet done = new BitSet();
    done.set(0, 16_000);
    storeInProductionsLayout(done);
    JobRec cancelled = entry().withFinal(Final.CANCELLED);
    store(List.of(new Put(JobEntries.jobKey(JOB), cancelled, 0)));
    BitSet more = (BitSet) done.clone();
    more.set(16_001);
    JobEntries entries = entries(2_048, 8);
    apply(entries.recording(entry(), entryVersion(), more, Set.of()), 2_048, 8);
    assertEquals(16_000, entry().doneCount());
    assertEquals(Final.CANCELLED, entry().fin());
  }
}
