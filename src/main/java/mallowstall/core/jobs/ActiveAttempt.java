package mallowstall.core.jobs;

import mallowstall.core.model.MachineStatus;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.TaskStatus;

/**
 * One attempt of a task of a led job that is or may be on a machine. Times are in milliseconds of
 * the steady clock. Mutable; not thread-safe.
 */
public final class ActiveAttempt {
  private final LedJob job;
  private final int task;
  private final long attempt;
  private final String machine;
  private final String zone;
  private final String machineLeader;
  private final long machineLeaderIncarnation;
  private final long connection;
  private final long sequence;
  private boolean observedOnMachine;
  private boolean inLatestStatus;
  private long workerSession;
  private TaskState state;
  private long placedAtMs;

  /** The time at which the attempt was first observed running, or 0 if it was not observed yet. */
  private long runningSinceMs;

  /**
   * Creates an attempt whose start request is being sent to a machine leader.
   *
   * @param connection the connection to the machine leader on which the start request is sent
   * @param sequence the number of the batch that contains the start request
   */
  public ActiveAttempt(
      LedJob job,
      int task,
      long attempt,
      String machine,
      String zone,
      String machineLeader,
      long machineLeaderIncarnation,
      long connection,
      long sequence) {
    this.job = job;
    this.task = task;
    this.attempt = attempt;
    this.machine = machine;
    this.zone = zone;
    this.machineLeader = machineLeader;
    this.machineLeaderIncarnation = machineLeaderIncarnation;
    this.connection = connection;
    this.sequence = sequence;
  }

  /** Creates an attempt that a machine leader reports and that this process did not start. */
  static ActiveAttempt discovered(
      LedJob job,
      MachineStatus status,
      TaskStatus taskStatus,
      String machineLeader,
      long machineLeaderIncarnation,
      long now) {
    ActiveAttempt discovered =
        new ActiveAttempt(
            job,
            taskStatus.task(),
            taskStatus.attempt(),
            status.machine(),
            status.zone(),
            machineLeader,
            machineLeaderIncarnation,
            0,
            0);
    discovered.observedOnMachine = true;
    discovered.inLatestStatus = true;
    discovered.workerSession = status.session();
    discovered.state = taskStatus.state();
    if (taskStatus.state() == TaskState.RUNNING) {
      discovered.runningSinceMs = now;
    }
    return discovered;
  }

  /** Records that the attempt is placed or discovered at this time. */
  void recordPlacement(long now) {
    placedAtMs = now;
  }

  /**
   * Records that a status update lists the attempt.
   *
   * @param newState the state of the attempt, or null if its machine leader has accepted the start
   *     but no heartbeat of the worker has listed the attempt yet
   */
  void recordObservation(TaskState newState, long session, long now) {
    if (newState == TaskState.RUNNING && runningSinceMs == 0) {
      runningSinceMs = now;
    }
    if (newState != null) {
      // From now on, only the machine's status decides whether the attempt is still there.
      observedOnMachine = true;
      workerSession = session;
      state = newState;
    }
  }

  /** Returns the job that the task belongs to. */
  LedJob job() {
    return job;
  }

  /** Returns the number of the task within the job. */
  public int task() {
    return task;
  }

  /**
   * Returns the attempt number. It contains the leader epoch, so later attempts have larger ones.
   */
  public long attempt() {
    return attempt;
  }

  /** Returns the id of the attempt's machine. */
  public String machine() {
    return machine;
  }

  /** Returns the zone of the attempt's machine. */
  public String zone() {
    return zone;
  }

  /** Returns the node to which the start request was sent, or which reported the attempt. */
  String machineLeader() {
    return machineLeader;
  }

  /** Returns the incarnation of {@link #machineLeader} when the start was sent or reported. */
  long machineLeaderIncarnation() {
    return machineLeaderIncarnation;
  }

  /** Returns the connection on which the start was sent, or 0 if this process did not send it. */
  long connection() {
    return connection;
  }

  /** Returns the number of the start batch, or 0 if this process did not send the start. */
  long sequence() {
    return sequence;
  }

  /**
   * Returns whether the worker has reported the attempt; a sent or accepted start is not enough.
   */
  public boolean observedOnMachine() {
    return observedOnMachine;
  }

  /** Returns whether the newest status of its machine lists the attempt. */
  public boolean inLatestStatus() {
    return inLatestStatus;
  }

  /** Sets whether the newest status of its machine lists the attempt. */
  void setInLatestStatus(boolean listed) {
    inLatestStatus = listed;
  }

  /** Returns the worker session in which the attempt was last observed on its machine. */
  long workerSession() {
    return workerSession;
  }

  /** Returns whether the attempt was running when it was last observed on its machine. */
  boolean isRunning() {
    return observedOnMachine && state == TaskState.RUNNING;
  }

  /** Returns the time at which the attempt was placed or discovered. */
  long placedAtMs() {
    return placedAtMs;
  }

  /** Returns for how many milliseconds the attempt has run, or 0 if it was not observed running. */
  long ranMs(long now) {
    return runningSinceMs == 0 ? 0 : now - runningSinceMs;
  }
}
