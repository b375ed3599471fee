package mallowstall.core.model;

import java.util.List;

/**
 * A machine type that the cloud rents out (protocol, Cloud).
 *
 * @param name name of the type
 * @param cpus number of processors
 * @param gpus number of GPUs
 * @param memoryGb memory in gigabytes
 * @param cacheGb size of the image cache in gigabytes
 * @param fetchGbPerS rate at which images are fetched, in gigabytes per second
 * @param price price of an on-demand machine per hour
 * @param spotPrice price of a spot machine per hour
 * @param bootS usual time in seconds from the request to the first heartbeat
 * @param zones zones in which the type is available
 */
public record MachineType(
    String name,
    double cpus,
    double gpus,
    double memoryGb,
    double cacheGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    double bootS,
    List<String> zones) {}
