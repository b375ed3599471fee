package mallowstall.core.kernel;

/**
 * A condition of a transaction, which requires that a key hasn't changed since a revision.
 *
 * @param modRevision the required revision of the key's last change, or 0 if the key must not exist
 */
public record Condition(String key, long modRevision) {}
