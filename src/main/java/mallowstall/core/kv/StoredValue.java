package mallowstall.core.kv;

import mallowstall.core.model.StoredEntry;

/**
 * A value in the state replica.
 *
 * @param value the decoded value, never null
 * @param modRevision the revision of the change that wrote it
 */
public record StoredValue(StoredEntry value, long modRevision) {}
