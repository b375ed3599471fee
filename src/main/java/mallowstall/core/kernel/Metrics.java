package mallowstall.core.kernel;

/** Records counters and durations under the names of their metrics. */
public interface Metrics {
  /** Adds one to the counter of this name. */
  void increment(String name);

  /** Records one duration, in milliseconds, under this name. */
  void recordDuration(String name, long durationMs);
}
