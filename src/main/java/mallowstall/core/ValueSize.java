package mallowstall.core;

import java.util.List;
import java.util.function.ToIntFunction;

/** Lists cut so that the value which holds them stays within the state service's limit. */
final class ValueSize {
  private ValueSize() {}

  /**
   * The first elements of the list, as many as fit: {@code size} measures the value with those it
   * is given. At least one stays, since a value without any would tell nothing.
   */
  static <T> List<T> fitting(List<T> all, ToIntFunction<List<T>> size, int limitBytes) {
    List<T> some = all;
    while (some.size() > 1) {
      int bytes = size.applyAsInt(some);
      if (bytes <= limitBytes) {
        break;
      }
      int share = (int) ((long) some.size() * limitBytes / bytes);
      some = some.subList(0, Math.max(1, Math.min(share, some.size() - 1)));
    }
    return some;
  }
}
