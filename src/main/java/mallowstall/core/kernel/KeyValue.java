package mallowstall.core.kernel;

import mallowstall.core.model.StoredEntry;

/** {@code value} null with code OK: the key doesn't exist. */
public record KeyValue(String key, StoredEntry value, long modRevision) {}
