package mallowstall.core.kernel;

/**
 * A condition of a transaction.
 *
 * @param modRevision the revision of the key's last change; 0: the key doesn't exist
 */
public record Condition(String key, long modRevision) {}
