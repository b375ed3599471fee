package mallowstall.core.kv;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import mallowstall.Constants;
import mallowstall.core.kernel.Condition;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.model.CompletionBitsEntry;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobOutcome;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.StoredEntry;

/**
 * Defines how a job and its completion bitmap are stored in the state service. This class sends no
 * requests: it computes from the stored values which values to write.
 *
 * <p>There are two layouts. In the first layout, the job's entry holds the bits of the first 16,384
 * tasks, and each further chunk of 16,384 bits is a value of its own. The compact layout is used if
 * the first one exceeds the value limit. There the entry holds no bits, and all bits are stored in
 * pieces of 8,192. In both layouts, the entry of a job of up to {@link #INLINE_TASKS} tasks holds
 * all bits of the job.
 *
 * <p>A task is completed if its bit is set in either layout. Bits are only ever added, so bits of
 * both layouts may exist at once. No bit is lost when a job changes its layout, because the
 * transaction that removes bits from the entry also writes the pieces that hold them.
 */
public final class JobBitmaps {
  /**
   * A change of a job: its conditions, its puts, and the pieces whose bits it records. The puts of
   * bits precede the put of the job's entry, so that a controller that applies the puts one by one
   * already has the bits when it applies the entry.
   */
  public record Write(List<Condition> conditions, List<PutOperation> puts, Set<Integer> pieces) {}

  /**
   * Maximum number of tasks of a job whose entry holds all completion bits. The bits take at most
   * 344 bytes encoded.
   */
  private static final int INLINE_TASKS = 2_048;

  private static final int PIECES_PER_CHUNK = Constants.BITS_PER_CHUNK / Constants.BITS_PER_PIECE;

  private final JobEntrySizes sizes;
  private final BooleanSupplier compactLayoutReadable;
  private final Function<String, StoredValue> entryLookup;

  /**
   * Uses the value and transaction limits of {@code settings}.
   *
   * @param encodedSize returns the size of a value in bytes as the state service measures it
   * @param compactLayoutReadable returns whether every controller reads the compact layout
   * @param entryLookup returns the stored value of a key, or null if the key doesn't exist
   */
  public JobBitmaps(
      CoreSettings settings,
      ToIntFunction<StoredEntry> encodedSize,
      BooleanSupplier compactLayoutReadable,
      Function<String, StoredValue> entryLookup) {
    this.sizes = new JobEntrySizes(settings, encodedSize);
    this.compactLayoutReadable = compactLayoutReadable;
    this.entryLookup = entryLookup;
  }

  /** Returns the key of the job's entry. */
  public static String jobKey(String job) {
    return StateKeys.job(job);
  }

  /** Returns the key of a chunk in the first layout. The job's entry holds chunk 0 instead. */
  public static String chunkKey(String job, int chunk) {
    return StateKeys.COMPLETION_BITS_PREFIX + job + "/" + chunk;
  }

  /** Returns the key of a piece. Program versions without the compact layout never read it. */
  public static String pieceKey(String job, int piece) {
    return StateKeys.COMPLETION_BITS_PREFIX + job + "/p" + piece;
  }

  /** Returns the job to which the key of a chunk or piece belongs. */
  static String jobFromBitsKey(String bitsKey) {
    return bitsKey.substring(StateKeys.COMPLETION_BITS_PREFIX.length(), bitsKey.lastIndexOf('/'));
  }

  /** Returns the index of the piece that holds the task's bit in the compact layout. */
  public static int pieceIndex(int task) {
    return task / Constants.BITS_PER_PIECE;
  }

  /** Returns whether the job's entry holds all bits of the job, in both layouts. */
  public static boolean isInline(JobSpec spec) {
    return spec.tasks() <= INLINE_TASKS;
  }

  /** Returns all tasks of the job that are recorded as completed. */
  public BitSet completedTasks(JobEntry job) {
    return completedTasks(job, entryLookup);
  }

  /**
   * Returns all tasks of the job that are recorded as completed, in the entry or in the values that
   * {@code entryLookup} returns.
   */
  public static BitSet completedTasks(JobEntry entry, Function<String, StoredValue> entryLookup) {
    BitSet done = BitSet.valueOf(entry.completionBits());
    if (isInline(entry.spec())) {
      return done;
    }
    int tasks = entry.spec().tasks();
    String job = entry.spec().id();
    for (int chunk = 1; chunk * Constants.BITS_PER_CHUNK < tasks; chunk++) {
      addBits(done, entryLookup.apply(chunkKey(job, chunk)), chunk * Constants.BITS_PER_CHUNK);
    }
    for (int piece = 0; piece * Constants.BITS_PER_PIECE < tasks; piece++) {
      addBits(done, entryLookup.apply(pieceKey(job, piece)), piece * Constants.BITS_PER_PIECE);
    }
    return done;
  }

