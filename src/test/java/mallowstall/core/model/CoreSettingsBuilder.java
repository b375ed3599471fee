package mallowstall.core.model;

import java.util.List;
import java.util.Map;

/**
 * Builds the settings of a controller core for tests. By default workers send a heartbeat each
 * second, worker leases last 10 s, cancellations take at most 35 s, and there are no teams, zones
 * or peers.
 */
public final class CoreSettingsBuilder {
  private final String node;
  private List<String> peers = List.of();
  private Map<String, String> nodeZones = Map.of();
  private Map<String, Team> teams = Map.of();
  private long heartbeatIntervalMs = 1_000;
  private long workerLeaseMs = 10_000;
  private long cancellationDeadlineMs = 35_000;
  private double stateRequestsPerS = 300;
  private double stateWritesPerS = 120;
  private int maxTransactionOps = 24;
  private int maxValueBytes = 8_192;
  private double cloudRequestsPerS = 5;
  private long inventoryLagMs = 2_000;
  private int programVersion = ProgramVersion.CURRENT;

  private CoreSettingsBuilder(String node) {
    this.node = node;
  }

  /** Returns a builder for the settings of the controller with this name. */
  public static CoreSettingsBuilder settingsOf(String node) {
    return new CoreSettingsBuilder(node);
  }

  /** Sets the names of the other controllers. */
  public CoreSettingsBuilder peers(List<String> value) {
    peers = value;
    return this;
  }

  /** Sets the zone of each controller, by its name. */
  public CoreSettingsBuilder nodeZones(Map<String, String> value) {
    nodeZones = value;
    return this;
  }

  /** Sets the teams with their quotas, by name. */
  public CoreSettingsBuilder teams(Map<String, Team> value) {
    teams = value;
    return this;
  }

  /** Sets the heartbeat interval, the worker lease and the maximum duration of a cancellation. */
  public CoreSettingsBuilder timesMs(long heartbeatInterval, long workerLease, long cancellation) {
    heartbeatIntervalMs = heartbeatInterval;
    workerLeaseMs = workerLease;
    cancellationDeadlineMs = cancellation;
    return this;
  }

  /** Sets the maximum requests to the state service per second, and the writes among them. */
  public CoreSettingsBuilder stateRateLimits(double requestsPerS, double writesPerS) {
    stateRequestsPerS = requestsPerS;
    stateWritesPerS = writesPerS;
    return this;
  }

  /** Sets the maximum operations of a transaction and the maximum bytes of a value. */
  public CoreSettingsBuilder stateLimits(int transactionOps, int valueBytes) {
    maxTransactionOps = transactionOps;
    maxValueBytes = valueBytes;
    return this;
  }

  /** Sets the maximum requests to the cloud per second and the maximum lag of its inventory. */
  public CoreSettingsBuilder cloudLimits(double requestsPerS, long lagMs) {
    cloudRequestsPerS = requestsPerS;
    inventoryLagMs = lagMs;
    return this;
  }

  /** Sets the program version that the controller publishes to its peers. */
  public CoreSettingsBuilder programVersion(int value) {
    programVersion = value;
    return this;
  }

  /** Returns the settings with the values set so far. */
  public CoreSettings build() {
    return new CoreSettings(
        node,
        peers,
        nodeZones,
        teams,
        heartbeatIntervalMs,
        workerLeaseMs,
        cancellationDeadlineMs,
        25,
        stateRequestsPerS,
        stateWritesPerS,
        maxTransactionOps,
        maxValueBytes,
        cloudRequestsPerS,
        inventoryLagMs,
        Map.of(),
        programVersion);
  }
}
