package mallowstall.core;

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
import mallowstall.core.Effects.Cond;
import mallowstall.core.Effects.Put;
import mallowstall.core.Model.BitsRec;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.Entry;
import mallowstall.core.Model.Final;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;

/**
 * How a job and the bits of its done tasks stand in the state service. Pure: it is given what is
 * stored and says what to write.
 *
 * <p>There are two layouts. In the first one the job's entry holds the bits of its first 16,384
 * tasks and values of their own the further chunks of as many. In the compact one, for value limits
 * that this doesn't fit, the entry holds no bits and all stand in pieces of 8,192. Jobs of up to
 * {@link Constants#INLINE_TASKS} tasks have all their bits in the entry in both.
 *
 * <p>A task is done if either layout says so. Bits are only ever added, so both may be there at
 * once, and nothing is dropped when a job changes its layout: the transaction that takes bits out
 * of the entry writes the pieces that hold them.
 */
final class JobEntries {
  /**
   * A change of a job: its conditions, its puts, and the pieces whose bits it records. Bits come
   * before the entry, so that whoever takes the puts in one by one knows them with the entry.
   */
  record Write(List<Cond> when, List<Put> puts, Set<Integer> pieces) {}

  private static final int PIECES_PER_CHUNK = Constants.BITS_PER_CHUNK / Constants.BITS_PER_PIECE;

  private final int valueBytes;
  private final int txnOps;
  private final String longestNode;
  private final ToIntFunction<Entry> encodedSize;
  private final BooleanSupplier allReadPieces;
  private final Function<String, Store.Held> stored;

  /**
   * {@code allReadPieces} tells whether every controller reads the compact layout, {@code stored}
   * what stands under a key, null if nothing does.
   */
  JobEntries(
      CoreSettings settings,
      ToIntFunction<Entry> encodedSize,
      BooleanSupplier allReadPieces,
      Function<String, Store.Held> stored) {
    this.valueBytes = settings.valueBytes();
    this.txnOps = settings.txnOps();
    this.longestNode = longest(settings);
    this.encodedSize = encodedSize;
    this.allReadPieces = allReadPieces;
    this.stored = stored;
  }

  private static String longest(CoreSettings settings) {
    String longest = settings.node();
    for (String peer : settings.peers()) {
      if (peer.length() > longest.length()) {
        longest = peer;
      }
    }
    return longest;
  }

  static String jobKey(String job) {
    return Store.JOBS + job;
  }

  static String chunkKey(String job, int chunk) {
    return Store.BITS + job + "/" + chunk;
  }

  /** Versions without the compact layout never look such a key up. */
  static String pieceKey(String job, int piece) {
    return Store.BITS + job + "/p" + piece;
  }

  /** The job to which a key of bits belongs. */
  static String jobOf(String bitsKey) {
    return bitsKey.substring(Store.BITS.length(), bitsKey.lastIndexOf('/'));
  }

  static int pieceOf(int task) {
    return task / Constants.BITS_PER_PIECE;
  }

  /** Whether all bits of the job stand in its entry, in either layout. */
  static boolean inline(JobSpec spec) {
    return spec.tasks() <= Constants.INLINE_TASKS;
  }

  // ---- reading ------------------------------------------------------------------------------
  /** All tasks that are recorded as done. */
  BitSet done(JobRec job) {
    return done(job, stored);
  }

  /** All tasks that are recorded as done by what stands under the keys. */
  static BitSet done(JobRec jobRecord, Function<String, Store.Held> stored) {
    BitSet done = BitSet.valueOf(jobRecord.done());
    if (inline(jobRecord.spec())) {
      return done;
    }
    int tasks = jobRecord.spec().tasks();
    String job = jobRecord.spec().id();
    for (int c = 1; c * Constants.BITS_PER_CHUNK < tasks; c++) {
      addBits(done, stored.apply(chunkKey(job, c)), c * Constants.BITS_PER_CHUNK);
    }
    for (int p = 0; p * Constants.BITS_PER_PIECE < tasks; p++) {
      addBits(done, stored.apply(pieceKey(job, p)), p * Constants.BITS_PER_PIECE);
    }
    return done;
  }

  private static void addBits(BitSet done, Store.Held held, int from) {
    BitSet bits = BitSet.valueOf(bytes(held));
    for (int i = bits.nextSetBit(0); i >= 0; i = bits.nextSetBit(i + 1)) {
      done.set(from + i);
    }
  }

