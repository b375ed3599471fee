package mallowstall.core.jobs;

import mallowstall.Constants;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.RetryDelay;

/**
 * Which writes of a led job's entry are unanswered, in doubt or to be retried later. The entry is
 * written for completions and for quota, never for both at a time. Times are in ms of the steady
 * clock. Mutable; not thread-safe.
 */
public final class JobWrites {
  /** ms. Least time between two writes of one job's entry: completions in between are one batch. */
  static final long JOB_WRITE_INTERVAL_MIN_MS = 150;

  private boolean completionInFlight;

  /** When the last write for completions was sent; later than that after a failed one. */
  private long lastCompletionWriteMs = Long.MIN_VALUE / 2;

  private final RetryDelay completionRetry = new RetryDelay();
  private boolean quotaInFlight;
  private final RetryDelay quotaRetry = new RetryDelay();
  private boolean outcomeUnknown;

  /**
   * Whether a write has an unknown outcome and may still be applied: no task may be started on the
   * quota that it would reserve.
   */
  public boolean outcomeUnknown() {
    return outcomeUnknown;
  }

  /** A newer entry has been read, so writes that were in doubt are resolved. */
  void resolveOutcome() {
    outcomeUnknown = false;
  }

  /** Whether nothing holds a write for completions back; the last one of a job needs no gap. */
  boolean mayWriteCompletions(boolean allCompleted, long now) {
    return completionRetry.isDue(now)
        && !completionInFlight
        && !quotaInFlight
        && (allCompleted || now - lastCompletionWriteMs >= JOB_WRITE_INTERVAL_MIN_MS);
  }

  /** A write for completions is being sent. */
  void beginCompletionWrite(long now) {
    completionInFlight = true;
    lastCompletionWriteMs = now;
  }

  /** The write for completions, or the read, could not be sent. */
  void withdrawCompletionWrite() {
    completionInFlight = false;
  }

  /** The write for completions is answered. */
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

  /** The entry is being read after a conflict; it isn't written meanwhile. */
  void beginRead() {
    completionInFlight = true;
  }

  /** The read of the entry is answered. */
  void endRead(long now) {
    completionInFlight = false;
    lastCompletionWriteMs = now;
  }

  /** Whether a change of the quota reservation is unanswered. */
  public boolean quotaInFlight() {
    return quotaInFlight;
  }

  /** Whether nothing holds a change of the quota reservation back. */
  public boolean mayWriteQuota(long now) {
    return !completionInFlight && !quotaInFlight && !outcomeUnknown && quotaRetry.isDue(now);
  }

  /** A change of the quota reservation is being sent. */
  public void beginQuotaWrite() {
    quotaInFlight = true;
  }

  /** The change of the quota reservation could not be sent. */
  public void withdrawQuotaWrite() {
    quotaInFlight = false;
  }

  /** The change of the quota reservation is answered. */
  public void endQuotaWrite(long now, ResultCode code) {
    quotaInFlight = false;
    // a rejection delays the team's next transaction, not this job's
    if (code != ResultCode.REJECTED) {
      quotaRetry.recordResult(now, code);
    }
    if (code == ResultCode.OUTCOME_UNKNOWN) {
      outcomeUnknown = true;
    }
  }
}
