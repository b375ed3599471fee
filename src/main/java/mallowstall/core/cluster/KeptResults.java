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
 * Which machines keep the result of which replica. A worker keeps the result of a task that is done
 * and ends it as soon as it is started there again; for a replica, which has to run again, such a
 * machine is no capacity, however much of it is free.
 *
 * <p>Learned from the ends that status updates tell, so every controller knows the same, whoever
 * leads the job: a failover costs nothing. The first end is that of a replica that ran; the second
 * one on the same machine shows that its result is kept there. A machine counts as keeping it for a
 * minute after the last such end; then it is tried once more if nothing else can serve, which also
 * tells controllers that missed an end. A new process learns by such tries. Mutable.
 */
public final class KeptResults {
  /** Count. Ends of a replica as done on one machine that show that its result is kept there. */
  private static final int KEPT_RESULT_ENDS = 2;

  /**
   * ms. A replica isn't tried for so long where its result is kept: above a boot, below the 90 s
   * that work may wait.
   */
  private static final long KEPT_RESULT_MS = 60_000;

  /** ms. Ends are forgotten after so long: one more try is enough until then to know again. */
  private static final long KEPT_RESULT_MEMORY_MS = 2 * KEPT_RESULT_MS;

  /** Ends of one replica as done on one machine. Mutable. */
  private static final class Ends {
    private long lastAttempt;
    private long lastAtMs;
    private int count;

    void record(long attempt, long now) {
      // every status update that lists the attempt tells the same end
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

  /** Knows of no results; {@code store} tells which jobs are services. */
  KeptResults(EventClock clock, StateStore store) {
    this.clock = clock;
    this.store = store;
  }

  /** Takes in the ends that a machine's status tells. */
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

  /** The machine no longer exists. */
  void removeMachine(String machine) {
    endsByMachine.remove(machine);
  }

  /** Whether the replica would end on the machine as soon as it is started there. */
  public boolean keepsResult(String machine, String job, int replica) {
    Map<TaskKey, Ends> ends = endsByMachine.get(machine);
    if (ends == null) {
      return false;
    }
    Ends known = ends.get(new TaskKey(job, replica));
    return known != null && known.showKeptResult(clock.now());
  }

  /** The replicas of the job that would end on the machine as soon as they are started there. */
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
