package mallowstall.core.kv;

import java.util.function.ToIntFunction;
import mallowstall.core.kernel.Condition;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.model.StoredEntry;

/**
 * Bounds the size of transactions, which the state service rejects above {@link #MAX_BYTES}. The
 * size of a transaction is at most that of its parts together with {@link #FRAME_BYTES}.
 */
public final class TransactionSize {
  /** Maximum size of a transaction in bytes (protocol, POST /multi). */
  public static final int MAX_BYTES = 64 << 10;

  /** Size in bytes of a transaction without conditions and operations, rounded up. */
  public static final int FRAME_BYTES = 64;

  /**
   * Size in bytes of a condition or an operation without its key and its value, rounded up: field
   * names, punctuation and a number of at most 20 digits.
   */
  private static final int PART_BYTES = 64;

  /** Maximum size in bytes of one character of a key in JSON. */
  private static final int CHARACTER_BYTES_MAX = 6;

  private TransactionSize() {}

  /** Returns the maximum size in bytes of a condition on the key, or of its deletion. */
  public static int ofKey(String key) {
    return PART_BYTES + key.length() * CHARACTER_BYTES_MAX;
  }

  /** Returns the maximum size in bytes of a put of a value of this size. */
  public static int ofPut(String key, int valueBytes) {
    return ofKey(key) + valueBytes;
  }

  /**
   * Returns an upper bound of the transaction's size in bytes.
   *
   * @param encodedSize returns the size of a value in bytes
   */
  public static int of(Transaction transaction, ToIntFunction<StoredEntry> encodedSize) {
    int bytes = FRAME_BYTES;
    for (Condition condition : transaction.conditions()) {
      bytes += ofKey(condition.key());
    }
    for (PutOperation put : transaction.puts()) {
      bytes += ofPut(put.key(), encodedSize.applyAsInt(put.value()));
    }
    for (String key : transaction.deletes()) {
      bytes += ofKey(key);
    }
    return bytes;
  }
}
