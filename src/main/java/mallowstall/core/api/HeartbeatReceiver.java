package mallowstall.core.api;

import java.util.function.Consumer;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.HeartbeatResponse;

/** Receives the heartbeats of workers (protocol, Workers). Must be called on the event loop. */
public interface HeartbeatReceiver {
  /**
   * Handles a heartbeat. {@code reply} is called on the event loop, possibly before this method
   * returns.
   */
  void handleHeartbeat(Heartbeat heartbeat, Consumer<HeartbeatResponse> reply);
}
