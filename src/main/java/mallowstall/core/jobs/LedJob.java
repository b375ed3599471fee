package mallowstall.core.jobs;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.ints.IntArrayFIFOQueue;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;
import mallowstall.core.kernel.Backoff;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobSpec;

/**
 * A job that this controller leads in one leader epoch: its entry, its completed tasks, its
 * attempts and the conditions that delay its next starts and writes. Times are in milliseconds of
 * the steady clock. Mutable; not thread-safe.
 */
public final class LedJob {
  private final String id;
  private final JobSpec spec;
  private final long leaderSinceMs;
  private final ClaimRecovery recovery;
  private JobEntry entry;
  private long modRevision;

  private final CompletedTasks completed = new CompletedTasks();
  private final Int2ObjectOpenHashMap<ActiveAttempt> activeAttempts = new Int2ObjectOpenHashMap<>();
  private final IntArrayFIFOQueue retryQueue = new IntArrayFIFOQueue();
  private int nextTask;
  private int attemptCounter;

  private final JobWrites writes = new JobWrites();
  private int requestedQuota;

  /**
   * The time since which part of the quota reservation may be unused, or 0 if no attempt has ended
   * and the reservation has not grown since placement last used it.
   */
  private long quotaIdleSinceMs;

  private long lastPreemptionMs;

  /** The time at which placement last started a task, or 0 if it never did. */
  private long lastStartMs;

  /** The time at which a task was last observed running, or 0. Rejected starts do not count. */
  private long lastRunningMs;

  /** The time at which this controller last learned of the end of an attempt, or 0. */
  private long lastAttemptEndMs;

  /** The time since which jobs of other leaders have taken precedence, or 0 if they do not. */
  private long outrankedSinceMs;

  private long startNotBeforeMs;
  private final Map<String, Long> machineCooldownUntilMs = new HashMap<>();
  private final Set<String> machinesWithErrors = new HashSet<>();

  /** The restarts of ended replicas; used for services only. */
  private final ReplicaRestarts restarts = new ReplicaRestarts();

  /** The relocations in progress; used for services only. */
  private final ActiveRelocations relocations = new ActiveRelocations();

  /**
   * The placement backoff of a service. A service has one of its own because its wait for a zone
   * must not delay other jobs of its policy.
   */
  private final Backoff backoff = new Backoff();

  /**
   * Creates a job in a new leader epoch. The caller must call {@link #applyEntry} next.
   *
   * @param claimRevision the revision at which this controller became leader
   * @param statusUpdatesBeforeClaim the number of status updates that had been received when this
   *     controller found that it is the leader; they may have listed tasks of the job that this
   *     controller ignored
   */
  LedJob(JobEntry entry, long claimRevision, long statusUpdatesBeforeClaim, long now) {
    this.id = entry.spec().id();
    this.spec = entry.spec();
    this.leaderSinceMs = now;
    // In the first leader epoch, no earlier leader can have started a task.
    boolean isFirstEpoch = entry.epoch() == 1;
    this.recovery = new ClaimRecovery(claimRevision, statusUpdatesBeforeClaim, isFirstEpoch);
  }

  /** Applies the job's entry as of this revision; the entry must be of the same leader epoch. */
  void applyEntry(JobEntry newEntry, long newModRevision, long now) {
    if (newModRevision > modRevision) {
      writes.resolveOutcome();
    }
    if (entry != null && newEntry.quotaReservedTasks() > entry.quotaReservedTasks()) {
      quotaIdleSinceMs = now;
    }
    entry = newEntry;
    modRevision = newModRevision;
  }

  /** Returns the id of the job. */
  public String id() {
    return id;
  }

  /** Returns the description that the user submitted. */
  public JobSpec spec() {
    return spec;
  }

  /** Returns the newest known entry of the job. */
  public JobEntry entry() {
    return entry;
  }

  /** Returns the revision at which {@link #entry} was written. */
  public long modRevision() {
    return modRevision;
  }

  /** Returns the time at which this controller began to lead the job. */
  public long leaderSinceMs() {
    return leaderSinceMs;
  }

  /** Returns how far the search for attempts of earlier leaders is. */
  ClaimRecovery recovery() {
    return recovery;
  }

  /** Returns whether all attempts of earlier leader epochs are known, so tasks may be placed. */
  public boolean recovered() {
    return recovery.isComplete();
  }

  /** Returns whether the job is done or cancelled. */
  public boolean finished() {
    return entry.isTerminal();
  }

  /** Returns the completed tasks. */
  CompletedTasks completed() {
    return completed;
  }

  /** Returns the number of completed tasks. */
  public int completedCount() {
    return completed.count();
  }

  /** Returns the number of pending tasks, which could be started now. */
  public int pending() {
    return spec.tasks() - completed.count() - activeAttempts.size() - restarts.waitingCount();
  }

  /** Returns the number of tasks that are known to run. */
  int runningCount() {
    int count = 0;
    for (ActiveAttempt attempt : activeAttempts.values()) {
      if (attempt.isRunning()) {
        count++;
      }
    }
    return count;
  }

  /** Returns whether the task could be started now. */
  public boolean isPending(int task) {
    return isUnplaced(task) && !restarts.isWaiting(task);
  }

  /** Returns whether the task is neither completed nor possibly on a machine. */
  private boolean isUnplaced(int task) {
    return !completed.contains(task) && !activeAttempts.containsKey(task);
  }

