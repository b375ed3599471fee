package mallowstall.core.kernel;

import java.util.List;

/**
 * Changes after the revision that was asked for.
 *
 * @param events in the order of their revisions; a null value says that the key was deleted
 * @param revision the one up to which the events are complete; go on from it
 */
public record WatchResult(ResultCode code, List<KeyValue> events, long revision) {}