  private static void addBits(BitSet done, StoredValue storedValue, int firstTask) {
    BitSet bits = BitSet.valueOf(storedBits(storedValue));
    for (int i = bits.nextSetBit(0); i >= 0; i = bits.nextSetBit(i + 1)) {
      done.set(firstTask + i);
    }
  }

  /** Returns whether the task is recorded as completed. */
  public boolean isRecordedCompleted(JobEntry entry, int task) {
    if (isBitSet(entry.completionBits(), task)) {
      return true;
    }
    if (isInline(entry.spec())) {
      return false;
    }
    String job = entry.spec().id();
    int chunk = task / Constants.BITS_PER_CHUNK;
    if (chunk > 0 && isBitSet(storedBits(chunkKey(job, chunk)), task % Constants.BITS_PER_CHUNK)) {
      return true;
    }
    return isBitSet(storedBits(pieceKey(job, pieceIndex(task))), task % Constants.BITS_PER_PIECE);
  }

  private byte[] storedBits(String key) {
    return storedBits(entryLookup.apply(key));
  }

  private static byte[] storedBits(StoredValue storedValue) {
    return storedValue == null ? new byte[0] : ((CompletionBitsEntry) storedValue.value()).bits();
  }

  private static boolean isBitSet(byte[] bits, int index) {
    return index / 8 < bits.length && (bits[index / 8] >> (index % 8) & 1) != 0;
  }

  /**
   * Returns whether the job's entry stays within the value limit, and fits into a transaction with
   * what accompanies it, at its largest possible size. A job that isn't inline is measured without
   * bits, as in the compact layout.
   */
  public boolean fitsAtLargest(JobEntry job) {
    return sizes.fitsAtLargest(job, isInline(job.spec()) ? job.spec().tasks() : 0);
  }

  /** Returns whether the entry in its present form is within the limits of a value. */
  public boolean fitsAsStored(JobEntry job) {
    return sizes.fits(job);
  }

  /** Returns the size in bytes of the job's entry in its present form. */
  public int entryBytes(JobEntry job) {
    return sizes.bytes(job);
  }

  /** Returns whether this job is written in the compact layout. */
  boolean usesCompactLayout(JobEntry job) {
    if (isInline(job.spec()) || !compactLayoutReadable.getAsBoolean()) {
      return false;
    }
    // Chunks need no check: a chunk is smaller than the entry of a job that has chunks.
    int bits = Math.min(job.spec().tasks(), Constants.BITS_PER_CHUNK);
    return !sizes.fitsAtLargest(job, bits);
  }

