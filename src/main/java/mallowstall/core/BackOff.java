package mallowstall.core;

import mallowstall.Constants;

/** A wait after a failure, doubled with each further one and reset on success. Mutable. */
final class BackOff {
  private long until;
  private long wait = Constants.BACKOFF_FIRST_MS;

  /** How much news of room had come when it last failed. */
  private long roomSeen;

  boolean waits(long now) {
    return now < until;
  }

  /** Whether it still waits, and no room has become known since it failed. */
  boolean waits(long now, long roomNews) {
    return waits(now) && roomNews <= roomSeen;
  }

  void failed(long now) {
    until = now + wait;
    wait = Math.min(Constants.BACKOFF_MAX_MS, wait * 2);
  }

  void failed(long now, long roomNews) {
    failed(now);
    roomSeen = roomNews;
  }

  void reset() {
    until = 0;
    wait = Constants.BACKOFF_FIRST_MS;
  }
}
