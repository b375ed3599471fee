package mallowstall.core.kernel;

import mallowstall.Constants;

/**
 * The wait before a transaction that the state service rejected is tried again: doubled with each
 * rejection in a row. One that is too large stays so until something else changes, so it is tried
 * ever more seldom; one that was over the rate or came in an outage is tried again within seconds.
 * Times are steady, in ms. Mutable.
 */
public final class RetryDelay {
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
        code == ResultCode.INVALID
            ? Constants.STATE_INVALID_RETRY_MAX_MS
            : Constants.STATE_REJECTED_RETRY_MAX_MS;
    delayMs = Math.min(maxDelayMs, Math.max(Constants.STATE_RETRY_MS, delayMs * 2));
    retryAtMs = now + delayMs;
  }

  /** Steady time in ms from which the transaction may be tried again. */
  public long retryAtMs() {
    return retryAtMs;
  }
}
