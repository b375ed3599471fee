package mallowstall.core.machines;

import mallowstall.Constants;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Declares the tasks of machines gone whose lease has surely expired. */
public final class LeaseExpiryMonitor {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.owner");

  private final CoreSettings settings;
  private final StateStore store;
  private final ManagedMachines machines;
  private final FencingTokens fencingTokens;
  private final StatusPublisher statusPublisher;

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
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

  /** Expires the leases of machines that nobody can have answered for long enough. */
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

  /**
   * Whether nobody can have answered the machine for so long that its tasks are gone for certain.
   */
  private boolean isLeaseExpired(ManagedMachine machine, long now) {
    long leaseMs =
        (long) (settings.workerLeaseMs() * (1 + 2 * Constants.CLOCK_DRIFT_FRACTION))
            + Constants.LEASE_EXPIRY_MARGIN_MS;
    if (machine.leaseExpired() || now - machine.lastResponseMs() <= leaseMs) {
      return false;
    }
    // unconfirmed: a former owner may still be answering it, unless it was our own former process
    // (a late copy of a report to that one may have told a session: that changes nothing)
    if (machine.formerLeaderMayAnswer()) {
      return false;
    }
    // Who owned it between the former process and this one may still be unknown here: a group's
    // record isn't compared with. Written off then, its tasks were started a second time.
    if (machine.recovered() && machine.fencingToken() > store.revision()) {
      return false;
    }
    // the mirror has passed the end of the lease and still names this controller
    return store.freshAtMs() > machine.lastResponseMs() + leaseMs;
  }

  private void expire(ManagedMachine machine, long now) {
    LOG.info(
        "machine {} written off with {} tasks: silent beyond its lease",
        machine.id(),
        machine.tasks().reportCount());
    machine.expireLease(now);
    statusPublisher.requestPublish();
  }
}
