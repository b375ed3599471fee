package mallowstall.core.machines;

import mallowstall.core.kernel.EventClock;

/** Maintains machines led by this controller, and machines without a leader, periodically. */
public final class MachineMaintenance {
  private final EventClock clock;
  private final ManagedMachines machines;
  private final MachineEntryWriter entryWriter;
  private final StatusPublisher statusPublisher;
  private final DirectCommands directCommands;
  private final LeaderRedirects redirects;
  private final MachineFailover failover;
  private final LeaseExpiryMonitor leaseExpiry;

  /** Creates an instance that does nothing before its first tick. */
  public MachineMaintenance(
      EventClock clock,
      ManagedMachines machines,
      MachineEntryWriter entryWriter,
      StatusPublisher statusPublisher,
      DirectCommands directCommands,
      LeaderRedirects redirects,
      MachineFailover failover,
      LeaseExpiryMonitor leaseExpiry) {
    this.clock = clock;
    this.machines = machines;
    this.entryWriter = entryWriter;
    this.statusPublisher = statusPublisher;
    this.directCommands = directCommands;
    this.redirects = redirects;
    this.failover = failover;
    this.leaseExpiry = leaseExpiry;
  }

  /** Runs the maintenance that is due. Called every {@code Constants.TICK_MS} milliseconds. */
  public void tick() {
    long now = clock.now();
    failover.tick(now);
    redirects.expire(now);
    leaseExpiry.tick(now);
    entryWriter.deleteObsoleteGroups(now);
    for (ManagedMachine machine : machines.all()) {
      if (machine.tasks().hasPendingCommands()) {
        directCommands.enqueue(machine);
      }
    }
    directCommands.sendPending();
    statusPublisher.tick(now);
  }
}
