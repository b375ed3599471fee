package mallowstall.core.jobs;

import mallowstall.core.model.TaskState;

/** A task that is or may be on a machine. Mutable. */
public final class ActiveAttempt {
  private final LedJob job;
  private final int task;
  private final long attempt;
  private final String machine;
  private final String zone;
  private final String type;
  private final String machineLeader;
  private final long machineLeaderIncarnation;
  private final long connection;
  private final long sequence;

  /** Seen on its machine; false while only sent or booked. */
  private boolean observedOnMachine;

  /** Its machine's owner lists it. */
  private boolean inLatestStatus;

  /** The machine's session in which it was seen. */
  private long workerSession;

  private TaskState state;
  private long placedAtMs;

  /** When it was first seen to run; 0: not yet. */
  private long runningSinceMs;

  /** Creates one without any history. */
  public ActiveAttempt(
      LedJob job,
      int task,
      long attempt,
      String machine,
      String zone,
      String type,
      String machineLeader,
      long machineLeaderIncarnation,
      long connection,
      long sequence) {
    this.job = job;
    this.task = task;
    this.attempt = attempt;
    this.machine = machine;
    this.zone = zone;
    this.type = type;
    this.machineLeader = machineLeader;
    this.machineLeaderIncarnation = machineLeaderIncarnation;
    this.connection = connection;
    this.sequence = sequence;
  }

  /** The job. */
  LedJob job() {
    return job;
  }

  /** The task. */
  public int task() {
    return task;
  }

  /** The attempt. */
  public long attempt() {
    return attempt;
  }

  /** The machine. */
  public String machine() {
    return machine;
  }

  /** The zone. */
  public String zone() {
    return zone;
  }

  /** The type. */
  String type() {
    return type;
  }

  /** The machine leader. */
  String machineLeader() {
    return machineLeader;
  }

  /** The machine leader incarnation. */
  long machineLeaderIncarnation() {
    return machineLeaderIncarnation;
  }

  /** The connection. */
  long connection() {
    return connection;
  }

  /** The sequence. */
  long sequence() {
    return sequence;
  }

  /** Seen on its machine; false while only sent or booked. */
  public boolean observedOnMachine() {
    return observedOnMachine;
  }

  /** Sets the observed on machine. */
  public void setObservedOnMachine(boolean newValue) {
    this.observedOnMachine = newValue;
  }

  /** Its machine's owner lists it. */
  public boolean inLatestStatus() {
    return inLatestStatus;
  }

  /** Sets the in latest status. */
  public void setInLatestStatus(boolean newValue) {
    this.inLatestStatus = newValue;
  }

  /** The machine's session in which it was seen. */
  long workerSession() {
    return workerSession;
  }

  /** Sets the worker session. */
  void setWorkerSession(long newValue) {
    this.workerSession = newValue;
  }

  /** The state. */
  TaskState state() {
    return state;
  }

  /** Sets the state. */
  void setState(TaskState newValue) {
    this.state = newValue;
  }

  /** The placed at, in ms of the steady clock. */
  long placedAtMs() {
    return placedAtMs;
  }

  /** Sets the placed at, in ms of the steady clock. */
  void setPlacedAtMs(long newValue) {
    this.placedAtMs = newValue;
  }

  /** When it was first seen to run; 0: not yet. */
  long runningSinceMs() {
    return runningSinceMs;
  }

  /** Sets the running since, in ms of the steady clock. */
  void setRunningSinceMs(long newValue) {
    this.runningSinceMs = newValue;
  }
}
