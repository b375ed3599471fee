package mallowstall.core;

import java.util.function.Consumer;
import mallowstall.core.kernel.Effects;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.HeartbeatResponse;

/** Stands between the cores of a simulation and its world, and sees everything that leaves them. */
interface Recorder {
  /** Records nothing, and puts nothing in between. */
  Recorder OFF =
      new Recorder() {
        @Override
        public Effects effects(SimulatedController node, Effects world) {
          return world;
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

  /** What the controller's core calls instead of this world. */
  Effects effects(SimulatedController node, Effects world);

  /** Whom the core answers instead of this user, who asked about the job. */
  Consumer<ApiResponse> toUser(SimulatedController node, String job, Consumer<ApiResponse> user);

  /** Whom the core answers instead of this worker, which has sent the heartbeat. */
  Consumer<HeartbeatResponse> toWorker(
      SimulatedController node, Heartbeat heartbeat, Consumer<HeartbeatResponse> worker);
}
