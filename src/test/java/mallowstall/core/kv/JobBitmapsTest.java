package mallowstall.core.kv;

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
import mallowstall.core.kernel.Condition;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.model.CompletionBitsEntry;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.CoreSettingsBuilder;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobOutcome;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.JobSpecBuilder;
import mallowstall.core.model.StoredEntry;
import mallowstall.state.StoredEntries;
import org.junit.jupiter.api.Test;

/** What is stored for jobs and their done bits, in both layouts and on the way between them. */
class JobBitmapsTest {
  private static final String JOB = "wk-000001";
  private static final int MANY_TASKS = 100_000;

  private final Map<String, StoredValue> storedEntries = new HashMap<>();
  private boolean allVersionsReadPieces = true;
  private long version;

  private static int encodedSize(StoredEntry value) {
    return StoredEntries.encode(value).length;
  }

  private JobBitmaps entries(int valueBytes, int txnOps) {
    CoreSettings settings =
        CoreSettingsBuilder.settingsOf("n0")
            .peers(List.of("n1", "controller-with-a-long-name"))
            .stateLimits(txnOps, valueBytes)
            .build();
    return new JobBitmaps(
        settings, JobBitmapsTest::encodedSize, () -> allVersionsReadPieces, storedEntries::get);
  }

  private static JobSpec spec(int tasks, String name) {
    return JobSpecBuilder.batchJob(JOB).jobClass(name).tasks(tasks).cpus(1).image(name).build();
  }

  private static JobEntry accepted(int tasks) {
    return JobEntry.newlyAccepted(spec(tasks, "c"), 1_700_000_000_000L, "n0", 3);
  }

  private static BitSet bits(int... tasks) {
    BitSet out = new BitSet();
    for (int t : tasks) {
      out.set(t);
    }
    return out;
  }

  private static Set<Integer> pieceIndexes(BitSet done) {
    Set<Integer> out = new TreeSet<>();
    done.stream().forEach(t -> out.add(JobBitmaps.pieceIndex(t)));
    return out;
  }

  private void store(List<PutOperation> puts) {
    version++;
    for (PutOperation put : puts) {
      storedEntries.put(put.key(), new StoredValue(put.value(), version));
    }
  }

  private JobEntry entry() {
    return (JobEntry) storedEntries.get(JobBitmaps.jobKey(JOB)).value();
  }

  private long entryVersion() {
    return storedEntries.get(JobBitmaps.jobKey(JOB)).modRevision();
  }

  /** Carries a change out as the state service would. */
  private void apply(JobBitmaps.Write write, int valueBytes, int txnOps) {
    assertTrue(write.puts().size() <= txnOps, "operations: " + write.puts().size());
    assertTrue(write.conditions().size() <= 4 * txnOps, "conditions: " + write.conditions().size());
    for (PutOperation put : write.puts()) {
      assertTrue(
          encodedSize(put.value()) <= valueBytes, put.key() + " has " + encodedSize(put.value()));
    }
    for (Condition condition : write.conditions()) {
      StoredValue held = storedEntries.get(condition.key());
      assertEquals(held == null ? 0 : held.modRevision(), condition.modRevision(), condition.key());
    }
    store(write.puts());
  }

  /** All bits of the job as the version in production stores them. */
  private void storeInFirstLayout(BitSet done) {
    JobEntry job = accepted(MANY_TASKS);
    int chunk = Constants.BITS_PER_CHUNK;
    store(
        List.of(
            new PutOperation(
                JobBitmaps.jobKey(JOB),
                job.withCompletion(
                    done.get(0, chunk).toByteArray(), done.cardinality(), JobOutcome.NONE),
                0)));
    for (int c = 1; c * chunk < done.length(); c++) {
      CompletionBitsEntry bits =
          new CompletionBitsEntry(done.get(c * chunk, (c + 1) * chunk).toByteArray());
      store(List.of(new PutOperation(JobBitmaps.chunkKey(JOB, c), bits, 0)));
    }
  }

