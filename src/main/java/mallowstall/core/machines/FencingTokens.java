package mallowstall.core.machines;

import mallowstall.core.kernel.ResultCode;

/** Raises the term of machines: commands that went astray under a smaller one are dead then. */
public final class FencingTokens {
  private final ManagedMachines machines;
  private final MachineEntryWriter entryWriter;
  private final StatusPublisher statusPublisher;

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public FencingTokens(
      ManagedMachines machines, MachineEntryWriter entryWriter, StatusPublisher statusPublisher) {
    this.machines = machines;
    this.entryWriter = entryWriter;
    this.statusPublisher = statusPublisher;
  }

  /**
   * Once the worker has shown a larger term, commands that went astray under the old one are dead.
   */
  void raise(ManagedMachine machine) {
    if (!machine.commands().beginTokenWrite()) {
      return;
    }
    boolean accepted =
        entryWriter.writeEntry(
            machine.id(),
            machine.type().name(),
            machine.zone(),
            machine.spot(),
            reply -> {
              machine.commands().endTokenWrite();
              if (reply.code() != ResultCode.OK || !machines.isCurrent(machine)) {
                return;
              }
              machine.raiseFencingToken(reply.revision());
              statusPublisher.requestPublish();
            });
    if (!accepted) {
      machine.commands().endTokenWrite();
    }
  }
}
