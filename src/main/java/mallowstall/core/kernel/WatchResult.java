package mallowstall.core.kernel;

import java.util.List;

/** Events in order; an item with a null value was deleted. */
public record WatchResult(ResultCode code, List<KeyValue> events, long revision) {}
