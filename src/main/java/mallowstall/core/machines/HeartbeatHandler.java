package mallowstall.core.machines;

import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.HeartbeatResponse;

/** Handles heartbeats that workers of machines led here send by themselves. */
public final class HeartbeatHandler {
  private final HeartbeatApplier applier;
  private final HeartbeatResponder responder;

  /** Handles heartbeats by taking them in first and answering from the new state. */
  public HeartbeatHandler(HeartbeatApplier applier, HeartbeatResponder responder) {
    this.applier = applier;
    this.responder = responder;
  }

  /** Takes in the heartbeat and returns the commands for the worker. */
  HeartbeatResponse handle(ManagedMachine machine, Heartbeat heartbeat) {
    applier.apply(machine, heartbeat, true);
    return responder.respond(machine);
  }
}