  /**
   * Removes and returns the next queued task that is neither completed nor possibly on a machine
   * and that qualifies, or returns -1 if there is none. Tasks that do not qualify stay queued for a
   * later call.
   */
  public int pollTask(IntPredicate qualifies) {
    for (int queued = retryQueue.size(); queued > 0; queued--) {
      int task = retryQueue.dequeueInt();
      if (!isUnplaced(task)) {
        continue;
      }
      if (qualifies.test(task)) {
        return task;
      }
      retryQueue.enqueue(task);
    }
    while (nextTask < spec.tasks()) {
      int task = nextTask++;
      if (!isUnplaced(task)) {
        continue;
      }
      if (qualifies.test(task)) {
        return task;
      }
      retryQueue.enqueue(task);
    }
    return -1;
  }

  /** Queues the task to be placed again. */
  void requeue(int task) {
    retryQueue.enqueue(task);
  }

  /** Queues the task to be placed again unless it has completed. */
  void requeueUnlessCompleted(int task) {
    if (!completed.contains(task)) {
      requeue(task);
    }
  }

  /** Returns the number of the next attempt within the leader epoch, a new one on each call. */
  public int takeAttemptNumber() {
    return ++attemptCounter;
  }

  /** Returns a live, read-only view of the attempts that are or may be on machines, by task. */
  public Int2ObjectOpenHashMap<ActiveAttempt> activeAttempts() {
    return activeAttempts;
  }

  /** Adds an attempt that is or may be on a machine. */
  void addAttempt(ActiveAttempt active) {
    activeAttempts.put(active.task(), active);
  }

  /** Removes an attempt that is proven to be on no machine. */
  void removeAttempt(ActiveAttempt active, long now) {
    if (activeAttempts.get(active.task()) == active) {
      activeAttempts.remove(active.task());
    }
    lastAttemptEndMs = now;
    if (activeAttempts.isEmpty() || quotaIdleSinceMs == 0) {
      quotaIdleSinceMs = now;
    }
  }

  /** Returns the time at which this controller last learned of the end of an attempt, or 0. */
  long lastAttemptEndMs() {
    return lastAttemptEndMs;
  }

  /** Returns the state of the writes of the job's entry. */
  public JobWrites writes() {
    return writes;
  }

  /** Records the result of the change of the quota reservation. */
  public void endQuotaWrite(long now, ResultCode code, boolean alone) {
    writes.endQuotaWrite(now, code, alone);
    if (code == ResultCode.OK) {
      requestedQuota = 0;
    }
  }

  /** Returns how many more tasks placement could have started with a larger quota reservation. */
  public int requestedQuota() {
    return requestedQuota;
  }

  /** Records that placement could start this many more tasks with a larger quota reservation. */
  public void requestQuota(int tasks) {
    requestedQuota = Math.max(requestedQuota, tasks);
  }

  /** Records that placement has started tasks on the quota reservation. */
  public void recordQuotaUse() {
    quotaIdleSinceMs = 0;
  }

  /** Returns whether part of the quota reservation has been unused for longer than this time. */
  public boolean quotaIdleLongerThan(long durationMs, long now) {
    return quotaIdleSinceMs > 0 && now - quotaIdleSinceMs > durationMs;
  }

  /** Returns the time at which the job last preempted other jobs, or 0 if it never did. */
  public long lastPreemptionMs() {
    return lastPreemptionMs;
  }

  /** Records that the job preempts other jobs now. */
  public void recordPreemption(long now) {
    lastPreemptionMs = now;
  }

  /** Returns the time at which placement last started a task of the job, or 0 if it never did. */
  public long lastStartMs() {
    return lastStartMs;
  }

  /** Records that placement has started a task of the job. */
  public void recordStart(long now) {
    lastStartMs = now;
  }

  /** Returns the time a task was last observed running, or 0. Rejected starts do not count. */
  public long lastRunningMs() {
    return lastRunningMs;
  }

  /** Records that a task of the job is running or has completed. */
  void recordRunning(long now) {
    lastRunningMs = now;
  }

  /** Records that jobs of other leaders no longer take precedence over this job. */
  public void clearOutranked() {
    outrankedSinceMs = 0;
  }

  /**
   * Records that jobs of other leaders take precedence over this job.
   *
   * @return for how long they have done so without interruption, in milliseconds
   */
  public long recordOutranked(long now) {
    if (outrankedSinceMs == 0) {
      outrankedSinceMs = now;
    }
    return now - outrankedSinceMs;
  }

  /** Returns the time before which no task of the job is started. */
  public long startNotBeforeMs() {
    return startNotBeforeMs;
  }

  /** Delays the start of all tasks of the job until this time. */
  void delayStartsUntil(long untilMs) {
    startNotBeforeMs = untilMs;
  }

  /** Returns whether the machine is on cooldown, so that no task of the job is started on it. */
  public boolean isOnCooldown(String machine, long now) {
    Long untilMs = machineCooldownUntilMs.get(machine);
    return untilMs != null && untilMs > now;
  }

  /** Puts the machine on cooldown for this job until this time. */
  void avoidMachineUntil(String machine, long untilMs) {
    machineCooldownUntilMs.put(machine, untilMs);
  }

  /** Records that a task has failed on the machine, and puts it on cooldown until this time. */
  void recordError(String machine, long avoidUntilMs) {
    machinesWithErrors.add(machine);
    avoidMachineUntil(machine, avoidUntilMs);
  }

  /** Returns the number of machines on which tasks have failed since {@link #clearErrors}. */
  int errorMachineCount() {
    return machinesWithErrors.size();
  }

  /** Clears the machines with errors, since a success shows that the job itself is not faulty. */
  void clearErrors() {
    machinesWithErrors.clear();
  }

  /** Returns, for a service, the ended replicas that must wait before they are started again. */
  ReplicaRestarts restarts() {
    return restarts;
  }

  /** Returns, for a service, the replicas that are being relocated and their target machines. */
  public ActiveRelocations relocations() {
    return relocations;
  }

  /** Returns, for a service, the backoff after a scheduling pass that found no machine for it. */
  public Backoff backoff() {
    return backoff;
  }
}