  /** Whether the task is recorded as done. */
  boolean recorded(JobRec jobRecord, int task) {
    if (bit(jobRecord.done(), task)) {
      return true;
    }
    if (inline(jobRecord.spec())) {
      return false;
    }
    String job = jobRecord.spec().id();
    int chunk = task / Constants.BITS_PER_CHUNK;
    if (chunk > 0 && bit(bytes(chunkKey(job, chunk)), task % Constants.BITS_PER_CHUNK)) {
      return true;
    }
    return bit(bytes(pieceKey(job, pieceOf(task))), task % Constants.BITS_PER_PIECE);
  }

  private byte[] bytes(String key) {
    return bytes(stored.apply(key));
  }

  private static byte[] bytes(Store.Held held) {
    return held == null ? new byte[0] : ((BitsRec) held.value()).done();
  }

  private static boolean bit(byte[] bits, int i) {
    return i / 8 < bits.length && (bits[i / 8] >> (i % 8) & 1) != 0;
  }

  // ---- sizes --------------------------------------------------------------------------------
  /** Whether the job's entry stays within the value limit whatever becomes of the job. */
  boolean fits(JobRec job) {
    int bits = inline(job.spec()) ? job.spec().tasks() : 0;
    return encodedSize.applyAsInt(largest(job, bits)) <= valueBytes;
  }

  /** Whether the entry as it is stays within the value limit. */
  boolean fitsNow(JobRec job) {
    return encodedSize.applyAsInt(job) <= valueBytes;
  }

  /** Whether the compact layout is written for this job. */
  boolean compact(JobRec job) {
    if (inline(job.spec()) || !allReadPieces.getAsBoolean()) {
      return false;
    }
    // a chunk is smaller than the entry of a job that has chunks
    int bits = Math.min(job.spec().tasks(), Constants.BITS_PER_CHUNK);
    return encodedSize.applyAsInt(largest(job, bits)) > valueBytes;
  }

  /** The entry with so many done bits and each number and name at its longest. */
  private JobRec largest(JobRec job, int bits) {
    byte[] done = new byte[(bits + 7) / 8];
    Arrays.fill(done, (byte) 0xFF);
    int tasks = job.spec().tasks();
    return new JobRec(
        job.spec(),
        job.submittedMs(),
        longestNode,
        Long.MAX_VALUE,
        Long.MAX_VALUE,
        done,
        tasks,
        tasks,
        Final.CANCELLED);
  }

  // ---- writing ------------------------------------------------------------------------------
  /**
   * Whether bits stand where the present layout doesn't have them: in the entry of a job that is to
   * be compact, or in pieces only while a controller may not read these.
   */
  boolean outOfPlace(JobRec job) {
    if (inline(job.spec())) {
      return false;
    }
    if (compact(job)) {
      return job.done().length > 0;
    }
    for (int p = 0; p * Constants.BITS_PER_PIECE < job.spec().tasks(); p++) {
      if (pieceAhead(job, p)) {
        return true;
      }
    }
    return false;
  }

  /** Whether a piece holds bits that the first layout doesn't. */
  private boolean pieceAhead(JobRec job, int piece) {
    BitSet bits = BitSet.valueOf(bytes(pieceKey(job.spec().id(), piece)));
    if (bits.isEmpty()) {
      return false;
    }
    int chunk = piece / PIECES_PER_CHUNK;
    byte[] first = chunk == 0 ? job.done() : bytes(chunkKey(job.spec().id(), chunk));
    int from = piece % PIECES_PER_CHUNK * Constants.BITS_PER_PIECE;
    bits.andNot(BitSet.valueOf(first).get(from, from + Constants.BITS_PER_PIECE));
    return !bits.isEmpty();
  }

  /**
   * A change of the entry by somebody who knows of no new done tasks. The pieces that it must write
   * for bits that leave the entry are compared, since its view of them may be older than the entry.
   */
  Write keepingBits(JobRec job, long version) {
    if (!compact(job)) {
      return write(job, version, List.of(), Set.of());
    }
    return compactWrite(job, job, version, done(job), List.of(), true);
  }

