package mallowstall.core.machines;

import mallowstall.core.kernel.ResultCode;

/** Raises fencing tokens to invalidate commands of unknown outcome under smaller tokens. */
public final class FencingTokens {
  private final ManagedMachines machines;
  private final MachineEntryWriter entryWriter;
  private final StatusPublisher statusPublisher;

  /** Creates an instance that stores tokens with the entry writer and publishes them. */
  public FencingTokens(
      ManagedMachines machines, MachineEntryWriter entryWriter, StatusPublisher statusPublisher) {
    this.machines = machines;
    this.entryWriter = entryWriter;
    this.statusPublisher = statusPublisher;
  }

  /**
   * Writes the machine's entry again, so that the revision of the write becomes a larger fencing
   * token. Does nothing if a write is in flight or the token has already been raised. Once the
   * worker acknowledges the larger token, the worker ignores commands under smaller tokens.
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
