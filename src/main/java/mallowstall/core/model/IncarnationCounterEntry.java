package mallowstall.core.model;

/**
 * The counter from which each starting controller process takes its incarnation.
 *
 * @param value the last incarnation that was assigned
 */
public record IncarnationCounterEntry(long value) implements StoredEntry {}
