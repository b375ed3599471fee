package mallowstall.core.kernel;

import mallowstall.core.model.StoredEntry;

/**
 * A key of the state service as it was read, or a change of it.
 *
 * @param value null: the key doesn't exist, or was deleted by this change
 * @param modRevision the revision of its last change; 0 if it was read and doesn't exist
 */
public record KeyValue(String key, StoredEntry value, long modRevision) {}
