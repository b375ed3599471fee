package mallowstall.core.model;

/**
 * Sum of all quota reservations of a team.
 *
 * @param reservedCpus processors
 * @param reservedGpus GPUs
 */
public record TeamUsageEntry(double reservedCpus, double reservedGpus) implements StoredEntry {}
