package mallowstall.core;

/** The regular duties towards the machines that report to this controller. */
final class Owner {
  private final EventClock clock;
  private final OwnedMachines machines;
  private final MachineRecords records;
  private final RosterPublisher publisher;
  private final DirectCommands commands;
  private final MachineAdoption adoption;
  private final OrphanTakeover orphans;
  private final LeaseExpiry leases;

  Owner(
      EventClock clock,
      OwnedMachines machines,
      MachineRecords records,
      RosterPublisher publisher,
      DirectCommands commands,
      MachineAdoption adoption,
      OrphanTakeover orphans,
      LeaseExpiry leases) {
    this.clock = clock;
    this.machines = machines;
    this.records = records;
    this.publisher = publisher;
    this.commands = commands;
    this.adoption = adoption;
    this.orphans = orphans;
    this.leases = leases;
  }

  /** The regular duties. */
  void tick() {
    long now = clock.now();
    orphans.tick(now);
    adoption.expire(now);
    leases.tick(now);
    records.sweep(now);
    for (OwnedMachine machine : machines.all()) {
      if (!machine.stops.isEmpty() || !machine.reservations.isEmpty()) {
        commands.wanted(machine);
      }
    }
    commands.push();
    publisher.tick(now);
  }
}
