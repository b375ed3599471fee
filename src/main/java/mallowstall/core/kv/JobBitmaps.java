package mallowstall.core.kv;

import java.util.ArrayList;
import java.util.Arrays;
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
 * How a job and the bits of its done tasks stand in the state service. Pure: it is given what is
 * stored and says what to write.
 *
 * <p>There are two layouts. In the first one the job's entry holds the bits of its first 16,384
 * tasks and values of their own the further chunks of as many. In the compact one, for value limits
 * that this doesn't fit, the entry holds no bits and all stand in pieces of 8,192. Jobs of up to
 * {@link #INLINE_TASKS} tasks have all their bits in the entry in both.
 *
 * <p>A task is done if either layout says so. Bits are only ever added, so both may be there at
 * once, and nothing is dropped when a job changes its layout: the transaction that takes bits out
 * of the entry writes the pieces that hold them.
 */
public final class JobBitmaps {
  /**
   * A change of a job: its conditions, its puts, and the pieces whose bits it records. Bits come
   * before the entry, so that whoever takes the puts in one by one knows them with the entry.
   */
  public record Write(List<Condition> conditions, List<PutOperation> puts, Set<Integer> pieces) {}

  /**
   * Count. Jobs of up to so many tasks have all completion bits in their entry: at most 344 bytes
   * encoded.
   */
  private static final int INLINE_TASKS = 2_048;

  private static final int PIECES_PER_CHUNK = Constants.BITS_PER_CHUNK / Constants.BITS_PER_PIECE;

  private final int maxValueBytes;
  private final int maxTransactionOps;
  private final String longestNode;
  private final ToIntFunction<StoredEntry> encodedSize;
  private final BooleanSupplier compactLayoutReadable;
  private final Function<String, StoredValue> entryLookup;

  /**
   * {@code allReadPieces} tells whether every controller reads the compact layout, {@code stored}
   * what stands under a key, null if nothing does.
   */
  public JobBitmaps(
      CoreSettings settings,
      ToIntFunction<StoredEntry> encodedSize,
      BooleanSupplier allReadPieces,
      Function<String, StoredValue> stored) {
    this.maxValueBytes = settings.maxValueBytes();
    this.maxTransactionOps = settings.maxTransactionOps();
    this.longestNode = longestNodeName(settings);
    this.encodedSize = encodedSize;
    this.compactLayoutReadable = allReadPieces;
    this.entryLookup = stored;
  }

  private static String longestNodeName(CoreSettings settings) {
    String longest = settings.node();
    for (String peer : settings.peers()) {
      if (peer.length() > longest.length()) {
        longest = peer;
      }
    }
    return longest;
  }

  /** The key of the job's entry. */
  public static String jobKey(String job) {
    return StateKeys.job(job);
  }

  /** The key of a further chunk of the job's completion bits. */
  public static String chunkKey(String job, int chunk) {
    return StateKeys.COMPLETION_BITS_PREFIX + job + "/" + chunk;
  }

  /** Versions without the compact layout never look such a key up. */
  public static String pieceKey(String job, int piece) {
    return StateKeys.COMPLETION_BITS_PREFIX + job + "/p" + piece;
  }

  /** The job to which a key of bits belongs. */
  static String jobFromBitsKey(String bitsKey) {
    return bitsKey.substring(StateKeys.COMPLETION_BITS_PREFIX.length(), bitsKey.lastIndexOf('/'));
  }

  /** The piece that holds the task's completion bit in the compact layout. */
  public static int pieceIndex(int task) {
    return task / Constants.BITS_PER_PIECE;
  }

  /** Whether all bits of the job stand in its entry, in either layout. */
  public static boolean isInline(JobSpec spec) {
    return spec.tasks() <= INLINE_TASKS;
  }

  /** All tasks that are recorded as done. */
  public BitSet completedTasks(JobEntry job) {
    return completedTasks(job, entryLookup);
  }

  /** All tasks that are recorded as done by what stands under the keys. */
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

  /** Whether the task is recorded as done. */
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

  /** Whether the job's entry stays within the value limit whatever becomes of the job. */
  public boolean fitsAtLargest(JobEntry job) {
    int bits = isInline(job.spec()) ? job.spec().tasks() : 0;
    return encodedSize.applyAsInt(largestEntry(job, bits)) <= maxValueBytes;
  }

  /** Whether the entry as it is stays within the value limit. */
  public boolean fitsAsStored(JobEntry job) {
    return encodedSize.applyAsInt(job) <= maxValueBytes;
  }

  /** Whether the compact layout is written for this job. */
  boolean usesCompactLayout(JobEntry job) {
    if (isInline(job.spec()) || !compactLayoutReadable.getAsBoolean()) {
      return false;
    }
    // a chunk is smaller than the entry of a job that has chunks
    int bits = Math.min(job.spec().tasks(), Constants.BITS_PER_CHUNK);
    return encodedSize.applyAsInt(largestEntry(job, bits)) > maxValueBytes;
  }

  /** The entry with so many done bits and each number and name at its longest. */
  private JobEntry largestEntry(JobEntry job, int bits) {
    byte[] done = new byte[(bits + 7) / 8];
    Arrays.fill(done, (byte) 0xFF);
    int tasks = job.spec().tasks();
    return new JobEntry(
        job.spec(),
        job.submittedMs(),
        longestNode,
        Long.MAX_VALUE,
        Long.MAX_VALUE,
        done,
        tasks,
        tasks,
        JobOutcome.CANCELLED);
  }

  /**
   * Whether bits stand where the present layout doesn't have them: in the entry of a job that is to
   * be compact, or in pieces only while a controller may not read these.
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

  /** Whether a piece holds bits that the first layout doesn't. */
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
   * A change of the entry by somebody who knows of no new done tasks. The pieces that it must write
   * for bits that leave the entry are compared, since its view of them may be older than the entry.
   */
  public Write writePreservingBits(JobEntry job, long modRevision) {
    if (!usesCompactLayout(job)) {
      return buildWrite(job, modRevision, List.of(), Set.of());
    }
    return buildCompactWrite(job, job, modRevision, completedTasks(job), List.of(), true);
  }

  /**
   * The leader's transaction that records completed tasks: {@code done} are all, {@code dirty} the
   * pieces with bits that aren't recorded yet. If not all of those find room in one transaction the
   * rest is for the next one, and the job's count and final state wait for it.
   */
  public Write writeRecordingCompletions(
      JobEntry stored, long modRevision, BitSet done, Collection<Integer> unrecordedPieces) {
    int completedCount = done.cardinality();
    boolean allCompleted =
        !stored.spec().isService()
            && completedCount == stored.spec().tasks()
            && !stored.isTerminal();
    // the outcome of a finished job never changes
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
    chunks.remove(0); // the entry itself
    List<PutOperation> puts = new ArrayList<>();
    Set<Integer> written = new TreeSet<>();
    addPieces(written, 0);
    int maxPuts = maxTransactionOps - 1;
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
    int maxPuts = maxTransactionOps - 1;
    Set<Integer> pieces = new TreeSet<>();
    // the last ones first: what then stays in the entry is shorter
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
