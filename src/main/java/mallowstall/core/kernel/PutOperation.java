package mallowstall.core.kernel;

import mallowstall.core.model.StoredEntry;

/**
 * A new value of a key.
 *
 * @param leaseId the lease with which the key is deleted; 0: it stays
 */
public record PutOperation(String key, StoredEntry value, long leaseId) {}
