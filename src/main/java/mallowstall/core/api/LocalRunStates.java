package mallowstall.core.api;

import java.util.function.Consumer;
import mallowstall.core.model.RunObservation;
import mallowstall.core.model.RunStateQuestion;
import mallowstall.core.model.TaskLocations;

/** What this controller itself knows about running tasks, as a leader of machines and of jobs. */
public interface LocalRunStates {
  /**
   * Returns the newest observation that tasks of the job run on this controller's machines, or an
   * unknown one.
   */
  RunObservation latestRunning(String job);

  /**
   * Answers a question from this controller's machines alone. The callback is called once, possibly
   * before this method returns.
   */
  void observe(RunStateQuestion question, Consumer<RunObservation> callback);

  /**
   * Returns the machines on which tasks of the job may be, or null if this controller doesn't lead
   * the job in this leader epoch.
   */
  TaskLocations locate(String job, long leaderEpoch);

  /**
   * Returns a peer whose last status update shows running tasks of the job, or null if none does.
   */
  String peerWithRunningTasks(String job);

  /** Returns the number of running tasks of the job that the last status updates show. */
  int reportedRunningTasks(String job);
}
