package mallowstall.core.kernel;

import java.util.List;

/**
 * A page of keys in key order.
 *
 * @param items the entries that this program version can read
 * @param hasMore whether more keys follow after {@code lastKey}
 * @param revision the revision at which this page was read, which may differ from page to page
 * @param lastKey the last key of the page, whose entry may be unreadable; null if the page has none
 */
public record ListResult(
    ResultCode code, List<KeyValue> items, boolean hasMore, long revision, String lastKey) {
  /** Creates a page whose last entry is readable, or an empty one. */
  public ListResult(ResultCode code, List<KeyValue> items, boolean hasMore, long revision) {
    this(
        code, items, hasMore, revision, items.isEmpty() ? null : items.get(items.size() - 1).key());
  }
}
