package mallowstall.core.api;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.model.RunObservation;
import mallowstall.core.model.UnknownCause;

/**
 * Observations of running tasks of the last seconds, so that several questions about one job need
 * only one. Mutable; confined to the event loop.
 */
final class RecentObservations {
  private final EventClock clock;

  /** The latest observations by job, the first recorded first. */
  private final Map<String, Recorded> observations = new LinkedHashMap<>();

  /** An observation in a leader epoch of its job. */
  private record Recorded(long leaderEpoch, RunObservation observation, long recordedMs) {}

  RecentObservations(EventClock clock) {
    this.clock = clock;
  }

  /** Records an observation of a job. An unknown one is ignored. */
  void record(String job, long leaderEpoch, RunObservation observation) {
    removeOld();
    if (observation.isKnown()) {
      observations.remove(job);
      observations.put(job, new Recorded(leaderEpoch, observation, clock.now()));
    }
  }

  private void removeOld() {
    Iterator<Recorded> oldest = observations.values().iterator();
    while (oldest.hasNext()
        && clock.now() - oldest.next().recordedMs() > RunStateTimes.RESPONSE_AGE_MAX_MS) {
      oldest.remove();
    }
  }

  /**
   * Returns the job's latest observation in this leader epoch, or an unknown one if it is older.
   */
  RunObservation find(String job, long leaderEpoch, long maxAgeMs) {
    Recorded recorded = observations.get(job);
    boolean isUsable =
        recorded != null
            && recorded.leaderEpoch() == leaderEpoch
            && clock.now() - recorded.observation().atMs() <= maxAgeMs;
    return isUsable ? recorded.observation() : RunObservation.unknown(UnknownCause.NOT_OBSERVED);
  }
}
