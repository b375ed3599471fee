package mallowstall.core;

import java.util.function.Consumer;
import mallowstall.core.kernel.Effects;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.HeartbeatResponse;

/**
 * Intercepts everything that leaves the cores of a simulation: calls and messages, and answers to
 * users and workers.
 */
interface Recorder {
  /** Intercepts nothing. */
  Recorder OFF =
      new Recorder() {
        @Override
        public Effects effects(SimulatedController node, Effects delegate) {
          return delegate;
        }

        @Override
        public Consumer<ApiResponse> toUser(
            SimulatedController node, String job, Consumer<ApiResponse> user) {
          return user;
        }

        @Override
        public Consumer<HeartbeatResponse> toWorker(
            SimulatedController node, Heartbeat heartbeat, Consumer<HeartbeatResponse> worker) {
          return worker;
        }
      };

  /** Returns the effects that the controller's core calls instead of the delegate. */
  Effects effects(SimulatedController node, Effects delegate);

  /** Returns the receiver of the answer instead of the user, whose request is about the job. */
  Consumer<ApiResponse> toUser(SimulatedController node, String job, Consumer<ApiResponse> user);

  /** Returns the receiver of the response instead of the worker, which sent the heartbeat. */
  Consumer<HeartbeatResponse> toWorker(
      SimulatedController node, Heartbeat heartbeat, Consumer<HeartbeatResponse> worker);
}
