package mallowstall.core.machines;

import mallowstall.Constants;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Expires the leases of workers that certainly have ended their tasks (protocol, Leases). */
public final class LeaseExpiryMonitor {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.machines");

  /** ms. Added to a worker's lease and the clock drift before its tasks count as lost. */
  private static final long LEASE_EXPIRY_MARGIN_MS = 700;

  private final CoreSettings settings;
  private final StateStore store;
  private final ManagedMachines machines;
  private final FencingTokens fencingTokens;
  private final StatusPublisher statusPublisher;

  /** Expires nothing before its first tick. */
  public LeaseExpiryMonitor(
      CoreSettings settings,
      StateStore store,
      ManagedMachines machines,
      FencingTokens fencingTokens,
      StatusPublisher statusPublisher) {
    this.settings = settings;
    this.store = store;
    this.machines = machines;
    this.fencingTokens = fencingTokens;
    this.statusPublisher = statusPublisher;
  }

  /** Expires leases that are over and raises tokens that could not be raised before. */
  void tick(long now) {
    for (ManagedMachine machine : machines.all()) {
      if (machine.commands().needsTokenRaise()) {
        fencingTokens.raise(machine);
      }
      if (isLeaseExpired(machine, now)) {
        expire(machine, now);
      }
    }
  }

  /** Whether no controller can have renewed the worker's lease for longer than it lasts. */
  private boolean isLeaseExpired(ManagedMachine machine, long now) {
    long leaseMs =
        (long) (settings.workerLeaseMs() * (1 + 2 * Constants.CLOCK_DRIFT_FRACTION))
            + LEASE_EXPIRY_MARGIN_MS;
    if (machine.leaseExpired() || now - machine.lastResponseMs() <= leaseMs) {
      return false;
    }
    if (machine.formerLeaderMayAnswer()) {
      return false;
    }
    // another controller may have led it between the former process and this one, unknown here
    // until the replica has passed the own write, since group entries are written unconditionally
    if (machine.recovered() && machine.fencingToken() > store.revision()) {
      return false;
    }
    // the replica has passed the end of the lease and still names this controller as leader
    return store.freshAtMs() > machine.lastResponseMs() + leaseMs;
  }

  private void expire(ManagedMachine machine, long now) {
    LOG.info(
        "machine lease expired machine={} tasks={}", machine.id(), machine.tasks().reportCount());
    machine.expireLease(now);
    statusPublisher.requestPublish();
  }
}
