package mallowstall.core.model;

import java.util.List;
import java.util.Map;

/**
 * The settings that the core needs. The limits are the lowest that the settings announce.
 *
 * @param node name of this controller
 * @param peers names of the other controllers
 * @param nodeZones zone of each controller, including this one; empty if the settings name none
 * @param teams teams by name
 * @param heartbeatIntervalMs time in milliseconds between two heartbeats of a worker
 * @param workerLeaseMs time in milliseconds after which a worker without contact to a controller
 *     ends its tasks
 * @param cancellationDeadlineMs time in milliseconds within which the tasks of a cancelled job must
 *     have ended
 * @param maxClockSkewMs maximum difference in milliseconds between the times of day of two
 *     controllers
 * @param stateRequestsPerS maximum number of requests per second to the state service, shared by
 *     all controllers
 * @param stateWritesPerS maximum number of writes per second to the state service, shared by all
 *     controllers
 * @param maxTransactionOps maximum number of operations of one transaction
 * @param maxValueBytes maximum size in bytes of a value in the state service
 * @param cloudRequestsPerS maximum number of requests per second to the cloud
 * @param inventoryLagMs time in milliseconds by which the cloud's inventory lags
 * @param deadlineFactors for each job class, the largest multiple of the deadline that an objective
 *     still counts
 * @param programVersion version that this controller publishes to its peers; see {@link
 *     ProgramVersion}
 */
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
