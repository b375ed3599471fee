package mallowstall.core.kernel;

import mallowstall.Constants;

/**
 * The wait before a transaction that the state service rejected is tried again: doubled with each
 * rejection in a row. One that is too large stays so until something else changes, so it is tried
 * ever more seldom; one that was over the rate or came in an outage is tried again within seconds.
 * Times are steady, in ms. Mutable.
 */
public final class RetryDelay {
  /**
   * ms. Longest wait before a change that is too large for the state service is tried again: it
   * needs another layout or other limits, and each try costs all controllers a change.
   */
  private static final long STATE_INVALID_RETRY_MAX_MS = 30_000;

  /**
   * ms. Longest wait before a change that was rejected otherwise is tried again: long for an
   * exceeded rate, yet after an outage all that waits is recorded within seconds.
   */
  private static final long STATE_REJECTED_RETRY_MAX_MS = 3_200;

  private long delayMs;
  private long retryAtMs = Long.MIN_VALUE / 2;

  /** Whether the transaction may be tried now. */
  public boolean isDue(long now) {
    return now >= retryAtMs;
  }

  /** Records how a try ended; only REJECTED and INVALID make the next one wait. */
  public void recordResult(long now, ResultCode code) {
    if (code == ResultCode.OK) {
      delayMs = 0;
    }
    if (code != ResultCode.REJECTED && code != ResultCode.INVALID) {
      return;
    }
    long maxDelayMs =
        code == ResultCode.INVALID ? STATE_INVALID_RETRY_MAX_MS : STATE_REJECTED_RETRY_MAX_MS;
    delayMs = Math.min(maxDelayMs, Math.max(Constants.STATE_RETRY_MS, delayMs * 2));
    retryAtMs = now + delayMs;
  }

  /** Steady time in ms from which the transaction may be tried again. */
  public long retryAtMs() {
    return retryAtMs;
  }
}
