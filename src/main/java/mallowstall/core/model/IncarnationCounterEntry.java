package mallowstall.core.model;

/**
 * The counter from which starting controller processes take their incarnation.
 *
 * @param value the last incarnation that was given out
 */
public record IncarnationCounterEntry(long value) implements StoredEntry {}
