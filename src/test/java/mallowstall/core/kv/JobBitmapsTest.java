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
import mallowstall.core.kernel.Transaction;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what is stored for jobs and completion bits in both layouts and while a job migrates. */
class JobBitmapsTest {
  private static final String JOB = "wk-000001";
  private static final int MANY_TASKS = 100_000;

  private final Map<String, StoredValue> storedEntries = new HashMap<>();
  private boolean compactLayoutReadable = true;
  private long revision;

  private static int encodedSize(StoredEntry value) {
    return StoredEntries.encode(value).length;
  }

  private JobBitmaps bitmaps(int valueBytes, int txnOps) {
    CoreSettings settings =
        CoreSettingsBuilder.settingsOf("n0")
            .peers(List.of("n1", "controller-with-a-long-name"))
            .stateLimits(txnOps, valueBytes)
            .build();
    return new JobBitmaps(
        settings, JobBitmapsTest::encodedSize, () -> compactLayoutReadable, storedEntries::get);
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
    revision++;
    for (PutOperation put : puts) {
      storedEntries.put(put.key(), new StoredValue(put.value(), revision));
    }
  }

  private JobEntry entry() {
    return (JobEntry) storedEntries.get(JobBitmaps.jobKey(JOB)).value();
  }

  private long entryRevision() {
    return storedEntries.get(JobBitmaps.jobKey(JOB)).modRevision();
  }

  /** Checks and applies a write as the state service does. */
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

  /** Stores all completion bits of the job as the version in production does. */
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
      JobBitmaps bitmaps = bitmaps(8_192, 24);
      JobEntry job = accepted(tasks);
      BitSet done = bits(0, tasks / 2, tasks - 1);
      JobBitmaps.Write write = bitmaps.writeRecordingCompletions(job, 0, done, pieceIndexes(done));
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
  void firstLayoutIsWrittenUntilAllControllersReadCompactLayout() {
    compactLayoutReadable = false;
    JobBitmaps bitmaps = bitmaps(2_048, 8);
    BitSet done = bits(20_000, 99_999);
    List<PutOperation> puts =
        bitmaps.writeRecordingCompletions(accepted(MANY_TASKS), 0, done, pieceIndexes(done)).puts();
    assertEquals(
        List.of(JobBitmaps.chunkKey(JOB, 1), JobBitmaps.chunkKey(JOB, 6), JobBitmaps.jobKey(JOB)),
        puts.stream().map(PutOperation::key).toList());
  }

  /** Every kind of write migrates the bits within the limits and loses none. */
  @Test
  void oversizedFirstLayoutEntryMigratesOnNextWrite() {
    for (int txnOps : new int[] {2, 3, 8, 24}) {
      BitSet done = new BitSet();
      done.set(0, 40_000);
      done.clear(777);
      storeInFirstLayout(done);
      JobBitmaps bitmaps = bitmaps(2_048, txnOps);
      assertEquals(done, bitmaps.completedTasks(entry()));
      assertTrue(bitmaps.needsLayoutMigration(entry()));
      JobBitmaps.Write claim =
          bitmaps.writePreservingBits(entry().withLeader("n1", 9), entryRevision());
      apply(claim, 2_048, txnOps);
      assertEquals("n1", entry().leader());
      assertEquals(done, bitmaps.completedTasks(entry()));
      while (bitmaps.needsLayoutMigration(entry())) {
        apply(
            bitmaps.writeRecordingCompletions(entry(), entryRevision(), done, Set.of()),
            2_048,
            txnOps);
        assertEquals(done, bitmaps.completedTasks(entry()));
      }
      assertEquals(0, entry().completionBits().length);
      assertFalse(bitmaps.isRecordedCompleted(entry(), 777));
      assertTrue(
          bitmaps.isRecordedCompleted(entry(), 778)
              && bitmaps.isRecordedCompleted(entry(), 39_999));
      assertFalse(bitmaps.isRecordedCompleted(entry(), 40_000));
      assertEquals(done.cardinality(), entry().completedTaskCount());
      storedEntries.clear();
    }
  }

  /**
   * Records all bits with few operations per transaction. The count of completed tasks and the
   * outcome are written with the last transaction only.
   */
  @Test
  void oversizedWriteIsSplitIntoTransactions() {
    JobBitmaps bitmaps = bitmaps(2_048, 8);
    store(List.of(new PutOperation(JobBitmaps.jobKey(JOB), accepted(MANY_TASKS), 0)));
    BitSet done = new BitSet();
    done.set(0, MANY_TASKS);
    Set<Integer> dirty = pieceIndexes(done);
    int writes = 0;
    while (!dirty.isEmpty()) {
      JobBitmaps.Write write =
          bitmaps.writeRecordingCompletions(entry(), entryRevision(), done, dirty);
      apply(write, 2_048, 8);
      dirty.removeAll(write.pieces());
      writes++;
      assertEquals(dirty.isEmpty() ? JobOutcome.DONE : JobOutcome.NONE, entry().outcome());
      assertEquals(dirty.isEmpty() ? MANY_TASKS : 0, entry().completedTaskCount());
    }
    assertEquals(2, writes);
    assertEquals(done, bitmaps.completedTasks(entry()));
  }

