package mallowstall.core.model;

import java.util.List;
import java.util.Map;

/**
 * Builds a core's settings for tests. What no test sets is the same for all: a heartbeat each
 * second, leases of 10 s, cancellations within 35 s, and no teams, zones or peers.
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

  /** The settings of the controller of this name. */
  public static CoreSettingsBuilder settingsOf(String node) {
    return new CoreSettingsBuilder(node);
  }

  /** The names of the other controllers. */
  public CoreSettingsBuilder peers(List<String> value) {
    peers = value;
    return this;
  }

  /** The zone of each controller. */
  public CoreSettingsBuilder nodeZones(Map<String, String> value) {
    nodeZones = value;
    return this;
  }

  /** The teams with their quotas, by name. */
  public CoreSettingsBuilder teams(Map<String, Team> value) {
    teams = value;
    return this;
  }

  /** How often workers send heartbeats, how long their leases last, how soon jobs are cancelled. */
  public CoreSettingsBuilder timesMs(long heartbeatInterval, long workerLease, long cancellation) {
    heartbeatIntervalMs = heartbeatInterval;
    workerLeaseMs = workerLease;
    cancellationDeadlineMs = cancellation;
    return this;
  }

  /** Requests to the state service, and writes among them, in a second. */
  public CoreSettingsBuilder stateRates(double requestsPerS, double writesPerS) {
    stateRequestsPerS = requestsPerS;
    stateWritesPerS = writesPerS;
    return this;
  }

  /** What the state service takes in one transaction, and in one value. */
  public CoreSettingsBuilder stateLimits(int transactionOps, int valueBytes) {
    maxTransactionOps = transactionOps;
    maxValueBytes = valueBytes;
    return this;
  }

  /** How often the cloud may be asked, and how late its inventory may be. */
  public CoreSettingsBuilder cloud(double requestsPerS, long lagMs) {
    cloudRequestsPerS = requestsPerS;
    inventoryLagMs = lagMs;
    return this;
  }

  /** The program version that the controller shows to its peers. */
  public CoreSettingsBuilder programVersion(int value) {
    programVersion = value;
    return this;
  }

  /** The settings as set so far. */
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
