package mallowstall.core;

/** Receives counts and durations of notable events. */
public interface Metrics {
  /** Counts one more event of this name. */
  void count(String what);

  /** Records a duration in ms. */
  void time(String what, long ms);
}
