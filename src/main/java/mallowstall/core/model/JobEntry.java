package mallowstall.core.model;

import java.util.Arrays;

/**
 * The stored entry of a job (docs/design.md, Keys in the state service).
 *
 * @param spec the job as it was submitted
 * @param submittedMs time of day in milliseconds at which the job was accepted
 * @param leader the controller that leads the job
 * @param incarnation incarnation of the leader
 * @param epoch leader epoch, which increases by one with each change of the leader
 * @param completionBits first part of the completion bitmap, one bit per task; the other parts are
 *     stored as {@link CompletionBitsEntry}
 * @param completedTaskCount number of tasks of the whole job that are done
 * @param quotaReservedTasks number of tasks reserved in the team's quota
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
  @Override
  public boolean equals(Object other) {
    return other instanceof JobEntry that
        && spec.equals(that.spec)
        && submittedMs == that.submittedMs
        && leader.equals(that.leader)
        && incarnation == that.incarnation
        && epoch == that.epoch
        && Arrays.equals(completionBits, that.completionBits)
        && completedTaskCount == that.completedTaskCount
        && quotaReservedTasks == that.quotaReservedTasks
        && outcome == that.outcome;
  }

  @Override
  public int hashCode() {
    return 31 * spec.id().hashCode() + Long.hashCode(epoch) + 7 * quotaReservedTasks;
  }

  /** Returns this entry with the given outcome. */
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

  /** Returns this entry with the given process as leader, in the next leader epoch. */
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

  /**
   * Returns this entry with the given first part of the completion bitmap, number of done tasks in
   * the whole job, and outcome.
   */
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

  /** Returns this entry with the given number of tasks reserved in its team's quota. */
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

  /** Returns whether the job has ended. No task of an ended job may be started. */
  public boolean isTerminal() {
    return outcome == JobOutcome.DONE || outcome == JobOutcome.CANCELLED;
  }

  /**
   * Returns whether a controller must still lead the job, because the job hasn't ended or holds a
   * quota reservation.
   */
  public boolean needsLeader() {
    return !isTerminal() || quotaReservedTasks > 0;
  }

  /** Returns the entry of a job that has just been accepted. */
  public static JobEntry newlyAccepted(
      JobSpec spec, long submittedMs, String leader, long incarnation) {
    JobOutcome outcome = spec.isService() ? JobOutcome.SERVING : JobOutcome.NONE;
    return new JobEntry(spec, submittedMs, leader, incarnation, 1, new byte[0], 0, 0, outcome);
  }
}
