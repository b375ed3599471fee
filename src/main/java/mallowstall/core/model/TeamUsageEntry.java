package mallowstall.core.model;

/**
 * Sum of all quota reservations of a team.
 *
 * @param reservedCpus number of reserved processors
 * @param reservedGpus number of reserved GPUs
 */
public record TeamUsageEntry(double reservedCpus, double reservedGpus) implements StoredEntry {}