  /**
   * Returns whether bits are stored where the job's current layout doesn't hold them. This is the
   * case if a job in the compact layout has bits in its entry. It is also the case if bits exist
   * only in pieces although the job uses the first layout, because a controller may be unable to
   * read pieces.
   */
  public boolean needsLayoutMigration(JobEntry job) {
    if (isInline(job.spec())) {
      return false;
    }
    if (usesCompactLayout(job)) {
      return job.completionBits().length > 0;
    }
    for (int piece = 0; piece * Constants.BITS_PER_PIECE < job.spec().tasks(); piece++) {
      if (pieceHasUnmergedBits(job, piece)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a piece holds bits that are not set in the first layout. */
  private boolean pieceHasUnmergedBits(JobEntry job, int piece) {
    BitSet bits = BitSet.valueOf(storedBits(pieceKey(job.spec().id(), piece)));
    if (bits.isEmpty()) {
      return false;
    }
    int chunk = piece / PIECES_PER_CHUNK;
    byte[] chunkBits =
        chunk == 0 ? job.completionBits() : storedBits(chunkKey(job.spec().id(), chunk));
    int from = piece % PIECES_PER_CHUNK * Constants.BITS_PER_PIECE;
    bits.andNot(BitSet.valueOf(chunkBits).get(from, from + Constants.BITS_PER_PIECE));
    return !bits.isEmpty();
  }

  /**
   * Returns the write of a changed entry for a caller that has no newly completed tasks to record.
   * If bits move from the entry to pieces, the write has conditions on the revisions of these
   * pieces, because the caller's copies of the pieces may be older than the entry.
   */
  public Write writePreservingBits(JobEntry job, long modRevision) {
    if (!usesCompactLayout(job)) {
      return buildWrite(job, modRevision, List.of(), Set.of());
    }
    return buildCompactWrite(job, job, modRevision, completedTasks(job), List.of(), true);
  }

  /**
   * Returns the job leader's write that records completed tasks. If one transaction can't hold all
   * unrecorded pieces, the remaining ones are left to the next transaction, and the job's number of
   * completed tasks and its outcome aren't changed before all pieces are recorded.
   *
   * @param done all completed tasks of the job
   * @param unrecordedPieces the pieces with bits that aren't recorded yet
   */
  public Write writeRecordingCompletions(
      JobEntry stored, long modRevision, BitSet done, Collection<Integer> unrecordedPieces) {
    int completedCount = done.cardinality();
    boolean allCompleted =
        !stored.spec().isService()
            && completedCount == stored.spec().tasks()
            && !stored.isTerminal();
    // The outcome of a finished job never changes.
    JobEntry job =
        stored.isTerminal()
            ? stored
            : stored.withCompletion(
                stored.completionBits(),
                completedCount,
                allCompleted ? JobOutcome.DONE : stored.outcome());
    if (usesCompactLayout(stored)) {
      return buildCompactWrite(stored, job, modRevision, done, unrecordedPieces, false);
    }
    return buildChunkedWrite(stored, job, modRevision, done, unrecordedPieces);
  }

  private Write buildChunkedWrite(
      JobEntry stored,
      JobEntry job,
      long modRevision,
      BitSet done,
      Collection<Integer> unrecordedPieces) {
    TreeSet<Integer> chunks = new TreeSet<>();
    for (int piece : unrecordedPieces) {
      chunks.add(piece / PIECES_PER_CHUNK);
    }
    int pieces = isInline(stored.spec()) ? 0 : pieceIndex(stored.spec().tasks() - 1) + 1;
    for (int piece = 0; piece < pieces; piece++) {
      if (pieceHasUnmergedBits(stored, piece)) {
        chunks.add(piece / PIECES_PER_CHUNK);
      }
    }
    chunks.remove(0); // the job's entry holds chunk 0
    List<PutOperation> puts = new ArrayList<>();
    Set<Integer> written = new TreeSet<>();
    addPieces(written, 0);
    int maxPuts =
        sizes.maxBitPuts(stored, Math.min(stored.spec().tasks(), Constants.BITS_PER_CHUNK));
    for (int chunk : chunks) {
      if (puts.size() == maxPuts) {
        break;
      }
      int from = chunk * Constants.BITS_PER_CHUNK;
      puts.add(bitsPut(chunkKey(stored.spec().id(), chunk), done, from, Constants.BITS_PER_CHUNK));
      addPieces(written, chunk);
    }
    int inlineBits = Math.min(stored.spec().tasks(), Constants.BITS_PER_CHUNK);
    JobEntry base = written.containsAll(unrecordedPieces) ? job : stored;
    JobEntry entry =
        base.withCompletion(
            done.get(0, inlineBits).toByteArray(), base.completedTaskCount(), base.outcome());
    return buildWrite(entry, modRevision, puts, written);
  }

  private static void addPieces(Set<Integer> pieces, int chunk) {
    for (int i = 0; i < PIECES_PER_CHUNK; i++) {
      pieces.add(chunk * PIECES_PER_CHUNK + i);
    }
  }

  private Write buildCompactWrite(
      JobEntry stored,
      JobEntry job,
      long modRevision,
      BitSet done,
      Collection<Integer> unrecordedPieces,
      boolean comparePieces) {
    int maxPuts = sizes.maxBitPuts(stored, stored.completionBits().length * 8);
    Set<Integer> pieces = new TreeSet<>();
    // Moves the last pieces first, so that the bits that remain in the entry are shorter.
    BitSet kept = BitSet.valueOf(stored.completionBits());
    while (!kept.isEmpty() && pieces.size() < maxPuts) {
      int last = pieceIndex(kept.length() - 1);
      pieces.add(last);
      kept.clear(last * Constants.BITS_PER_PIECE, kept.length());
    }
    for (int piece : unrecordedPieces) {
      if (pieces.size() < maxPuts) {
        pieces.add(piece);
      }
    }
    List<PutOperation> puts = new ArrayList<>();
    for (int piece : pieces) {
      int from = piece * Constants.BITS_PER_PIECE;
      puts.add(bitsPut(pieceKey(stored.spec().id(), piece), done, from, Constants.BITS_PER_PIECE));
    }
    JobEntry base = pieces.containsAll(unrecordedPieces) ? job : stored;
    JobEntry entry =
        base.withCompletion(kept.toByteArray(), base.completedTaskCount(), base.outcome());
    Write write = buildWrite(entry, modRevision, puts, pieces);
    if (!comparePieces) {
      return write;
    }
    List<Condition> conditions = new ArrayList<>(write.conditions());
    for (PutOperation put : puts) {
      conditions.add(new Condition(put.key(), modRevision(put.key())));
    }
    return new Write(conditions, write.puts(), pieces);
  }

  private long modRevision(String key) {
    StoredValue storedValue = entryLookup.apply(key);
    return storedValue == null ? 0 : storedValue.modRevision();
  }

  private static PutOperation bitsPut(String key, BitSet done, int from, int count) {
    return new PutOperation(
        key, new CompletionBitsEntry(done.get(from, from + count).toByteArray()), 0);
  }

  private static Write buildWrite(
      JobEntry entry, long modRevision, List<PutOperation> bitPuts, Set<Integer> pieces) {
    String key = jobKey(entry.spec().id());
    List<PutOperation> puts = new ArrayList<>(bitPuts);
    puts.add(new PutOperation(key, entry, 0));
    return new Write(List.of(new Condition(key, modRevision)), puts, pieces);
  }
}
