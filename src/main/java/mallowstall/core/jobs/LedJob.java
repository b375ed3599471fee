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
import mallowstall.core.kv.JobBitmaps;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.TaskState;

/** A job held here. Mutable. */
public final class LedJob {
  private final String id;
  private final JobSpec spec;
  private final BitSet completed = new BitSet();
  private final Int2ObjectOpenHashMap<ActiveAttempt> activeAttempts = new Int2ObjectOpenHashMap<>();
  private final IntArrayFIFOQueue retryQueue = new IntArrayFIFOQueue();
  private final Set<Integer> dirtyPieces = new TreeSet<>();
  private JobEntry entry;
  private long modRevision;
  private int nextTask;
  private int completedCount;
  private boolean recovered;
  private long claimRevision;

  /** Rosters received before this controller knew of its holding: their tasks weren't looked at. */
  private long statusUpdatesBeforeClaim;

  private boolean writeInFlight;
  private long lastWriteMs = Long.MIN_VALUE / 2;
  private final RetryDelay writeRetry = new RetryDelay();
  private final RetryDelay quotaRetry = new RetryDelay();
  private int attemptCounter;
  private long quotaIdleSinceMs;
  private long leaderSinceMs;
  private long lastPreemptionMs;
  private long lastStartMs;

  /** When a task of the job was last seen to run; starts that were only tried don't count. */
  private long lastRunningMs;

  private long outrankedSinceMs;
  private int requestedQuota;
  private boolean quotaWriteInFlight;

  /** A write has an unknown outcome and may still be applied: nothing is started on its grant. */
  private boolean writeOutcomeUnknown;

  /** Of a service: how long replicas that have ended wait, and where some are being moved. */
  private final ReplicaRestarts restarts = new ReplicaRestarts();

  private final ReplicaMoves relocations = new ReplicaMoves();

  /** Of a service, whose wait for a zone must not hold up other jobs of its policy. */
  private final Backoff backoff = new Backoff();

  private final Map<String, Long> machineCooldownUntilMs = new HashMap<>();
  private final Set<String> machinesWithErrors = new HashSet<>();
  private long startNotBeforeMs;
  private int preemptedFor;

  LedJob(String id, JobSpec spec) {
    this.id = id;
    this.spec = spec;
  }

