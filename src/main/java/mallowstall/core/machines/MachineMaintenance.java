package mallowstall.core.machines;

import mallowstall.core.kernel.EventClock;

/** Regular maintenance of the machines led here and of those that lack a leader. */
public final class MachineMaintenance {
  private final EventClock clock;
  private final ManagedMachines machines;
  private final MachineEntryWriter entryWriter;
  private final StatusPublisher statusPublisher;
  private final DirectCommands directCommands;
  private final LeaderRedirects redirects;
  private final MachineFailover failover;
  private final LeaseExpiryMonitor leaseExpiry;

  /** Does nothing before its first tick. */
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

  /** Runs the maintenance that is due; to be called every {@code Constants.TICK_MS}. */
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
