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
 * A job led by this controller in one leader epoch: its entry, its completed tasks, its attempts
 * and what holds its next starts and writes back. Times are in ms of the steady clock. Mutable; not
 * thread-safe.
 */
public final class LedJob {
  private final String id;
  private final JobSpec spec;
  private final long leaderSinceMs;
  private final long claimRevision;
  private final long statusUpdatesBeforeClaim;
  private boolean recovered;
  private JobEntry entry;
  private long modRevision;

  private final CompletedTasks completed = new CompletedTasks();
  private final Int2ObjectOpenHashMap<ActiveAttempt> activeAttempts = new Int2ObjectOpenHashMap<>();
  private final IntArrayFIFOQueue retryQueue = new IntArrayFIFOQueue();
  private int nextTask;
  private int attemptCounter;

  private final JobWrites writes = new JobWrites();
  private int requestedQuota;

  /** Since when part of the quota reservation may be unused; 0: placement has just used it. */
  private long quotaIdleSinceMs;

  private long lastPreemptionMs;

  /** When placement last started a task; 0: never. */
  private long lastStartMs;

  /** When a task was last seen to run; 0: never. Starts that were rejected don't count. */
  private long lastRunningMs;

  /** Since when jobs of other leaders come first; 0: they don't. */
  private long outrankedSinceMs;

  private long startNotBeforeMs;
  private final Map<String, Long> machineCooldownUntilMs = new HashMap<>();
  private final Set<String> machinesWithErrors = new HashSet<>();

  /** Used for services only. */
  private final ReplicaRestarts restarts = new ReplicaRestarts();

  /** Used for services only. */
  private final ReplicaMoves relocations = new ReplicaMoves();

  /** Of a service, whose wait for a zone must not hold up other jobs of its policy. */
  private final Backoff backoff = new Backoff();

  /**
   * A job in a new leader epoch; {@link #applyEntry} must follow.
   *
   * @param claimRevision the revision at which this controller became leader
   * @param statusUpdatesBeforeClaim how many status updates had been received when it learned of
   *     that: those may have shown tasks of the job that were not looked at
   */
  LedJob(JobEntry entry, long claimRevision, long statusUpdatesBeforeClaim, long now) {
    this.id = entry.spec().id();
    this.spec = entry.spec();
    this.claimRevision = claimRevision;
    this.statusUpdatesBeforeClaim = statusUpdatesBeforeClaim;
    this.leaderSinceMs = now;
    // in the first epoch no earlier leader can have started anything
    this.recovered = entry.epoch() == 1;
  }

  /** Takes in the job's entry as of this revision, in the same leader epoch. */
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

  /** The job's id. */
  public String id() {
    return id;
  }

  /** What the job's user asked for. */
  public JobSpec spec() {
    return spec;
  }

  /** The job's newest known entry. */
  public JobEntry entry() {
    return entry;
  }

  /** The revision at which {@link #entry} was written. */
  public long modRevision() {
    return modRevision;
  }

  /** When this controller became the job's leader. */
  public long leaderSinceMs() {
    return leaderSinceMs;
  }

  /** The revision at which this controller became the job's leader. */
  long claimRevision() {
    return claimRevision;
  }

  /** How many status updates had been received when this controller learned of its leadership. */
  long statusUpdatesBeforeClaim() {
    return statusUpdatesBeforeClaim;
  }

  /** Whether all attempts of earlier leader epochs are known, so that tasks may be placed. */
  public boolean recovered() {
    return recovered;
  }

  /** All attempts of earlier leader epochs are known. */
  void markRecovered() {
    recovered = true;
  }

  /** Whether the job is done or cancelled. */
  public boolean finished() {
    return entry.isTerminal();
  }

  /** Which tasks have completed. */
  CompletedTasks completed() {
    return completed;
  }

  /** Number of completed tasks. */
  public int completedCount() {
    return completed.count();
  }

  /** Tasks that could be started now. */
  public int pending() {
    return spec.tasks() - completed.count() - activeAttempts.size() - restarts.waitingCount();
  }

  /** Number of tasks seen to run. */
  int runningCount() {
    int count = 0;
    for (ActiveAttempt attempt : activeAttempts.values()) {
      if (attempt.isRunning()) {
        count++;
      }
    }
    return count;
  }

  /** Whether the task could be started now. */
  public boolean isPending(int task) {
    return isUnplaced(task) && !restarts.isWaiting(task);
  }

  /** Whether the task is neither completed nor possibly on a machine. */
  private boolean isUnplaced(int task) {
    return !completed.contains(task) && !activeAttempts.containsKey(task);
  }

  /**
   * The next task that is neither completed nor possibly on a machine, of those that qualify; -1:
   * none. The others keep their turn for a later call.
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

  /** The task may be placed again. */
  void requeue(int task) {
    retryQueue.enqueue(task);
  }

  /** The task may be placed again if it isn't completed. */
  void requeueUnlessCompleted(int task) {
    if (!completed.contains(task)) {
      requeue(task);
    }
  }

