package mallowstall.core.kernel;

import mallowstall.core.model.StoredEntry;

/**
 * A write of a new value to a key.
 *
 * @param leaseId the lease whose end deletes the key, or 0 if the key is attached to no lease
 */
public record PutOperation(String key, StoredEntry value, long leaseId) {}
