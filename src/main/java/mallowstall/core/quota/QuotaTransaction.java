package mallowstall.core.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;
import mallowstall.core.jobs.LedJob;
import mallowstall.core.kernel.Condition;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.TransactionSize;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.TeamUsageEntry;

/**
 * Builds the transaction that changes the quota reservations of some jobs of a team together with
 * the team's usage, within the state service's limits of a transaction. Mutable; not thread-safe.
 */
final class QuotaTransaction {
  /** Size in bytes of a team's usage, rounded up. */
  private static final int USAGE_BYTES = 128;

  private final List<LedJob> jobs = new ArrayList<>();
  private final List<Condition> conditions = new ArrayList<>();
  private final List<PutOperation> puts = new ArrayList<>();
  private final String teamKey;
  private final ToIntFunction<JobEntry> entryBytes;
  private double reservedCpus;
  private double reservedGpus;
  private int maxJobs;
  private int bytes;

  /**
   * Creates an empty transaction.
   *
   * @param teamKey the key of the team's usage
   * @param usage the usage from which the changes start
   * @param maxJobs maximum number of jobs to change
   * @param entryBytes returns the size of a job's entry in bytes
   */
  QuotaTransaction(
      String teamKey, TeamUsageEntry usage, int maxJobs, ToIntFunction<JobEntry> entryBytes) {
    this.teamKey = teamKey;
    this.entryBytes = entryBytes;
    reservedCpus = usage.reservedCpus();
    reservedGpus = usage.reservedGpus();
    this.maxJobs = maxJobs;
    bytes =
        TransactionSize.FRAME_BYTES
            + TransactionSize.ofKey(teamKey)
            + TransactionSize.ofPut(teamKey, USAGE_BYTES);
  }

  /** Returns whether the transaction takes no further job. */
  boolean isFull() {
    return jobs.size() >= maxJobs;
  }

  /**
   * Adds the change of a job's reservation, unless the change is 0 or the transaction is full. The
   * first change that doesn't fit makes the transaction full, so that no job overtakes a larger one
   * time after time.
   *
   * @param tasks number of tasks by which the reservation grows, or shrinks if negative
   * @param alone whether the transaction must change no other job, because the state service may
   *     reject the job's entry and the rejection would delay the other jobs
   */
  void add(LedJob ledJob, int tasks, boolean alone) {
    if (tasks == 0 || isFull() || (alone && !jobs.isEmpty())) {
      return;
    }
    String key = StateKeys.job(ledJob.id());
    JobEntry changed =
        ledJob.entry().withQuotaReservation(ledJob.entry().quotaReservedTasks() + tasks);
    int addedBytes =
        TransactionSize.ofKey(key) + TransactionSize.ofPut(key, entryBytes.applyAsInt(changed));
    if (!jobs.isEmpty() && bytes + addedBytes > TransactionSize.MAX_BYTES) {
      maxJobs = jobs.size();
      return;
    }
    bytes += addedBytes;
    reservedCpus += tasks * ledJob.spec().cpus();
    reservedGpus += tasks * ledJob.spec().gpus();
    conditions.add(new Condition(key, ledJob.modRevision()));
    puts.add(new PutOperation(key, changed, 0));
    jobs.add(ledJob);
    if (alone) {
      maxJobs = 1;
    }
  }

  /** Returns a live view of the jobs whose reservations change, in the order of their addition. */
  List<LedJob> jobs() {
    return jobs;
  }

  /** Returns the processors that the team has reserved, including the changes so far. */
  double reservedCpus() {
    return reservedCpus;
  }

  /** Returns the GPUs that the team has reserved, including the changes so far. */
  double reservedGpus() {
    return reservedGpus;
  }

  /** Returns the transaction, given the revision of the team's usage entry. */
  Transaction build(long teamModRevision) {
    conditions.add(new Condition(teamKey, teamModRevision));
    // rounding errors in the sums must not lead to a negative usage
    TeamUsageEntry usage = new TeamUsageEntry(Math.max(0, reservedCpus), Math.max(0, reservedGpus));
    puts.add(new PutOperation(teamKey, usage, 0));
    return new Transaction(conditions, puts, List.of());
  }
}
