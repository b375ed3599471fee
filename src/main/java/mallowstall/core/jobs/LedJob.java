package mallowstall.core.jobs;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.ints.IntArrayFIFOQueue;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import mallowstall.core.kernel.Backoff;
import mallowstall.core.kernel.RetryDelay;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.TaskState;

/** A job held here. Mutable. */
public final class LedJob {
  public final String id;
  public final JobSpec spec;
  final BitSet completed = new BitSet();
  public final Int2ObjectOpenHashMap<ActiveAttempt> activeAttempts = new Int2ObjectOpenHashMap<>();
  final IntArrayFIFOQueue retryQueue = new IntArrayFIFOQueue();
  final Set<Integer> dirtyPieces = new TreeSet<>();
  public JobEntry entry;
  public long modRevision;
  int nextTask;
  public int completedCount;
  public boolean recovered;
  long claimRevision;

  /** Rosters received before this controller knew of its holding: their tasks weren't looked at. */
  long statusUpdatesBeforeClaim;

  public boolean writeInFlight;
  long lastWriteMs = Long.MIN_VALUE / 2;
  final RetryDelay writeRetry = new RetryDelay();
  public final RetryDelay quotaRetry = new RetryDelay();
  public int attemptCounter;
  public long quotaIdleSinceMs;
  public long leaderSinceMs;
  public long lastPreemptionMs;
  public long lastStartMs;

  /** When a task of the job was last seen to run; starts that were only tried don't count. */
  public long lastRunningMs;

  public long outrankedSinceMs;
  public int requestedQuota;
  public boolean quotaWriteInFlight;

  /** A write has an unknown outcome and may still be applied: nothing is started on its grant. */
  public boolean writeOutcomeUnknown;

  /** Of a service: how long replicas that have ended wait, and where some are being moved. */
  final ReplicaRestarts restarts = new ReplicaRestarts();

  public final ReplicaMoves relocations = new ReplicaMoves();

  /** Of a service, whose wait for a zone must not hold up other jobs of its policy. */
  public final Backoff backoff = new Backoff();

  public final Map<String, Long> machineCooldownUntilMs = new HashMap<>();
  final Set<String> machinesWithErrors = new HashSet<>();
  public long startNotBeforeMs;
  int preemptedFor;

  LedJob(String id, JobSpec spec) {
    this.id = id;
    this.spec = spec;
  }

  /** Tasks that could be started now. */
  public int pending() {
    return spec.tasks() - completedCount - activeAttempts.size() - restarts.waitingCount();
  }

  /** Whether the job is done or cancelled. */
  public boolean finished() {
    return entry.isTerminal();
  }

  int runningCount() {
    int count = 0;
    for (ActiveAttempt attempt : activeAttempts.values()) {
      if (attempt.observedOnMachine && attempt.state == TaskState.RUNNING) {
        count++;
      }
    }
    return count;
  }

  /** The next task that is neither done nor possibly on a machine; -1: none. */
  public int pollTask() {
    while (!retryQueue.isEmpty()) {
      int task = retryQueue.dequeueInt();
      if (!completed.get(task) && !activeAttempts.containsKey(task)) {
        return task;
      }
    }
    while (nextTask < spec.tasks()) {
      int task = nextTask++;
      if (!completed.get(task) && !activeAttempts.containsKey(task)) {
        return task;
      }
    }
    return -1;
  }

  void requeue(int task) {
    retryQueue.enqueue(task);
  }
}
