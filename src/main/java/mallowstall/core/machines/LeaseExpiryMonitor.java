package mallowstall.core.machines;

import mallowstall.Constants;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.kernel.Metrics;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Expires the leases of workers that have certainly ended their tasks (protocol, Leases). */
public final class LeaseExpiryMonitor {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.machines");

  /**
   * Time in milliseconds from the end of a worker's lease, extended by the clock drift, until the
   * worker's tasks are considered ended.
   */
  private static final long LEASE_EXPIRY_MARGIN_MS = 700;

  /** Interval in milliseconds at which machines whose leases are held open are logged again. */
  private static final long HELD_OPEN_LOG_INTERVAL_MS = 5_000;

  /** Time in milliseconds after the end of a lease within which its expiry is usually certain. */
  private static final long HELD_OPEN_LOG_MIN_MS = 3_000;

  private static final String HELD_OPEN_GAUGE = "leases_held_open";

  private final CoreSettings settings;
  private final Metrics metrics;
  private final StateStore store;
  private final ClusterView view;
  private final ManagedMachines machines;
  private final FencingTokens fencingTokens;
  private final StatusPublisher statusPublisher;

  private long nextHeldOpenLogMs;

  /** Creates a monitor that expires no lease before its first tick. */
  public LeaseExpiryMonitor(
      CoreSettings settings,
      Metrics metrics,
      StateStore store,
      ClusterView view,
      ManagedMachines machines,
      FencingTokens fencingTokens,
      StatusPublisher statusPublisher) {
    this.settings = settings;
    this.metrics = metrics;
    this.store = store;
    this.view = view;
    this.machines = machines;
    this.fencingTokens = fencingTokens;
    this.statusPublisher = statusPublisher;
  }

  /** Expires leases that have run out and raises fencing tokens that could not be raised before. */
  void tick(long now) {
    int heldOpen = 0;
    for (ManagedMachine machine : machines.all()) {
      if (machine.commands().needsTokenRaise()) {
        fencingTokens.raise(machine);
      }
      if (machine.formerLeaderMayAnswer() && haveOthersReleased(machine)) {
        machine.recordReleasedByOthers(now);
      }
      if (isLeaseExpired(machine, now)) {
        expire(machine, now);
      } else if (isOverdue(machine, now)) {
        heldOpen++;
        logHeldOpen(machine, now);
      }
    }
    metrics.setGauge(HELD_OPEN_GAUGE, heldOpen);
    if (now >= nextHeldOpenLogMs) {
      nextHeldOpenLogMs = now + HELD_OPEN_LOG_INTERVAL_MS;
    }
  }

  /**
   * Returns whether the replica of every other controller has passed the write of the machine's
   * fencing token. A controller that applies that write leads the machine no more.
   */
  private boolean haveOthersReleased(ManagedMachine machine) {
    for (String peer : settings.peers()) {
      if (view.peer(peer).replicaRevision() < machine.fencingToken()) {
        return false;
      }
    }
    return true;
  }

  private long leaseMs() {
    return (long) (settings.workerLeaseMs() * (1 + 2 * Constants.CLOCK_DRIFT_FRACTION))
        + LEASE_EXPIRY_MARGIN_MS;
  }

  /** Returns whether the last known response to the worker is longer ago than the lease. */
  private boolean isOverdue(ManagedMachine machine, long now) {
    return !machine.leaseExpired() && now - machine.lastRenewalMs() > leaseMs();
  }

  private void logHeldOpen(ManagedMachine machine, long now) {
    boolean isRecentlyOverdue = now - machine.lastRenewalMs() < leaseMs() + HELD_OPEN_LOG_MIN_MS;
    if (now < nextHeldOpenLogMs || isRecentlyOverdue) {
      return;
    }
    LOG.info(
        "machine lease held open machine={} token={} token_acknowledged={} former_leader={}"
            + " unanswered_ms={} silent_ms={} tasks={}",
        machine.id(),
        machine.fencingToken(),
        machine.tokenAcknowledged(),
        machine.formerLeaderMayAnswer(),
        now - machine.lastResponseMs(),
        now - machine.lastHeartbeatMs(),
        machine.tasks().reportCount());
  }

  /** Returns whether the last possible renewal by any controller is longer ago than the lease. */
  private boolean isLeaseExpired(ManagedMachine machine, long now) {
    if (!isOverdue(machine, now) || machine.formerLeaderMayAnswer()) {
      return false;
    }
    // Another controller may have led the machine between the former process and this one. Group
    // entries are written without a condition on a machine's entry, so that controller is unknown
    // here until the state replica has passed the revision of this controller's write.
    if (machine.recovered() && machine.fencingToken() > store.revision()) {
      return false;
    }
    // The state replica has passed the end of the lease and still names this controller as leader.
    return store.freshAtMs() > machine.lastRenewalMs() + leaseMs();
  }

  private void expire(ManagedMachine machine, long now) {
    LOG.info(
        "machine lease expired machine={} tasks={}", machine.id(), machine.tasks().reportCount());
    machine.expireLease(now);
    statusPublisher.requestPublish();
  }
}
