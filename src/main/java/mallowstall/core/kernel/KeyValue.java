package mallowstall.core.kernel;

import mallowstall.core.model.StoredEntry;

/**
 * A key and its value as read from the state service, or a change of a key.
 *
 * @param value the value, or null if the key doesn't exist or this change deleted it
 * @param modRevision the revision of the key's last change, or 0 if the key was read and doesn't
 *     exist
 */
public record KeyValue(String key, StoredEntry value, long modRevision) {}
