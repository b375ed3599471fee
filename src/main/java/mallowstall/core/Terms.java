package mallowstall.core;

import mallowstall.core.Effects.Code;

/** Raises the term of machines: commands that went astray under a smaller one are dead then. */
final class Terms {
  private final OwnedMachines machines;
  private final MachineRecords records;
  private final RosterPublisher publisher;

  Terms(OwnedMachines machines, MachineRecords records, RosterPublisher publisher) {
    this.machines = machines;
    this.records = records;
    this.publisher = publisher;
  }

  /**
   * Once the worker has shown a larger term, commands that went astray under the old one are dead.
   */
  void raise(OwnedMachine machine) {
    if (machine.termChanging || machine.termRaised) {
      return;
    }
    machine.termChanging = true;
    boolean asked =
        records.write(
            machine.id,
            machine.type.name(),
            machine.zone,
            machine.spot,
            reply -> {
              machine.termChanging = false;
              if (reply.code() != Code.OK || !machines.has(machine)) {
                return;
              }
              machine.term = reply.revision();
              machine.version = reply.revision();
              machine.confirmed = false;
              machine.termRaised = true;
              machine.changed = true;
              publisher.touch();
            });
    if (!asked) {
      machine.termChanging = false;
    }
  }
}
