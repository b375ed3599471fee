package mallowstall.core.model;

import java.util.List;

/**
 * A machine type that the cloud rents out (protocol, Cloud).
 *
 * @param name name of the type
 * @param cpus processors
 * @param gpus GPUs
 * @param memoryGb GB of memory
 * @param cacheGb GB of the image cache
 * @param fetchGbPerS GB per second at which images are fetched
 * @param price price of an on-demand machine per hour
 * @param spotPrice price of a spot machine per hour
 * @param bootS s from the request to the first heartbeat, usually
 * @param zones zones in which the type can be had
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
