package mallowstall.core.kv;

import java.util.List;
import java.util.function.ToIntFunction;

/** Lists cut so that the value which holds them stays within the state service's limit. */
public final class ValueSize {
  private ValueSize() {}

  /**
   * The first elements of the list, as many as fit: {@code size} measures the value with those it
   * is given. At least one stays, since a value without any would tell nothing.
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