  /**
   * Guards against lost completion bits: a controller that takes over a job with an outdated copy
   * of a piece would overwrite the newer piece. Its write therefore compares revisions of the
   * pieces.
   */
  @Test
  void concurrentlyChangedPiecesAreNotOverwritten() {
    BitSet done = bits(1, 2, 9_000);
    storeInFirstLayout(done);
    JobBitmaps bitmaps = bitmaps(2_048, 8);
    JobBitmaps.Write claim =
        bitmaps.writePreservingBits(entry().withLeader("n1", 9), entryRevision());
    assertEquals(
        List.of(JobBitmaps.jobKey(JOB), JobBitmaps.pieceKey(JOB, 0), JobBitmaps.pieceKey(JOB, 1)),
        claim.conditions().stream().map(Condition::key).toList());
  }

  /**
   * Guards against lost completion bits after a controller was downgraded to the version in
   * production, which reads the first layout only.
   */
  @Test
  void piecesMergeBackIntoFirstLayout() {
    JobBitmaps bitmaps = bitmaps(2_048, 24);
    store(List.of(new PutOperation(JobBitmaps.jobKey(JOB), accepted(MANY_TASKS), 0)));
    BitSet done = bits(5, 20_000, 99_000);
    store(
        bitmaps
            .writeRecordingCompletions(entry(), entryRevision(), done, pieceIndexes(done))
            .puts());
    assertEquals(0, entry().completionBits().length);
    assertFalse(bitmaps.needsLayoutMigration(entry()));
    compactLayoutReadable = false;
    assertTrue(bitmaps.needsLayoutMigration(entry()));
    store(bitmaps.writeRecordingCompletions(entry(), entryRevision(), done, Set.of()).puts());
    assertFalse(bitmaps.needsLayoutMigration(entry()));
    storedEntries.keySet().removeIf(key -> key.contains("/p"));
    assertEquals(done, bitmaps.completedTasks(entry()));
  }

  /** No value of an accepted job ever exceeds the size limit that applied at acceptance. */
  @Test
  void acceptedJobAlwaysFitsLimits() {
    JobBitmaps bitmaps = bitmaps(2_048, 8);
    for (int tasks : new int[] {1, 2_048, 2_049, 16_384, MANY_TASKS}) {
      int longest = 0;
      for (int n = 1; n < 900; n++) {
        JobSpec spec = spec(tasks, "x".repeat(n));
        if (bitmaps.fitsAtLargest(JobEntry.newlyAccepted(spec, 1_700_000_000_000L, "n0", 3))) {
          longest = n;
        }
      }
      assertTrue(longest > 200, "longest fitting name: " + longest);
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
      List<PutOperation> puts = bitmaps.writeRecordingCompletions(old, 0, done, List.of(0)).puts();
      for (PutOperation put : puts) {
        assertTrue(encodedSize(put.value()) <= 2_048, put.key());
      }
    }
    assertFalse(
        bitmaps.fitsAtLargest(JobEntry.newlyAccepted(spec(10, "x".repeat(1_000)), 0, "n0", 3)));
  }

  /** The reported state of a finished job never changes, even when its completion bits migrate. */
  @Test
  void cancelledJobKeepsCompletedTaskCount() {
    BitSet done = new BitSet();
    done.set(0, 16_000);
    storeInFirstLayout(done);
    JobEntry cancelled = entry().withOutcome(JobOutcome.CANCELLED);
    store(List.of(new PutOperation(JobBitmaps.jobKey(JOB), cancelled, 0)));
    BitSet more = (BitSet) done.clone();
    more.set(16_001);
    JobBitmaps bitmaps = bitmaps(2_048, 8);
    apply(bitmaps.writeRecordingCompletions(entry(), entryRevision(), more, Set.of()), 2_048, 8);
    assertEquals(16_000, entry().completedTaskCount());
    assertEquals(JobOutcome.CANCELLED, entry().outcome());
  }

  /** Guards against a write of completions that the state service refuses for its whole size. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void writeOfLargeEntryWithManyPiecesFitsIntoATransaction(boolean compact) {
    compactLayoutReadable = compact;
    for (int nameBytes : new int[] {10, 6_000, 12_000, 20_000, 26_000}) {
      JobBitmaps bitmaps = bitmaps(64 << 10, 32);
      JobEntry job =
          JobEntry.newlyAccepted(
              spec(MANY_TASKS, "c".repeat(nameBytes)), 1_700_000_000_000L, "n0", 3);
      assertTrue(bitmaps.fitsAtLargest(job));
      BitSet done = new BitSet();
      done.set(0, MANY_TASKS);
      JobBitmaps.Write write = bitmaps.writeRecordingCompletions(job, 5, done, pieceIndexes(done));
      int bytes =
          TransactionSize.of(
              new Transaction(write.conditions(), write.puts(), List.of()),
              JobBitmapsTest::encodedSize);
      assertTrue(bytes <= TransactionSize.MAX_BYTES, "bytes: " + bytes);
      assertTrue(write.puts().size() > 1, "bits are recorded");
    }
    JobEntry tooLarge =
        JobEntry.newlyAccepted(spec(1, "c".repeat(30_000)), 1_700_000_000_000L, "n0", 3);
    assertFalse(bitmaps(64 << 10, 32).fitsAtLargest(tooLarge), "leaves no room beside it");
  }
}
