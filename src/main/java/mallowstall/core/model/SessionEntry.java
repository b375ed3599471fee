package mallowstall.core.model;

/** A controller's present process, on its lease. */
public record SessionEntry(String node, long incarnation) implements StoredEntry {}
