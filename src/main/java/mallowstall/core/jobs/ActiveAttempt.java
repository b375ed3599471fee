package mallowstall.core.jobs;

import mallowstall.core.model.TaskState;

/** A task that is or may be on a machine. Mutable. */
public final class ActiveAttempt {
  final LedJob job;
  public final int task;
  public final long attempt;
  public final String machine;
  public final String zone;
  final String type;
  final String machineLeader;
  final long machineLeaderIncarnation;
  final long connection;
  final long sequence;

  /** Seen on its machine; false while only sent or booked. */
  public boolean observedOnMachine;

  /** Its machine's owner lists it. */
  public boolean inLatestStatus;

  /** The machine's session in which it was seen. */
  long workerSession;

  TaskState state;
  long placedAtMs;

  /** When it was first seen to run; 0: not yet. */
  long runningSinceMs;

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
}
