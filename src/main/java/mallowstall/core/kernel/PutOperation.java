package mallowstall.core.kernel;

import mallowstall.core.model.StoredEntry;

/** A key's new value, attached to this lease; 0: to none. */
public record PutOperation(String key, StoredEntry value, long leaseId) {}
