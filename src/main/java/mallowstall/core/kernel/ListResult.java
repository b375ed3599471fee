package mallowstall.core.kernel;

import java.util.List;

/** A page of keys, and the revision that it was read at. */
public record ListResult(ResultCode code, List<KeyValue> items, boolean hasMore, long revision) {}
