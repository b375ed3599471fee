package mallowstall.core.model;

/**
 * Free capacity of one machine in a {@link DigestEntry}.
 *
 * @param machine id of the machine
 * @param freeCpus number of free processors
 * @param freeGpus number of free GPUs
 * @param freeMemoryGb free memory in gigabytes
 */
public record FreeCapacity(String machine, double freeCpus, double freeGpus, double freeMemoryGb) {}
