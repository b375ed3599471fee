package mallowstall.core.model;

/** Free room of one machine, as a digest tells it. */
public record FreeCapacity(String machine, double freeCpus, double freeGpus, double freeMemoryGb) {}
