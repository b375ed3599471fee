package mallowstall.core.machines;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import mallowstall.core.cluster.ImageSizes;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.EventLoopLag;
import mallowstall.core.kernel.Metrics;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.RunObservation;
import mallowstall.core.model.RunStateQuestion;
import mallowstall.core.model.TaskReport;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.UnknownCause;

/**
 * Observes whether tasks of a job are running on the machines that this controller leads. An
 * observation rests on a worker's report and is dated by when the worker certainly had not yet
 * composed that report. If the last report is too old, the worker is asked for another one.
 * Mutable.
 */
public final class MachineRunStates {
  /** Time in milliseconds that a heartbeat takes at most, unless the network holds it back. */
  private static final long HEARTBEAT_TRANSIT_MAX_MS = 400;

  private final EventClock clock;
  private final EventLoopLag lag;
  private final StateStore store;
  private final ImageSizes imageSizes;
  private final ManagedMachines machines;
  private final InspectionQueue inspections;

  /** Creates an instance that asks workers through {@code effects}. */
  public MachineRunStates(
      EventClock clock,
      EventLoopLag lag,
      Effects effects,
      Metrics metrics,
      StateStore store,
      ImageSizes imageSizes,
      ManagedMachines machines) {
    this.clock = clock;
    this.lag = lag;
    this.store = store;
    this.imageSizes = imageSizes;
    this.machines = machines;
    this.inspections = new InspectionQueue(clock, effects, metrics);
  }

  /**
   * Returns the newest observation that tasks of the job are running, or an unknown one if no
   * machine's report shows that.
   */
  public RunObservation latestRunning(String job) {
    return latestRunning(machinesWith(job), job);
  }

  /** Returns the newest observation that tasks of the job are running on one of the machines. */
  RunObservation latestRunning(List<ManagedMachine> candidates, String job) {
    int runningTasks = 0;
    long latestMs = Long.MIN_VALUE;
    for (ManagedMachine machine : candidates) {
      RunObservation observed = observed(machine, job);
      if (observed.isRunning()) {
        runningTasks += observed.runningTasks();
        latestMs = Math.max(latestMs, observed.atMs());
      }
    }
    return runningTasks == 0
        ? RunObservation.unknown(UnknownCause.NOT_OBSERVED)
        : RunObservation.running(runningTasks, latestMs);
  }

  /**
   * Answers a question about the machines that it names, or else about all machines of this
   * controller. Without named machines the answer is never that no task is running, since the job
   * may have tasks elsewhere. The callback is called once, possibly before this method returns, and
   * within a second.
   */
  public void observe(RunStateQuestion question, Consumer<RunObservation> callback) {
    boolean namesMachines = !question.machines().isEmpty();
    List<ManagedMachine> candidates =
        namesMachines ? led(question.machines()) : machinesWith(question.job());
    boolean isComplete = namesMachines && candidates.size() == question.machines().size();
    new RunStateObservation(
            clock, machines, this, inspections, question, candidates, isComplete, callback)
        .begin();
  }

  private List<ManagedMachine> led(List<String> ids) {
    List<ManagedMachine> led = new ArrayList<>();
    for (String id : ids) {
      ManagedMachine machine = machines.get(id);
      if (machine != null) {
        led.add(machine);
      }
    }
    return led;
  }

  private List<ManagedMachine> machinesWith(String job) {
    List<ManagedMachine> found = new ArrayList<>();
    for (ManagedMachine machine : machines.all()) {
      if (machine.tasks().listsUnfinished(job)) {
        found.add(machine);
      }
    }
    return found;
  }

  /**
   * Returns what the machine's newest report shows of the job. That no task runs is certain beyond
   * that report while the machine can't have the job's image.
   */
  RunObservation observed(ManagedMachine machine, String job) {
    RunObservation reported = reported(machine, job);
    if (!reported.isIdle()) {
      return reported;
    }
    long absentUntilMs = Math.min(clock.now(), imageAbsentUntilMs(machine, job));
    return RunObservation.idle(reported.sinceMs(), Math.max(reported.atMs(), absentUntilMs));
  }

  private long imageAbsentUntilMs(ManagedMachine machine, String job) {
    JobEntry entry = store.job(job);
    if (entry == null) {
      return Long.MIN_VALUE;
    }
    String image = entry.spec().image();
    double gigabytes = Math.min(entry.spec().imageGb(), imageSizes.gigabytes(image));
    return machine.imageFetches().absentUntilMs(image, gigabytes, machine.type().fetchGbPerS());
  }

  private RunObservation reported(ManagedMachine machine, String job) {
    MachineTasks tasks = machine.tasks();
    if (machine.leaseExpired()) {
      return RunObservation.idle(tasks.runningEndedMs(job), clock.now());
    }
    MachineInspection inspection = machine.inspection();
    Heartbeat inspected = inspection.report();
    if (inspected != null && machine.isNewer(inspected)) {
      long sinceMs =
          hasEndedSince(tasks, inspected, job)
              ? inspection.receivedMs()
              : tasks.runningEndedMs(job);
      return observed(inspected.tasks(), job, sinceMs, inspection.requestedMs());
    }
    // A heartbeat may also have waited in this process for as long as other events do.
    long reportedMs = machine.reportedSinceMs() - HEARTBEAT_TRANSIT_MAX_MS - lag.stretchedGapMs(0);
    // A report with a larger number was composed after the inspected one.
    long atMs = Math.max(reportedMs, inspection.requestedMs());
    return observed(tasks.reports(), job, tasks.runningEndedMs(job), atMs);
  }

  /** Returns whether a task of the job may have ended since the report of the tasks. */
  private static boolean hasEndedSince(MachineTasks tasks, Heartbeat inspected, String job) {
    for (TaskReport task : tasks.reports()) {
      if (task.isRunning() && task.job().equals(job)) {
        return true;
      }
    }
    for (TaskReport task : inspected.tasks()) {
      if (task.job().equals(job) && task.state() == TaskState.EXITED) {
        return true;
      }
    }
    return false;
  }

  private static RunObservation observed(
      Iterable<TaskReport> tasks, String job, long sinceMs, long atMs) {
    int runningTasks = 0;
    for (TaskReport task : tasks) {
      if (task.isRunning() && task.job().equals(job)) {
        runningTasks++;
      }
    }
    return runningTasks == 0
        ? RunObservation.idle(sinceMs, atMs)
        : RunObservation.running(runningTasks, atMs);
  }
}