  /** The number of the next attempt within the leader epoch; each is taken once. */
  public int takeAttemptNumber() {
    return ++attemptCounter;
  }

  /** The attempts that are or may be on machines, by task, to be read only. */
  public Int2ObjectOpenHashMap<ActiveAttempt> activeAttempts() {
    return activeAttempts;
  }

  /** The attempt is or may be on a machine. */
  void addAttempt(ActiveAttempt active) {
    activeAttempts.put(active.task(), active);
  }

  /** The attempt is proven to be on no machine. */
  void removeAttempt(ActiveAttempt active, long now) {
    if (activeAttempts.get(active.task()) == active) {
      activeAttempts.remove(active.task());
    }
    if (activeAttempts.isEmpty() || quotaIdleSinceMs == 0) {
      quotaIdleSinceMs = now;
    }
  }

  /** Which writes of the job's entry are unanswered, in doubt or to be retried later. */
  public JobWrites writes() {
    return writes;
  }

  /** Whether a write has an unknown outcome: see {@link JobWrites#outcomeUnknown}. */
  public boolean writeOutcomeUnknown() {
    return writes.outcomeUnknown();
  }

  /** Whether a change of the quota reservation is unanswered. */
  public boolean quotaWriteInFlight() {
    return writes.quotaInFlight();
  }

  /** The change of the quota reservation is answered. */
  public void endQuotaWrite(long now, ResultCode code) {
    writes.endQuotaWrite(now, code);
    if (code == ResultCode.OK) {
      requestedQuota = 0;
    }
  }

  /** Tasks that placement could have started with a larger quota reservation. */
  public int requestedQuota() {
    return requestedQuota;
  }

  /** Placement could start so many tasks more with a larger quota reservation. */
  public void requestQuota(int tasks) {
    requestedQuota = Math.max(requestedQuota, tasks);
  }

  /** Placement has started tasks on the quota reservation. */
  public void recordQuotaUse() {
    quotaIdleSinceMs = 0;
  }

  /** Whether part of the quota reservation has been unused for longer than this. */
  public boolean quotaIdleLongerThan(long durationMs, long now) {
    return quotaIdleSinceMs > 0 && now - quotaIdleSinceMs > durationMs;
  }

  /** When the job last preempted others; 0: never. */
  public long lastPreemptionMs() {
    return lastPreemptionMs;
  }

  /** The job preempts others now. */
  public void recordPreemption(long now) {
    lastPreemptionMs = now;
  }

  /** When placement last started a task of the job; 0: never. */
  public long lastStartMs() {
    return lastStartMs;
  }

  /** Placement has started a task of the job. */
  public void recordStart(long now) {
    lastStartMs = now;
  }

  /** When a task of the job was last seen to run; 0: never. Rejected starts don't count. */
  public long lastRunningMs() {
    return lastRunningMs;
  }

  /** A task of the job is seen to run, or has completed. */
  void recordRunning(long now) {
    lastRunningMs = now;
  }

  /** Jobs of other leaders no longer come first. */
  public void clearOutranked() {
    outrankedSinceMs = 0;
  }

  /** Jobs of other leaders come first now; returns for how long they have, in ms. */
  public long recordOutranked(long now) {
    if (outrankedSinceMs == 0) {
      outrankedSinceMs = now;
    }
    return now - outrankedSinceMs;
  }

  /** Before this time no task of the job is started. */
  public long startNotBeforeMs() {
    return startNotBeforeMs;
  }

  /** No task of the job is started before this time. */
  void delayStartsUntil(long untilMs) {
    startNotBeforeMs = untilMs;
  }

  /** Whether no task of the job is to be started on the machine for now. */
  public boolean isOnCooldown(String machine, long now) {
    Long untilMs = machineCooldownUntilMs.get(machine);
    return untilMs != null && untilMs > now;
  }

  /** No task of the job is started on the machine before this time. */
  void avoidMachineUntil(String machine, long untilMs) {
    machineCooldownUntilMs.put(machine, untilMs);
  }

  /** A task has failed on the machine, which is avoided until this time. */
  void recordError(String machine, long avoidUntilMs) {
    machinesWithErrors.add(machine);
    avoidMachineUntil(machine, avoidUntilMs);
  }

  /** Number of machines on which tasks have failed since one last succeeded. */
  int errorMachineCount() {
    return machinesWithErrors.size();
  }

  /** A task has succeeded, so the job isn't at fault. */
  void clearErrors() {
    machinesWithErrors.clear();
  }

  /** Of a service: which ended replicas wait before they start again. */
  ReplicaRestarts restarts() {
    return restarts;
  }

  /** Of a service: which replicas are being moved, and where to. */
  public ReplicaMoves relocations() {
    return relocations;
  }

  /** Of a service: the wait after a scheduling pass that found no machine for it. */
  public Backoff backoff() {
    return backoff;
  }
}