  /**
   * The holder's change that records done tasks: {@code done} are all, {@code dirty} the pieces
   * with bits that aren't recorded yet. If not all of those find room in one transaction the rest
   * is for the next one, and the job's count and final state wait for it.
   */
  Write recording(JobRec old, long version, BitSet done, Collection<Integer> dirty) {
    int count = done.cardinality();
    boolean all = !old.spec().service() && count == old.spec().tasks() && !old.over();
    // what was told of a job that is over doesn't change
    JobRec job = old.over() ? old : old.withDone(old.done(), count, all ? Final.DONE : old.fin());
    if (compact(old)) {
      return compactWrite(old, job, version, done, dirty, false);
    }
    return chunkWrite(old, job, version, done, dirty);
  }

  private Write chunkWrite(
      JobRec old, JobRec job, long version, BitSet done, Collection<Integer> dirty) {
    TreeSet<Integer> chunks = new TreeSet<>();
    for (int piece : dirty) {
      chunks.add(piece / PIECES_PER_CHUNK);
    }
    int pieces = inline(old.spec()) ? 0 : pieceOf(old.spec().tasks() - 1) + 1;
    for (int p = 0; p < pieces; p++) {
      if (pieceAhead(old, p)) {
        chunks.add(p / PIECES_PER_CHUNK);
      }
    }
    chunks.remove(0); // the entry itself
    List<Put> puts = new ArrayList<>();
    Set<Integer> written = new TreeSet<>();
    addPieces(written, 0);
    int room = txnOps - 1;
    for (int chunk : chunks) {
      if (puts.size() == room) {
        break;
      }
      int from = chunk * Constants.BITS_PER_CHUNK;
      puts.add(bitsPut(chunkKey(old.spec().id(), chunk), done, from, Constants.BITS_PER_CHUNK));
      addPieces(written, chunk);
    }
    int first = Math.min(old.spec().tasks(), Constants.BITS_PER_CHUNK);
    JobRec told = written.containsAll(dirty) ? job : old;
    JobRec entry = told.withDone(done.get(0, first).toByteArray(), told.doneCount(), told.fin());
    return write(entry, version, puts, written);
  }

  private static void addPieces(Set<Integer> pieces, int chunk) {
    for (int i = 0; i < PIECES_PER_CHUNK; i++) {
      pieces.add(chunk * PIECES_PER_CHUNK + i);
    }
  }

  private Write compactWrite(
      JobRec old,
      JobRec job,
      long version,
      BitSet done,
      Collection<Integer> dirty,
      boolean compare) {
    int room = txnOps - 1;
    Set<Integer> pieces = new TreeSet<>();
    // the last ones first: what then stays in the entry is shorter
    BitSet kept = BitSet.valueOf(old.done());
    while (!kept.isEmpty() && pieces.size() < room) {
      int last = pieceOf(kept.length() - 1);
      pieces.add(last);
      kept.clear(last * Constants.BITS_PER_PIECE, kept.length());
    }
    for (int piece : dirty) {
      if (pieces.size() < room) {
        pieces.add(piece);
      }
    }
    List<Put> puts = new ArrayList<>();
    for (int piece : pieces) {
      int from = piece * Constants.BITS_PER_PIECE;
      puts.add(bitsPut(pieceKey(old.spec().id(), piece), done, from, Constants.BITS_PER_PIECE));
    }
    JobRec told = pieces.containsAll(dirty) ? job : old;
    JobRec entry = told.withDone(kept.toByteArray(), told.doneCount(), told.fin());
    Write write = write(entry, version, puts, pieces);
    if (!compare) {
      return write;
    }
    List<Cond> when = new ArrayList<>(write.when());
    for (Put put : puts) {
      when.add(new Cond(put.key(), version(put.key())));
    }
    return new Write(when, write.puts(), pieces);
  }

  private long version(String key) {
    Store.Held held = stored.apply(key);
    return held == null ? 0 : held.version();
  }

  private static Put bitsPut(String key, BitSet done, int from, int count) {
    return new Put(key, new BitsRec(done.get(from, from + count).toByteArray()), 0);
  }

  private static Write write(JobRec entry, long version, List<Put> bits, Set<Integer> pieces) {
    String key = jobKey(entry.spec().id());
    List<Put> puts = new ArrayList<>(bits);
    puts.add(new Put(key, entry, 0));
    return new Write(List.of(new Cond(key, version)), puts, pieces);
  }
}
