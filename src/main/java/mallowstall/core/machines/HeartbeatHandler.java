package mallowstall.core.machines;

import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.HeartbeatResponse;

/** Handles heartbeats that the workers of machines led by this controller send by themselves. */
public final class HeartbeatHandler {
  private final HeartbeatApplier applier;
  private final HeartbeatResponder responder;

  /** Creates a handler that applies each heartbeat before it builds the response. */
  public HeartbeatHandler(HeartbeatApplier applier, HeartbeatResponder responder) {
    this.applier = applier;
    this.responder = responder;
  }

  /** Applies the heartbeat and returns the response with the commands for the worker. */
  HeartbeatResponse handle(ManagedMachine machine, Heartbeat heartbeat) {
    applier.apply(machine, heartbeat, true);
    return responder.respond(machine);
  }
}
