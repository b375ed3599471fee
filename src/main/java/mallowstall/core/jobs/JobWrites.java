package mallowstall.core.jobs;

import mallowstall.Constants;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.RetryDelay;

/**
 * Tracks which writes of a led job's entry are unanswered, have an unknown outcome or are to be
 * retried later. The entry is written for completions and for quota, but never for both at the same
 * time. Times are in milliseconds of the steady clock. Mutable; not thread-safe.
 */
public final class JobWrites {
  /**
   * Minimum time in milliseconds between two writes of one job's entry. All completions within that
   * time are written together.
   */
  static final long JOB_WRITE_INTERVAL_MIN_MS = 150;

  private boolean completionInFlight;

  /**
   * The time from which the interval to the next write for completions is measured. It is the time
   * at which the last write was sent or the last read was answered, or a later time after a failed
   * write.
   */
  private long lastCompletionWriteMs = Long.MIN_VALUE / 2;

  private final RetryDelay completionRetry = new RetryDelay();
  private boolean quotaInFlight;
  private final RetryDelay quotaRetry = new RetryDelay();

  /** Whether a change of the quota reservation was refused and none has been made since. */
  private boolean quotaRefused;

  private boolean outcomeUnknown;

  /**
   * Returns whether a write has an unknown outcome and may still be applied. Until that is
   * resolved, no task may be started on the quota that the write would reserve.
   */
  public boolean outcomeUnknown() {
    return outcomeUnknown;
  }

  /** Records that a newer entry has been read, which resolves writes with an unknown outcome. */
  void resolveOutcome() {
    outcomeUnknown = false;
  }

  /**
   * Returns whether the entry may be written for completions now.
   *
   * @param allCompleted whether all tasks have completed; this last write need not wait for the
   *     minimum interval between writes
   */
  boolean mayWriteCompletions(boolean allCompleted, long now) {
    return completionRetry.isDue(now)
        && !completionInFlight
        && !quotaInFlight
        && (allCompleted || now - lastCompletionWriteMs >= JOB_WRITE_INTERVAL_MIN_MS);
  }

  /** Records that a write for completions is being sent. */
  void beginCompletionWrite(long now) {
    completionInFlight = true;
    lastCompletionWriteMs = now;
  }

  /** Records that the write for completions, or the read of the entry, could not be sent. */
  void withdrawCompletionWrite() {
    completionInFlight = false;
  }

  /** Records the result of the write for completions. */
  void endCompletionWrite(long now, ResultCode code) {
    completionInFlight = false;
    completionRetry.recordResult(now, code);
    if (code == ResultCode.OUTCOME_UNKNOWN) {
      outcomeUnknown = true;
    }
    if (code != ResultCode.OK && code != ResultCode.CONFLICT) {
      lastCompletionWriteMs = now + Constants.STATE_RETRY_MS;
    }
  }

  /** Records that the entry is being read after a conflict; it is not written until the answer. */
  void beginRead() {
    completionInFlight = true;
  }

  /** Records that the read of the entry is answered. */
  void endRead(long now) {
    completionInFlight = false;
    lastCompletionWriteMs = now;
  }

  /** Returns whether a change of the quota reservation is unanswered. */
  public boolean quotaInFlight() {
    return quotaInFlight;
  }

  /** Returns whether the quota reservation may be changed now. */
  public boolean mayWriteQuota(long now) {
    return !completionInFlight && !quotaInFlight && !outcomeUnknown && quotaRetry.isDue(now);
  }

  /** Records that a change of the quota reservation is being sent. */
  public void beginQuotaWrite() {
    quotaInFlight = true;
  }

  /** Records that the change of the quota reservation could not be sent. */
  public void withdrawQuotaWrite() {
    quotaInFlight = false;
  }

  /**
   * Returns whether the state service refused the latest change of the quota reservation, so that
   * the next one must not be made together with those of other jobs.
   */
  public boolean quotaRefused() {
    return quotaRefused;
  }

  /**
   * Records the result of the change of the quota reservation.
   *
   * @param alone whether the transaction changed no other job; otherwise a refusal doesn't show
   *     that this job is at fault, and the change is made alone without delay
   */
  public void endQuotaWrite(long now, ResultCode code, boolean alone) {
    quotaInFlight = false;
    quotaRefused = code == ResultCode.INVALID || (quotaRefused && code != ResultCode.OK);
    // A rejection delays the next quota transaction of the team rather than of this job.
    if (code != ResultCode.REJECTED && (code != ResultCode.INVALID || alone)) {
      quotaRetry.recordResult(now, code);
    }
    if (code == ResultCode.OUTCOME_UNKNOWN) {
      outcomeUnknown = true;
    }
  }
}
