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
    if (machine.raising || machine.raised) {
      return;
    }
    machine.raising = true;
    boolean asked =
        records.write(
            machine.id,
            machine.type.name(),
            machine.zone,
            machine.spot,
            reply -> {
              machine.raising = false;
              if (reply.code() != Code.OK || !machines.has(machine)) {
                return;
              }
              machine.token = reply.revision();
              machine.version = reply.revision();
              machine.confirmed = false;
              machine.raised = true;
              machine.touched = true;
              publisher.touch();
            });
    if (!asked) {
      machine.raising = false;
    }
  }
}
