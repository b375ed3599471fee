package mallowstall.core.kernel;

import mallowstall.Constants;

/**
 * The wait before a change that the state service refused is tried again: doubled with each refusal
 * in a row. A change that is too large stays so until something else changes, so it is tried ever
 * more seldom; one that came too soon, or during an outage, is tried again within seconds.
 */
public final class RetryDelay {
  private long delayMs;
  private long retryAtMs = Long.MIN_VALUE / 2;

  /** Whether the change may be tried now. */
  public boolean isDue(long now) {
    return now >= retryAtMs;
  }

  /** Takes in the state service's answer; only refusals make the next try wait. */
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

  /** When the change may be tried again. */
  public long retryAtMs() {
    return retryAtMs;
  }
}
