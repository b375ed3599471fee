package mallowstall.core.kernel;

import java.util.List;

/**
 * A page of keys in key order.
 *
 * @param hasMore whether more keys follow after the last one of this page
 * @param revision the revision at which this page was read, which may differ from page to page
 */
public record ListResult(ResultCode code, List<KeyValue> items, boolean hasMore, long revision) {}
