package mallowstall.net;

import java.util.concurrent.TimeUnit;

/** The monotonic clock for all durations and deadlines. Its time starts at an arbitrary origin. */
public final class SteadyClock {
  private SteadyClock() {}

  /** Returns the time of the monotonic clock in milliseconds. */
  public static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
