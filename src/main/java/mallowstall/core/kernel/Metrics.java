package mallowstall.core.kernel;

/** Records counters, durations and gauges under the names of their metrics. */
public interface Metrics {
  /** Adds one to the counter of this name. */
  void increment(String name);

  /** Records one duration, in milliseconds, under this name. */
  void recordDuration(String name, long durationMs);

  /** Sets the gauge of this name. */
  void setGauge(String name, long value);
}
