package mallowstall.core.model;

/** The counter of incarnations. */
public record IncarnationCounterEntry(long value) implements StoredEntry {}
