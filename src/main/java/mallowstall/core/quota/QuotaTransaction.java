package mallowstall.core.quota;

import java.util.ArrayList;
import java.util.List;
import mallowstall.core.jobs.LedJob;
import mallowstall.core.kernel.Condition;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.model.TeamUsageEntry;

/**
 * Builds the transaction that changes the quota reservations of some jobs of a team together with
 * the team's usage. Mutable; not thread-safe.
 */
final class QuotaTransaction {
  private final List<LedJob> jobs = new ArrayList<>();
  private final List<Condition> conditions = new ArrayList<>();
  private final List<PutOperation> puts = new ArrayList<>();
  private double reservedCpus;
  private double reservedGpus;
  private int maxJobs;

  /** Creates an empty transaction that starts from this usage and changes at most maxJobs jobs. */
  QuotaTransaction(TeamUsageEntry usage, int maxJobs) {
    reservedCpus = usage.reservedCpus();
    reservedGpus = usage.reservedGpus();
    this.maxJobs = maxJobs;
  }

  /**
   * Adds the change of a job's reservation unless the change is 0 or the transaction is full.
   *
   * @param tasks number of tasks by which the reservation grows, or shrinks if negative
   * @param alone whether the transaction must change no other job, because the state service may
   *     reject the job's entry for its size and the rejection would delay the other jobs
   */
  void add(LedJob ledJob, int tasks, boolean alone) {
    if (tasks == 0 || jobs.size() >= maxJobs || (alone && !jobs.isEmpty())) {
      return;
    }
    reservedCpus += tasks * ledJob.spec().cpus();
    reservedGpus += tasks * ledJob.spec().gpus();
    String key = StateKeys.job(ledJob.id());
    conditions.add(new Condition(key, ledJob.modRevision()));
    puts.add(
        new PutOperation(
            key,
            ledJob.entry().withQuotaReservation(ledJob.entry().quotaReservedTasks() + tasks),
            0));
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

  /** Returns the transaction, given the key and the revision of the team's usage entry. */
  Transaction build(String teamKey, long teamModRevision) {
    conditions.add(new Condition(teamKey, teamModRevision));
    // rounding errors in the sums must not lead to a negative usage
    TeamUsageEntry usage = new TeamUsageEntry(Math.max(0, reservedCpus), Math.max(0, reservedGpus));
    puts.add(new PutOperation(teamKey, usage, 0));
    return new Transaction(conditions, puts, List.of());
  }
}
