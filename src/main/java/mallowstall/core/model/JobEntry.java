package mallowstall.core.model;

/**
 * The stored entry of a job (docs/design.md, Keys in the state service).
 *
 * @param spec the description that was submitted
 * @param submittedMs ms of the time of day at which the job was accepted
 * @param leader controller that leads the job
 * @param incarnation the leader's incarnation
 * @param epoch leader epoch; grows by one with each change of the leader
 * @param completionBits first part of the completion bitmap, one bit per task; further parts are
 *     {@link CompletionBitsEntry}
 * @param completedTaskCount tasks that are done, of the whole job
 * @param quotaReservedTasks tasks reserved in the team's quota
 * @param outcome how the job has ended, if it has
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

  /** The same with this first part of the bitmap, and so many done tasks in the whole job. */
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

  /** Whether the job has ended: none of its tasks may be started any more. */
  public boolean isTerminal() {
    return outcome == JobOutcome.DONE || outcome == JobOutcome.CANCELLED;
  }

  /** Whether a controller must still lead the job: it is open, or holds a quota reservation. */
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
