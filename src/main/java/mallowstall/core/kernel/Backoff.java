package mallowstall.core.kernel;

import mallowstall.Constants;

/** A wait after a failure, doubled with each further one and reset on success. Mutable. */
public final class Backoff {
  private long waitUntilMs;
  private long delayMs = Constants.BACKOFF_INITIAL_MS;

  /** How much news of room had come when it last failed. */
  private long capacityChangesSeen;

  /** Whether the delay still runs at this time, in ms. */
  public boolean isWaiting(long now) {
    return now < waitUntilMs;
  }

  /** Whether it still waits, and no room has become known since it failed. */
  public boolean isWaiting(long now, long capacityChanges) {
    return isWaiting(now) && capacityChanges <= capacityChangesSeen;
  }

  /** Records a failed try at this time, in ms, and starts the next, doubled delay. */
  public void recordFailure(long now) {
    waitUntilMs = now + delayMs;
    delayMs = Math.min(Constants.BACKOFF_MAX_MS, delayMs * 2);
  }

  /** Records a failed try at this time, in ms, and starts the next, doubled delay. */
  public void recordFailure(long now, long capacityChanges) {
    recordFailure(now);
    capacityChangesSeen = capacityChanges;
  }

  /** A try succeeded: the next failure starts with the initial delay. */
  public void reset() {
    waitUntilMs = 0;
    delayMs = Constants.BACKOFF_INITIAL_MS;
  }
}
