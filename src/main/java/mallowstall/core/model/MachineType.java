package mallowstall.core.model;

import java.util.List;

/** A type of machine that can be rented. */
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
