package mallowstall.core.jobs;

import mallowstall.core.model.MachineStatus;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.TaskStatus;

/**
 * One attempt of a task of a led job that is or may be on a machine. Times are in ms of the steady
 * clock. Mutable; not thread-safe.
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

  /** When it was first seen to run; 0: not yet. */
  private long runningSinceMs;

  /**
   * An attempt whose start is being sent to a machine leader.
   *
   * @param connection the connection to the machine leader on which the start is sent
   * @param sequence the number of the start batch on that connection
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

  /** An attempt that a machine leader reports and that this process hasn't started itself. */
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

  /** The attempt is placed now. */
  void recordPlacement(long now) {
    placedAtMs = now;
  }

  /** A status update lists the attempt in this state; null: its machine leader has accepted it. */
  void recordObservation(TaskState newState, long session, long now) {
    if (newState == TaskState.RUNNING && runningSinceMs == 0) {
      runningSinceMs = now;
    }
    if (newState != null) {
      // from now on the machine's status alone says where it is
      observedOnMachine = true;
      workerSession = session;
      state = newState;
    }
  }

  /** The job, as led by this controller. */
  LedJob job() {
    return job;
  }

  /** The task's number within the job. */
  public int task() {
    return task;
  }

  /** The attempt's number, which contains the leader epoch: later attempts have larger ones. */
  public long attempt() {
    return attempt;
  }

  /** The machine's id. */
  public String machine() {
    return machine;
  }

  /** The machine's zone. */
  public String zone() {
    return zone;
  }

  /** The node to which the start was sent. */
  String machineLeader() {
    return machineLeader;
  }

  /** The incarnation of {@link #machineLeader} when the start was sent. */
  long machineLeaderIncarnation() {
    return machineLeaderIncarnation;
  }

  /** The connection on which the start was sent; 0 if this process didn't send it. */
  long connection() {
    return connection;
  }

  /** The number of the start batch on its connection; 0 if this process didn't send it. */
  long sequence() {
    return sequence;
  }

  /** Whether it has been seen on its machine, and wasn't only sent or accepted. */
  public boolean observedOnMachine() {
    return observedOnMachine;
  }

  /** Whether the newest status of its machine lists it. */
  public boolean inLatestStatus() {
    return inLatestStatus;
  }

  /** Says whether the newest status of its machine lists it. */
  void setInLatestStatus(boolean listed) {
    inLatestStatus = listed;
  }

  /** The worker session in which it was last seen on its machine. */
  long workerSession() {
    return workerSession;
  }

  /** Whether it was seen to run when it was last listed. */
  boolean isRunning() {
    return observedOnMachine && state == TaskState.RUNNING;
  }

  /** When it was placed or discovered. */
  long placedAtMs() {
    return placedAtMs;
  }

  /** For how long it has run by this time, in ms; 0 if it wasn't seen to run. */
  long ranMs(long now) {
    return runningSinceMs == 0 ? 0 : now - runningSinceMs;
  }
}
