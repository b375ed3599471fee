package mallowstall.core.kv;

import java.util.List;
import java.util.function.ToIntFunction;

/** Shortens lists so that a value that holds them stays within the state service's value limit. */
public final class ValueSize {
  private ValueSize() {}

  /**
   * Returns the first elements of the list, shortened until the value that holds them fits into
   * {@code limitBytes}. At least one element remains, because a value without any holds no
   * information.
   *
   * @param sizeBytes returns the size in bytes of the value with the elements passed to it
   */
  public static <T> List<T> longestFittingPrefix(
      List<T> elements, ToIntFunction<List<T>> sizeBytes, int limitBytes) {
    List<T> prefix = elements;
    while (prefix.size() > 1) {
      int prefixBytes = sizeBytes.applyAsInt(prefix);
      if (prefixBytes <= limitBytes) {
        break;
      }
      int proportionalCount = (int) ((long) prefix.size() * limitBytes / prefixBytes);
      prefix = prefix.subList(0, Math.max(1, Math.min(proportionalCount, prefix.size() - 1)));
    }
    return prefix;
  }
}
