package mallowstall.core.model;

import java.util.List;
import java.util.Map;

/** What the core needs of the settings. */
public record CoreSettings(
    String node,
    List<String> peers,
    Map<String, String> nodeZones,
    Map<String, Team> teams,
    long heartbeatIntervalMs,
    long workerLeaseMs,
    long cancellationDeadlineMs,
    long maxClockSkewMs,
    double stateRequestsPerS,
    double stateWritesPerS,
    int maxTransactionOps,
    int maxValueBytes,
    double cloudRequestsPerS,
    long inventoryLagMs,
    Map<String, Double> deadlineFactors,
    int programVersion) {}
