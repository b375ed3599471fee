package mallowstall.core.api;

import java.util.function.Consumer;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.HeartbeatResponse;

/** What takes the heartbeats of workers (protocol, Workers). To be called on the event loop. */
public interface HeartbeatReceiver {
  /** A worker has sent a heartbeat; the response is given on the event loop, at once or later. */
  void handleHeartbeat(Heartbeat heartbeat, Consumer<HeartbeatResponse> reply);
}