  @Test
  void jobThatFitsUsesFirstLayout() {
    for (int tasks : new int[] {1, 2_048, MANY_TASKS}) {
      JobBitmaps entries = entries(8_192, 24);
      JobEntry job = accepted(tasks);
      BitSet done = bits(0, tasks / 2, tasks - 1);
      JobBitmaps.Write write = entries.writeRecordingCompletions(job, 0, done, pieceIndexes(done));
      PutOperation last = write.puts().get(write.puts().size() - 1);
      assertEquals(JobBitmaps.jobKey(JOB), last.key());
      int first = Math.min(tasks, Constants.BITS_PER_CHUNK);
      assertArrayEquals(
          done.get(0, first).toByteArray(), ((JobEntry) last.value()).completionBits());
      for (PutOperation put : write.puts().subList(0, write.puts().size() - 1)) {
        assertTrue(put.key().matches("c/b/wk-000001/[0-9]+"), put.key());
      }
      assertEquals(tasks == MANY_TASKS ? 3 : 1, write.puts().size());
    }
  }

  @Test
  void firstLayoutIsWrittenUntilAllVersionsReadPieces() {
    allVersionsReadPieces = false;
    JobBitmaps entries = entries(2_048, 8);
    BitSet done = bits(20_000, 99_999);
    List<PutOperation> puts =
        entries.writeRecordingCompletions(accepted(MANY_TASKS), 0, done, pieceIndexes(done)).puts();
    assertEquals(
        List.of(JobBitmaps.chunkKey(JOB, 1), JobBitmaps.chunkKey(JOB, 6), JobBitmaps.jobKey(JOB)),
        puts.stream().map(PutOperation::key).toList());
  }

  /** Every kind of change takes the bits along, within the limits, and loses none. */
  @Test
  void oversizedFirstLayoutEntryMigratesOnNextWrite() {
    for (int txnOps : new int[] {2, 3, 8, 24}) {
      BitSet done = new BitSet();
      done.set(0, 40_000);
      done.clear(777);
      storeInFirstLayout(done);
      JobBitmaps entries = entries(2_048, txnOps);
      assertEquals(done, entries.completedTasks(entry()));
      assertTrue(entries.needsLayoutMigration(entry()));
      JobBitmaps.Write claim =
          entries.writePreservingBits(entry().withLeader("n1", 9), entryVersion());
      apply(claim, 2_048, txnOps);
      assertEquals("n1", entry().leader());
      assertEquals(done, entries.completedTasks(entry()));
      while (entries.needsLayoutMigration(entry())) {
        apply(
            entries.writeRecordingCompletions(entry(), entryVersion(), done, Set.of()),
            2_048,
            txnOps);
        assertEquals(done, entries.completedTasks(entry()));
      }
      assertEquals(0, entry().completionBits().length);
      assertFalse(entries.isRecordedCompleted(entry(), 777));
      assertTrue(
          entries.isRecordedCompleted(entry(), 778)
              && entries.isRecordedCompleted(entry(), 39_999));
      assertFalse(entries.isRecordedCompleted(entry(), 40_000));
      assertEquals(done.cardinality(), entry().completedTaskCount());
      storedEntries.clear();
    }
  }

  /** All bits at once, with few operations: count and end wait for the last of them. */
  @Test
  void oversizedWriteIsSplitIntoTransactions() {
    JobBitmaps entries = entries(2_048, 8);
    store(List.of(new PutOperation(JobBitmaps.jobKey(JOB), accepted(MANY_TASKS), 0)));
    BitSet done = new BitSet();
    done.set(0, MANY_TASKS);
    Set<Integer> dirty = pieceIndexes(done);
    int writes = 0;
    while (!dirty.isEmpty()) {
      JobBitmaps.Write write =
          entries.writeRecordingCompletions(entry(), entryVersion(), done, dirty);
      apply(write, 2_048, 8);
      dirty.removeAll(write.pieces());
      writes++;
      assertEquals(dirty.isEmpty() ? JobOutcome.DONE : JobOutcome.NONE, entry().outcome());
      assertEquals(dirty.isEmpty() ? MANY_TASKS : 0, entry().completedTaskCount());
    }
    assertEquals(2, writes);
    assertEquals(done, entries.completedTasks(entry()));
  }

