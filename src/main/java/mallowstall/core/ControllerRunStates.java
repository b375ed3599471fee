package mallowstall.core;

import java.util.function.Consumer;
import mallowstall.core.api.LocalRunStates;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.jobs.JobLeader;
import mallowstall.core.machines.MachineRunStates;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.RunObservation;
import mallowstall.core.model.RunStateQuestion;
import mallowstall.core.model.TaskLocations;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.TaskStatus;
import mallowstall.core.model.UnknownCause;

/** Combines what the modules for machines, for jobs and for the cluster know of running tasks. */
final class ControllerRunStates implements LocalRunStates {
  private final CoreSettings settings;
  private final ClusterView view;
  private final MachineRunStates machines;
  private final JobLeader jobs;

  ControllerRunStates(
      CoreSettings settings, ClusterView view, MachineRunStates machines, JobLeader jobs) {
    this.settings = settings;
    this.view = view;
    this.machines = machines;
    this.jobs = jobs;
  }

  @Override
  public RunObservation latestRunning(String job) {
    // Saves the search through all machines for the many jobs that wait for room.
    if (view.placedTasks(job) == 0) {
      return RunObservation.unknown(UnknownCause.NOT_OBSERVED);
    }
    return machines.latestRunning(job);
  }

  @Override
  public void observe(RunStateQuestion question, Consumer<RunObservation> callback) {
    machines.observe(question, callback);
  }

  @Override
  public TaskLocations locate(String job, long leaderEpoch) {
    return jobs.locateTasks(job, leaderEpoch);
  }

  @Override
  public String peerWithRunningTasks(String job) {
    if (view.runningTasks(job) == 0) {
      return null;
    }
    for (MachineView machine : view.machines()) {
      boolean isPeers = machine.leader() != null && !machine.leader().equals(settings.node());
      if (isPeers && machine.status() != null && hasRunningTask(machine, job)) {
        return machine.leader();
      }
    }
    return null;
  }

  private static boolean hasRunningTask(MachineView machine, String job) {
    for (TaskStatus task : machine.status().tasks()) {
      if (task.state() == TaskState.RUNNING && task.job().equals(job)) {
        return true;
      }
    }
    return false;
  }

  @Override
  public int reportedRunningTasks(String job) {
    return jobs.running(job);
  }
}
