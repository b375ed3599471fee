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
    if (machine.tokenWriteInFlight() || machine.tokenRaised()) {
      return;
    }
    machine.setTokenWriteInFlight(true);
    boolean accepted =
        entryWriter.writeEntry(
            machine.id(),
            machine.type().name(),
            machine.zone(),
            machine.spot(),
            reply -> {
              machine.setTokenWriteInFlight(false);
              if (reply.code() != ResultCode.OK || !machines.isCurrent(machine)) {
                return;
              }
              machine.setFencingToken(reply.revision());
              machine.setModRevision(reply.revision());
              machine.setTokenAcknowledged(false);
              machine.setTokenRaised(true);
              machine.setStatusChanged(true);
              statusPublisher.requestPublish();
            });
    if (!accepted) {
      machine.setTokenWriteInFlight(false);
    }
  }
}