  /** A piece that grew since it was seen here would be put back by somebody who claims the job. */
  @Test
  void concurrentlyChangedPiecesAreNotOverwritten() {
    BitSet done = bits(1, 2, 9_000);
    storeInFirstLayout(done);
    JobBitmaps entries = entries(2_048, 8);
    JobBitmaps.Write claim =
        entries.writePreservingBits(entry().withLeader("n1", 9), entryVersion());
    assertEquals(
        List.of(JobBitmaps.jobKey(JOB), JobBitmaps.pieceKey(JOB, 0), JobBitmaps.pieceKey(JOB, 1)),
        claim.conditions().stream().map(Condition::key).toList());
  }

  /** A controller was set back to the version in production: it must find all bits. */
  @Test
  void piecesMergeBackIntoFirstLayout() {
    JobBitmaps entries = entries(2_048, 24);
    store(List.of(new PutOperation(JobBitmaps.jobKey(JOB), accepted(MANY_TASKS), 0)));
    BitSet done = bits(5, 20_000, 99_000);
    store(
        entries
            .writeRecordingCompletions(entry(), entryVersion(), done, pieceIndexes(done))
            .puts());
    assertEquals(0, entry().completionBits().length);
    assertFalse(entries.needsLayoutMigration(entry()));
    allVersionsReadPieces = false;
    assertTrue(entries.needsLayoutMigration(entry()));
    store(entries.writeRecordingCompletions(entry(), entryVersion(), done, Set.of()).puts());
    assertFalse(entries.needsLayoutMigration(entry()));
    storedEntries.keySet().removeIf(key -> key.contains("/p"));
    assertEquals(done, entries.completedTasks(entry()));
  }

  /** No value grows beyond the limit that the job was accepted under. */
  @Test
  void acceptedJobAlwaysFitsLimits() {
    JobBitmaps entries = entries(2_048, 8);
    for (int tasks : new int[] {1, 2_048, 2_049, 16_384, MANY_TASKS}) {
      int longest = 0;
      for (int n = 1; n < 900; n++) {
        JobSpec spec = spec(tasks, "x".repeat(n));
        if (entries.fitsAtLargest(JobEntry.newlyAccepted(spec, 1_700_000_000_000L, "n0", 3))) {
          longest = n;
        }
      }
      assertTrue(longest > 200, "names of " + longest);
      JobSpec spec = spec(tasks, "x".repeat(longest));
      BitSet done = new BitSet();
      done.set(0, tasks);
      JobEntry old =
          new JobEntry(
              spec,
              1_700_000_000_000L,
              "controller-with-a-long-name",
              Long.MAX_VALUE,
              Long.MAX_VALUE - 1,
              new byte[0],
              0,
              tasks,
              JobOutcome.NONE);
      List<PutOperation> puts = entries.writeRecordingCompletions(old, 0, done, List.of(0)).puts();
      for (PutOperation put : puts) {
        assertTrue(encodedSize(put.value()) <= 2_048, put.key());
      }
    }
    assertFalse(
        entries.fitsAtLargest(JobEntry.newlyAccepted(spec(10, "x".repeat(1_000)), 0, "n0", 3)));
  }

  /** What is reported of a job that is over never changes, also when its bits move. */
  @Test
  void cancelledJobKeepsDoneCount() {
    BitSet done = new BitSet();
    done.set(0, 16_000);
    storeInFirstLayout(done);
    JobEntry cancelled = entry().withOutcome(JobOutcome.CANCELLED);
    store(List.of(new PutOperation(JobBitmaps.jobKey(JOB), cancelled, 0)));
    BitSet more = (BitSet) done.clone();
    more.set(16_001);
    JobBitmaps entries = entries(2_048, 8);
    apply(entries.writeRecordingCompletions(entry(), entryVersion(), more, Set.of()), 2_048, 8);
    assertEquals(16_000, entry().completedTaskCount());
    assertEquals(JobOutcome.CANCELLED, entry().outcome());
  }
}
