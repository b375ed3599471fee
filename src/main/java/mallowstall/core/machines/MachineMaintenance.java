package mallowstall.core.machines;

import mallowstall.core.kernel.EventClock;

/** The regular duties towards the machines that report to this controller. */
public final class MachineMaintenance {
  private final EventClock clock;
  private final ManagedMachines machines;
  private final MachineEntryWriter entryWriter;
  private final StatusPublisher statusPublisher;
  private final DirectCommands directCommands;
  private final MachineRegistration registration;
  private final MachineFailover failover;
  private final LeaseExpiryMonitor leaseExpiry;

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public MachineMaintenance(
      EventClock clock,
      ManagedMachines machines,
      MachineEntryWriter entryWriter,
      StatusPublisher statusPublisher,
      DirectCommands commands,
      MachineRegistration registration,
      MachineFailover failover,
      LeaseExpiryMonitor leaseExpiry) {
    this.clock = clock;
    this.machines = machines;
    this.entryWriter = entryWriter;
    this.statusPublisher = statusPublisher;
    this.directCommands = commands;
    this.registration = registration;
    this.failover = failover;
    this.leaseExpiry = leaseExpiry;
  }

  /** The regular duties. */
  public void tick() {
    long now = clock.now();
    failover.tick(now);
    registration.expireRedirects(now);
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
