package mallowstall.core.kernel;

import mallowstall.Constants;

/**
 * The wait after a failed try: doubled with each failure in a row, up to a limit, and reset by
 * success. Times are steady, in ms. Mutable.
 */
public final class Backoff {
  private long waitUntilMs;
  private long delayMs = Constants.BACKOFF_INITIAL_MS;

  /** {@link PlacementTrigger#capacityVersion} at the last failure. */
  private long failedCapacityVersion;

  /** Whether the delay still runs at this time. */
  public boolean isWaiting(long now) {
    return now < waitUntilMs;
  }

  /** Whether the delay still runs and no capacity has been reported since the failure. */
  public boolean isWaiting(long now, long capacityVersion) {
    return isWaiting(now) && capacityVersion <= failedCapacityVersion;
  }

  /** A try failed at this time: starts the delay, and doubles the next one. */
  public void recordFailure(long now) {
    waitUntilMs = now + delayMs;
    delayMs = Math.min(Constants.BACKOFF_MAX_MS, delayMs * 2);
  }

  /** As above; capacity reported after this version ends the delay early. */
  public void recordFailure(long now, long capacityVersion) {
    recordFailure(now);
    failedCapacityVersion = capacityVersion;
  }

  /** A try succeeded: ends the delay; the next failure starts with the initial one. */
  public void reset() {
    waitUntilMs = 0;
    delayMs = Constants.BACKOFF_INITIAL_MS;
  }
}
