package mallowstall.core;

import java.util.function.Consumer;
import mallowstall.core.Model.Report;
import mallowstall.core.Model.ReportAnswer;
import mallowstall.core.Model.UserAnswer;

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
        public Consumer<UserAnswer> toUser(
            SimulatedController node, String job, Consumer<UserAnswer> user) {
          return user;
        }

        @Override
        public Consumer<ReportAnswer> toWorker(
            SimulatedController node, Report report, Consumer<ReportAnswer> worker) {
          return worker;
        }
      };

  /** What the controller's core calls instead of this world. */
  Effects effects(SimulatedController node, Effects world);

  /** Whom the core answers instead of this user, who asked about the job. */
  Consumer<UserAnswer> toUser(SimulatedController node, String job, Consumer<UserAnswer> user);

  /** Whom the core answers instead of this worker, which has sent the report. */
  Consumer<ReportAnswer> toWorker(
      SimulatedController node, Report report, Consumer<ReportAnswer> worker);
}
