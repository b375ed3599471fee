package mallowstall.core.model;

/**
 * Free capacity of one machine in a {@link DigestEntry}.
 *
 * @param machine id of the machine
 * @param freeCpus processors
 * @param freeGpus GPUs
 * @param freeMemoryGb GB of memory
 */
public record FreeCapacity(String machine, double freeCpus, double freeGpus, double freeMemoryGb) {}
