package mallowstall.core.model;

import java.util.List;
import java.util.Map;

/**
 * What the core needs of the settings. The limits are the lowest that the settings announce.
 *
 * @param node name of this controller
 * @param peers names of the other controllers
 * @param nodeZones zone by controller, this one included; empty where the settings name none
 * @param teams teams by name
 * @param heartbeatIntervalMs ms between two heartbeats of a worker
 * @param workerLeaseMs ms after which a worker without contact to a controller ends its tasks
 * @param cancellationDeadlineMs ms within which the tasks of a cancelled job must have ended
 * @param maxClockSkewMs ms by which the times of day of two controllers differ at most
 * @param stateRequestsPerS requests per second to the state service, shared by all controllers
 * @param stateWritesPerS writes per second to the state service, shared by all controllers
 * @param maxTransactionOps most operations of one transaction
 * @param maxValueBytes bytes of the largest value in the state service
 * @param cloudRequestsPerS requests per second to the cloud
 * @param inventoryLagMs ms by which the cloud's list of machines lags
 * @param deadlineFactors by job class, the largest multiple of the deadline that an objective still
 *     counts
 * @param programVersion version that this controller shows to its peers; see {@link ProgramVersion}
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
