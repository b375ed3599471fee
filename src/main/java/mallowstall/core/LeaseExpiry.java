package mallowstall.core;

import mallowstall.Constants;
import mallowstall.core.Model.CoreSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Declares the tasks of machines gone whose lease has surely expired. */
final class LeaseExpiry {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.owner");

  private final CoreSettings settings;
  private final Store store;
  private final OwnedMachines machines;
  private final Terms terms;
  private final RosterPublisher publisher;

  LeaseExpiry(
      CoreSettings settings,
      Store store,
      OwnedMachines machines,
      Terms terms,
      RosterPublisher publisher) {
    this.settings = settings;
    this.store = store;
    this.machines = machines;
    this.terms = terms;
    this.publisher = publisher;
  }

  /** Expires the leases of machines that nobody can have answered for long enough. */
  void tick(long now) {
    for (OwnedMachine machine : machines.all()) {
      if (machine.commandLost && !machine.termRaised) {
        terms.raise(machine);
      }
      if (leaseIsOver(machine, now)) {
        writeOff(machine, now);
      }
    }
  }

  /**
   * Whether nobody can have answered the machine for so long that its tasks are gone for certain.
   */
  private boolean leaseIsOver(OwnedMachine machine, long now) {
    long leaseMs =
        (long) (settings.leaseMs() * (1 + 2 * Constants.DRIFT)) + Constants.WRITE_OFF_MARGIN_MS;
    if (machine.lost || now - machine.answeredAt <= leaseMs) {
      return false;
    }
    // unconfirmed: a former owner may still be answering it, unless it was our own former process
    // (a late copy of a report to that one may have told a session: that changes nothing)
    if (!machine.confirmed && (!machine.reclaimed || machine.disputed)) {
      return false;
    }
    // Who owned it between the former process and this one may still be unknown here: a group's
    // record isn't compared with. Written off then, its tasks were started a second time.
    if (machine.reclaimed && machine.version > store.revision()) {
      return false;
    }
    // the mirror has passed the end of the lease and still names this controller
    return store.freshAt() > machine.answeredAt + leaseMs;
  }

  private void writeOff(OwnedMachine machine, long now) {
    LOG.info(
        "machine {} written off with {} tasks: silent beyond its lease",
        machine.id,
        machine.tasks.size());
    machine.writeOff(now);
    publisher.touch();
  }
}
