package mallowstall.core.kernel;

import mallowstall.Constants;

/**
 * The delay after a failed attempt. Each further failure doubles the delay up to a limit, and a
 * success resets it to the initial delay. All times are steady times in milliseconds. Mutable.
 */
public final class Backoff {
  private long waitUntilMs;
  private long delayMs = Constants.BACKOFF_INITIAL_MS;

  /** The value of {@link PlacementTrigger#capacityVersion} at the last failure. */
  private long failedCapacityVersion;

  /** Returns whether the delay has not yet ended at this time. */
  public boolean isWaiting(long now) {
    return now < waitUntilMs;
  }

  /**
   * Returns whether the delay has not yet ended and no capacity has been reported since the last
   * failure.
   */
  public boolean isWaiting(long now, long capacityVersion) {
    return isWaiting(now) && capacityVersion <= failedCapacityVersion;
  }

  /** Records a failure at this time, which starts the delay and doubles the next one. */
  public void recordFailure(long now) {
    waitUntilMs = now + delayMs;
    delayMs = Math.min(Constants.BACKOFF_MAX_MS, delayMs * 2);
  }

  /**
   * Records a failure at this time, which starts the delay and doubles the next one. A capacity
   * version above {@code capacityVersion} ends the delay early.
   */
  public void recordFailure(long now, long capacityVersion) {
    recordFailure(now);
    failedCapacityVersion = capacityVersion;
  }

  /** Records a success, which ends the delay and resets the next one to the initial delay. */
  public void reset() {
    waitUntilMs = 0;
    delayMs = Constants.BACKOFF_INITIAL_MS;
  }
}
