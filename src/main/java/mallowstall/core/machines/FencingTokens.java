package mallowstall.core.machines;

import mallowstall.core.kernel.ResultCode;

/** Raises fencing tokens, which invalidates commands of unknown outcome under smaller ones. */
public final class FencingTokens {
  private final ManagedMachines machines;
  private final MachineEntryWriter entryWriter;
  private final StatusPublisher statusPublisher;

  /** Raises tokens through the entry writer and publishes them. */
  public FencingTokens(
      ManagedMachines machines, MachineEntryWriter entryWriter, StatusPublisher statusPublisher) {
    this.machines = machines;
    this.entryWriter = entryWriter;
    this.statusPublisher = statusPublisher;
  }

  /**
   * Writes the machine's entry anew, so that its revision becomes a larger token; nothing if this
   * is under way or done already. Once the worker acknowledges it, it ignores older commands.
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
