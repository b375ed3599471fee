package mallowstall.core.model;

/**
 * A job's entry. {@code done} holds the first bits of the bitmap, further ones are {@link
 * CompletionBitsEntry}: see {@code core.kv.JobBitmaps}.
 */
public record JobEntry(
    JobSpec spec,
    long submittedMs,
    String leader,
    long incarnation,
    long epoch,
    byte[] completionBits,
    int completedTaskCount,
    int quotaReservedTasks,
    JobOutcome outcome)
    implements StoredEntry {
  /** The same with this outcome. */
  public JobEntry withOutcome(JobOutcome newOutcome) {
    return new JobEntry(
        spec,
        submittedMs,
        leader,
        incarnation,
        epoch,
        completionBits,
        completedTaskCount,
        quotaReservedTasks,
        newOutcome);
  }

  /** The same led by this process, in the next leader epoch. */
  public JobEntry withLeader(String node, long newIncarnation) {
    return new JobEntry(
        spec,
        submittedMs,
        node,
        newIncarnation,
        epoch + 1,
        completionBits,
        completedTaskCount,
        quotaReservedTasks,
        outcome);
  }

  /** With these done bits in the entry itself, and so many done tasks in all. */
  public JobEntry withCompletion(
      byte[] newCompletionBits, int newCompletedTaskCount, JobOutcome newOutcome) {
    return new JobEntry(
        spec,
        submittedMs,
        leader,
        incarnation,
        epoch,
        newCompletionBits,
        newCompletedTaskCount,
        quotaReservedTasks,
        newOutcome);
  }

  /** The same with so many tasks counted against its team's quota. */
  public JobEntry withQuotaReservation(int newQuotaReservedTasks) {
    return new JobEntry(
        spec,
        submittedMs,
        leader,
        incarnation,
        epoch,
        completionBits,
        completedTaskCount,
        newQuotaReservedTasks,
        outcome);
  }

  /** True once the job has ended: nothing of it may be started any more. */
  public boolean isTerminal() {
    return outcome == JobOutcome.DONE || outcome == JobOutcome.CANCELLED;
  }

  /** True while somebody must still look after the job. */
  public boolean needsLeader() {
    return !isTerminal() || quotaReservedTasks > 0;
  }

  /** The entry of a job that has just been accepted. */
  public static JobEntry newlyAccepted(
      JobSpec spec, long submittedMs, String leader, long incarnation) {
    JobOutcome outcome = spec.isService() ? JobOutcome.SERVING : JobOutcome.NONE;
    return new JobEntry(spec, submittedMs, leader, incarnation, 1, new byte[0], 0, 0, outcome);
  }
}
