package mallowstall.core.kernel;

/** Receives counts and durations of notable events, by the names of their series. */
public interface Metrics {
  /** Counts one more event of this name. */
  void increment(String name);

  /** Records one more duration, in ms, of this name. */
  void recordDuration(String name, long durationMs);
}
