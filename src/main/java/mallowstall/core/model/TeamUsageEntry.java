package mallowstall.core.model;

/** What all running grants of a team add up to. */
public record TeamUsageEntry(double reservedCpus, double reservedGpus) implements StoredEntry {}
