package mallowstall.core.kernel;

/** Receives counts and durations of notable events. */
public interface Metrics {
  /** Counts one more event of this name. */
  void increment(String what);

  /** Records a duration in ms. */
  void recordDuration(String what, long ms);
}
