package mallowstall.core.machines;

import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.MachineEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Raises the tokens of machines to invalidate commands that were sent under smaller tokens. */
public final class FencingTokens {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.machines");

  private final StateStore store;
  private final ManagedMachines machines;
  private final MachineEntryWriter entryWriter;
  private final StatusPublisher statusPublisher;

  /** Creates an instance that stores tokens with the entry writer and publishes them. */
  public FencingTokens(
      StateStore store,
      ManagedMachines machines,
      MachineEntryWriter entryWriter,
      StatusPublisher statusPublisher) {
    this.store = store;
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
              LOG.debug(
                  "token raised machine={} from={} to={}",
                  machine.id(),
                  machine.fencingToken(),
                  reply.revision());
              machine.raiseFencingToken(reply.revision());
              statusPublisher.requestPublish();
            });
    if (!accepted) {
      machine.commands().endTokenWrite();
    }
  }

  /**
   * Raises the token that the machine's commands carry to the revision of the state replica,
   * without a write. Up to that revision the replica names this leadership, so any other leader's
   * entry, whose revision is its token, is either older than this one's or newer than the revision
   * (docs/design.md, ran_twice).
   *
   * @return false if the token was not raised, because the replica isn't complete or has not
   *     advanced, names another leadership, or a request or token write has no known outcome
   */
  boolean raiseCommandToken(ManagedMachine machine) {
    long revision = store.revision();
    if (revision <= machine.commandToken() || !machine.commands().ready() || !isRecorded(machine)) {
      return false;
    }
    machine.raiseCommandToken(revision);
    return true;
  }

  private boolean isRecorded(ManagedMachine machine) {
    MachineEntry entry = store.machine(machine.id());
    return entry != null && entry.fencingToken() == machine.fencingToken();
  }
}
