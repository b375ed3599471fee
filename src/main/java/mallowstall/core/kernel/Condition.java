package mallowstall.core.kernel;

/** A key that must stand at this version; 0: it must not exist. */
public record Condition(String key, long modRevision) {}
