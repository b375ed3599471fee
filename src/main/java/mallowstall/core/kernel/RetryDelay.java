package mallowstall.core.kernel;

import mallowstall.Constants;

/**
 * The delay before the retry of a transaction that the state service rejected. Each further
 * rejection doubles the delay. A transaction that is too large stays too large until something else
 * changes, so its delay grows up to a high limit. A transaction that exceeded the rate or was sent
 * during an outage is retried within seconds. All times are steady times in milliseconds. Mutable.
 */
public final class RetryDelay {
  /**
   * Maximum delay, in milliseconds, before the retry of a change that is too large for the state
   * service. The change needs another layout or other limits to succeed, and each attempt takes one
   * change from the rate that all controllers share.
   */
  private static final long STATE_INVALID_RETRY_MAX_MS = 30_000;

  /**
   * Maximum delay, in milliseconds, before the retry of a change that was rejected for another
   * reason. It is long enough for an exceeded rate, and still short enough that all pending changes
   * are recorded within seconds after an outage.
   */
  private static final long STATE_REJECTED_RETRY_MAX_MS = 3_200;

  private long delayMs;
  private long retryAtMs = Long.MIN_VALUE / 2;

  /** Returns whether the transaction may be sent now. */
  public boolean isDue(long now) {
    return now >= retryAtMs;
  }

  /** Records the result of an attempt. Only REJECTED and INVALID delay the next attempt. */
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

  /** Returns the steady time in milliseconds from which the transaction may be sent again. */
  public long retryAtMs() {
    return retryAtMs;
  }
}
