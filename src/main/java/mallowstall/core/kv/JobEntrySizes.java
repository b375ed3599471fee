package mallowstall.core.kv;

import java.util.Arrays;
import java.util.function.ToIntFunction;
import mallowstall.Constants;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobOutcome;
import mallowstall.core.model.StoredEntry;

/** Compares the sizes of jobs' entries with the limits of the state service. */
final class JobEntrySizes {
  /**
   * Size in bytes that remains in a transaction for what accompanies a job's entry: conditions, the
   * team's usage, and bits.
   */
  private static final int BESIDE_ENTRY_BYTES = 8 << 10;

  /**
   * Size in bytes of the put of a chunk, rounded up, with a job id of 40 characters. The put of a
   * piece, with a condition, is smaller.
   */
  private static final int CHUNK_PUT_BYTES =
      TransactionSize.ofPut("c/b//0".concat("j".repeat(40)), Constants.BITS_PER_CHUNK / 6 + 64);

  private final int maxEntryBytes;
  private final int maxTransactionOps;
  private final String longestNode;
  private final ToIntFunction<StoredEntry> encodedSize;

  /** {@code encodedSize} returns the size of a value as the state service measures it. */
  JobEntrySizes(CoreSettings settings, ToIntFunction<StoredEntry> encodedSize) {
    this.maxEntryBytes =
        Math.min(settings.maxValueBytes(), TransactionSize.MAX_BYTES - BESIDE_ENTRY_BYTES);
    this.maxTransactionOps = settings.maxTransactionOps();
    this.longestNode = longestNodeName(settings);
    this.encodedSize = encodedSize;
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

  /**
   * Returns whether the entry stays within the value limit, and fits into a transaction with what
   * accompanies it, at its largest possible size with this number of bits.
   */
  boolean fitsAtLargest(JobEntry job, int bits) {
    return largestBytes(job, bits) <= maxEntryBytes;
  }

  /** Returns whether the entry in its present form is within these limits. */
  boolean fits(JobEntry job) {
    return bytes(job) <= maxEntryBytes;
  }

  /** Returns the size in bytes of the entry in its present form. */
  int bytes(JobEntry job) {
    return encodedSize.applyAsInt(job);
  }

  /**
   * Returns how many chunks or pieces one transaction can hold beside the entry with this number of
   * bits; at least one, so that bits get recorded.
   */
  int maxBitPuts(JobEntry job, int bitsInEntry) {
    int freeBytes =
        TransactionSize.MAX_BYTES - TransactionSize.FRAME_BYTES - largestBytes(job, bitsInEntry);
    // the entry's key and condition take less than one of the puts
    return Math.max(1, Math.min(maxTransactionOps - 1, freeBytes / CHUNK_PUT_BYTES - 1));
  }

  /** Returns the size of the entry with bits set and the longest possible numbers and names. */
  private int largestBytes(JobEntry job, int bits) {
    byte[] done = new byte[(bits + 7) / 8];
    Arrays.fill(done, (byte) 0xFF);
    int tasks = job.spec().tasks();
    return encodedSize.applyAsInt(
        new JobEntry(
            job.spec(),
            job.submittedMs(),
            longestNode,
            Long.MAX_VALUE,
            Long.MAX_VALUE,
            done,
            tasks,
            tasks,
            JobOutcome.CANCELLED));
  }
}
