package mallowstall.net;

import java.util.concurrent.TimeUnit;

/** The clock of all durations and deadlines: it never goes back, from an unspecified start. */
public final class SteadyClock {
  private SteadyClock() {}

  /** Steady time in ms. */
  public static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
