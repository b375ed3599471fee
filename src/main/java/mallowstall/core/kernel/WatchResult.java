package mallowstall.core.kernel;

import java.util.List;

/**
 * The result of a watch: the changes after the requested revision. A long result arrives in parts:
 * results with the code {@link ResultCode#PARTIAL}, each with further changes and without a
 * revision, and then one with another code.
 *
 * @param events the changes in the order of their revisions; a null value means that the key was
 *     deleted
 * @param revision the revision up to which the events are complete, and after which the next watch
 *     starts
 */
public record WatchResult(ResultCode code, List<KeyValue> events, long revision) {}
