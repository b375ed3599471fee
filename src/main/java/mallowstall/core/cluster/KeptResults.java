package mallowstall.core.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.ExitReason;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.MachineStatus;
import mallowstall.core.model.TaskKey;
import mallowstall.core.model.TaskStatus;

/**
 * Records which machines keep the results of which replicas. A worker keeps the result of a task
 * that is done, and ends the task immediately if it is started there again. A replica has to run
 * again, so a machine that keeps its result can't serve it, however much capacity is free.
 *
 * <p>The ends of attempts come from status updates. All controllers receive them, whichever
 * controller leads the job, so a failover loses none. The first end is that of a replica that ran;
 * the second end on the same machine shows that the worker keeps the result. The machine counts as
 * keeping the result for a minute after the last end. Then the replica is started there once more
 * if no other machine can serve it. The end of that attempt also reaches controllers that missed an
 * earlier end, and a new process detects kept results in this way. Mutable.
 */
public final class KeptResults {
  /**
   * Number of times that a replica has to end as done on a machine to show that its result is kept
   * there.
   */
  private static final int KEPT_RESULT_ENDS = 2;

  /**
   * Time in milliseconds for which a replica isn't started on a machine that keeps its result. It
   * is longer than the boot of a machine and shorter than the 90 s that work may wait.
   */
  private static final long KEPT_RESULT_MS = 60_000;

  /**
   * Time in milliseconds after which recorded ends are discarded. Before that, a single further end
   * shows again that the result is kept.
   */
  private static final long KEPT_RESULT_MEMORY_MS = 2 * KEPT_RESULT_MS;

  /** The ends of one replica as done on one machine. Mutable. */
  private static final class Ends {
    private long lastAttempt;
    private long lastAtMs;
    private int count;

    void record(long attempt, long now) {
      // Every status update that lists the attempt reports its end again.
      if (attempt > lastAttempt) {
        lastAttempt = attempt;
        lastAtMs = now;
        count++;
      }
    }

    boolean showKeptResult(long now) {
      return count >= KEPT_RESULT_ENDS && now - lastAtMs < KEPT_RESULT_MS;
    }

    boolean isObsolete(long now) {
      return now - lastAtMs >= KEPT_RESULT_MEMORY_MS;
    }
  }

  private final EventClock clock;
  private final StateStore store;
  private final Map<String, Map<TaskKey, Ends>> endsByMachine = new HashMap<>();

  /** Creates an empty record; {@code store} shows which jobs are services. */
  KeptResults(EventClock clock, StateStore store) {
    this.clock = clock;
    this.store = store;
  }

  /** Records the ends of replicas that a machine's status reports. */
  void recordEnds(MachineStatus status) {
    for (TaskStatus task : status.tasks()) {
      if (task.exitReason() == ExitReason.DONE && isReplicaOfOpenService(task)) {
        recordEnd(status.machine(), task);
      }
    }
  }

  private boolean isReplicaOfOpenService(TaskStatus task) {
    JobEntry job = store.job(task.job());
    return job != null && job.spec().isService() && !job.isTerminal();
  }

  private void recordEnd(String machine, TaskStatus task) {
    long now = clock.now();
    Map<TaskKey, Ends> ends = endsByMachine.computeIfAbsent(machine, id -> new HashMap<>());
    ends.values().removeIf(known -> known.isObsolete(now));
    ends.computeIfAbsent(new TaskKey(task.job(), task.task()), key -> new Ends())
        .record(task.attempt(), now);
  }

  /** Removes what is recorded for a machine that no longer exists. */
  void removeMachine(String machine) {
    endsByMachine.remove(machine);
  }

  /** Returns whether the replica would end on the machine as soon as it is started there. */
  public boolean keepsResult(String machine, String job, int replica) {
    Map<TaskKey, Ends> ends = endsByMachine.get(machine);
    if (ends == null) {
      return false;
    }
    Ends known = ends.get(new TaskKey(job, replica));
    return known != null && known.showKeptResult(clock.now());
  }

  /** Returns the replicas of the job that would end on the machine as soon as they are started. */
  public List<Integer> replicasWithResult(String machine, String job) {
    Map<TaskKey, Ends> ends = endsByMachine.get(machine);
    if (ends == null) {
      return List.of();
    }
    List<Integer> replicas = new ArrayList<>();
    ends.forEach(
        (replica, known) -> {
          if (replica.job().equals(job) && known.showKeptResult(clock.now())) {
            replicas.add(replica.task());
          }
        });
    return replicas;
  }
}