  /** The task has completed; its bit is to be written to the state service. */
  void markCompleted(int task) {
    completed.set(task);
    completedCount++;
    dirtyPieces.add(JobBitmaps.pieceIndex(task));
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
      if (attempt.observedOnMachine() && attempt.state() == TaskState.RUNNING) {
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

  /** The id. */
  public String id() {
    return id;
  }

  /** The spec. */
  public JobSpec spec() {
    return spec;
  }

  /** The completed. */
  BitSet completed() {
    return completed;
  }

  /** The active attempts. */
  public Int2ObjectOpenHashMap<ActiveAttempt> activeAttempts() {
    return activeAttempts;
  }

  /** The retry queue. */
  IntArrayFIFOQueue retryQueue() {
    return retryQueue;
  }

  /** The dirty pieces. */
  Set<Integer> dirtyPieces() {
    return dirtyPieces;
  }

  /** The entry. */
  public JobEntry entry() {
    return entry;
  }

  /** Sets the entry. */
  public void setEntry(JobEntry newValue) {
    this.entry = newValue;
  }

  /** The mod revision. */
  public long modRevision() {
    return modRevision;
  }

  /** Sets the mod revision. */
  public void setModRevision(long newValue) {
    this.modRevision = newValue;
  }

  /** The next task. */
  int nextTask() {
    return nextTask;
  }

  /** The completed count. */
  public int completedCount() {
    return completedCount;
  }

  /** Sets the completed count. */
  public void setCompletedCount(int newValue) {
    this.completedCount = newValue;
  }

  /** The recovered. */
  public boolean recovered() {
    return recovered;
  }

  /** Sets the recovered. */
  public void setRecovered(boolean newValue) {
    this.recovered = newValue;
  }

  /** The claim revision. */
  long claimRevision() {
    return claimRevision;
  }

  /** Sets the claim revision. */
  void setClaimRevision(long newValue) {
    this.claimRevision = newValue;
  }

  /** Rosters received before this controller knew of its holding: their tasks weren't looked at. */
  long statusUpdatesBeforeClaim() {
    return statusUpdatesBeforeClaim;
  }

  /** Sets the status updates before claim. */
  void setStatusUpdatesBeforeClaim(long newValue) {
    this.statusUpdatesBeforeClaim = newValue;
  }

  /** The write in flight. */
  public boolean writeInFlight() {
    return writeInFlight;
  }

  /** Sets the write in flight. */
  public void setWriteInFlight(boolean newValue) {
    this.writeInFlight = newValue;
  }

  /** The last write, in ms of the steady clock. */
  long lastWriteMs() {
    return lastWriteMs;
  }

  /** Sets the last write, in ms of the steady clock. */
  void setLastWriteMs(long newValue) {
    this.lastWriteMs = newValue;
  }

  /** The write retry. */
  RetryDelay writeRetry() {
    return writeRetry;
  }

  /** The quota retry. */
  public RetryDelay quotaRetry() {
    return quotaRetry;
  }

  /** The number of the next attempt within the leader epoch; each is taken once. */
  public int takeAttemptNumber() {
    return ++attemptCounter;
  }

  /** The quota idle since, in ms of the steady clock. */
  public long quotaIdleSinceMs() {
    return quotaIdleSinceMs;
  }

  /** Sets the quota idle since, in ms of the steady clock. */
  public void setQuotaIdleSinceMs(long newValue) {
    this.quotaIdleSinceMs = newValue;
  }

  /** The leader since, in ms of the steady clock. */
  public long leaderSinceMs() {
    return leaderSinceMs;
  }

  /** Sets the leader since, in ms of the steady clock. */
  public void setLeaderSinceMs(long newValue) {
    this.leaderSinceMs = newValue;
  }

  /** The last preemption, in ms of the steady clock. */
  public long lastPreemptionMs() {
    return lastPreemptionMs;
  }

  /** Sets the last preemption, in ms of the steady clock. */
  public void setLastPreemptionMs(long newValue) {
    this.lastPreemptionMs = newValue;
  }

  /** The last start, in ms of the steady clock. */
  public long lastStartMs() {
    return lastStartMs;
  }

  /** Sets the last start, in ms of the steady clock. */
  public void setLastStartMs(long newValue) {
    this.lastStartMs = newValue;
  }

  /** When a task of the job was last seen to run; starts that were only tried don't count. */
  public long lastRunningMs() {
    return lastRunningMs;
  }

  /** Sets the last running, in ms of the steady clock. */
  public void setLastRunningMs(long newValue) {
    this.lastRunningMs = newValue;
  }

  /** The outranked since, in ms of the steady clock. */
  public long outrankedSinceMs() {
    return outrankedSinceMs;
  }

  /** Sets the outranked since, in ms of the steady clock. */
  public void setOutrankedSinceMs(long newValue) {
    this.outrankedSinceMs = newValue;
  }

  /** The requested quota. */
  public int requestedQuota() {
    return requestedQuota;
  }

  /** Sets the requested quota. */
  public void setRequestedQuota(int newValue) {
    this.requestedQuota = newValue;
  }

  /** The quota write in flight. */
  public boolean quotaWriteInFlight() {
    return quotaWriteInFlight;
  }

  /** Sets the quota write in flight. */
  public void setQuotaWriteInFlight(boolean newValue) {
    this.quotaWriteInFlight = newValue;
  }

  /** A write has an unknown outcome and may still be applied: nothing is started on its grant. */
  public boolean writeOutcomeUnknown() {
    return writeOutcomeUnknown;
  }

  /** Sets the write outcome unknown. */
  public void setWriteOutcomeUnknown(boolean newValue) {
    this.writeOutcomeUnknown = newValue;
  }

  /** Of a service: how long replicas that have ended wait, and where some are being moved. */
  ReplicaRestarts restarts() {
    return restarts;
  }

  /** The relocations. */
  public ReplicaMoves relocations() {
    return relocations;
  }

  /** Of a service, whose wait for a zone must not hold up other jobs of its policy. */
  public Backoff backoff() {
    return backoff;
  }

  /** The machine cooldown until, in ms of the steady clock. */
  public Map<String, Long> machineCooldownUntilMs() {
    return machineCooldownUntilMs;
  }

  /** Whether no task of the job is to be started on the machine for now. */
  public boolean isOnCooldown(String machine, long now) {
    Long untilMs = machineCooldownUntilMs.get(machine);
    return untilMs != null && untilMs > now;
  }

  /** The machines with errors. */
  Set<String> machinesWithErrors() {
    return machinesWithErrors;
  }

  /** The start not before, in ms of the steady clock. */
  public long startNotBeforeMs() {
    return startNotBeforeMs;
  }

  /** Sets the start not before, in ms of the steady clock. */
  public void setStartNotBeforeMs(long newValue) {
    this.startNotBeforeMs = newValue;
  }

  /** The preempted for. */
  int preemptedFor() {
    return preemptedFor;
  }
}
