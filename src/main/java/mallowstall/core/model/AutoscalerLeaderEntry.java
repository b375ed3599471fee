package mallowstall.core.model;

/** Who has the cloud duty. */
public record AutoscalerLeaderEntry(String node, long incarnation) implements StoredEntry {}
