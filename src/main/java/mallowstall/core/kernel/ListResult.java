package mallowstall.core.kernel;

import java.util.List;

/**
 * A page of keys in their order.
 *
 * @param hasMore whether keys follow after the last of this page
 * @param revision the revision at which the page was read; other pages may have others
 */
public record ListResult(ResultCode code, List<KeyValue> items, boolean hasMore, long revision) {}
