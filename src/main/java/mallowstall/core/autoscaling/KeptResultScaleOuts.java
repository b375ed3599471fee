package mallowstall.core.autoscaling;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The backoff of scale-out requests for services whose pending replicas have their results kept on
 * every machine with free capacity. Each further machine serves one more run of a pending replica.
 * If the replica ends again and again, the delay between two requests doubles up to a limit. Only
 * the autoscaler leader has this state: the next leader starts without it, which costs one more
 * machine. Times are in ms of the steady clock. Mutable.
 */
final class KeptResultScaleOuts {
  /** ms. Maximum delay between two requests for a service whose replicas end on each machine. */
  private static final long KEPT_RESULT_SCALE_OUT_MAX_MS = 600_000;

  /** The steady time of the next permitted request for a job, and the delay before it, in ms. */
  private record Delay(long delayMs, long nextRequestMs) {}

  private final Map<String, Delay> delays = new HashMap<>();

  /** Returns whether a machine may be requested for the job now. */
  boolean isDue(String job, long now) {
    Delay delay = delays.get(job);
    return delay == null || now >= delay.nextRequestMs();
  }

  /** Records a request for the job and sets the delay before the next one. */
  void record(String job, long now) {
    Delay last = delays.get(job);
    boolean first = last == null || now - last.nextRequestMs() > KEPT_RESULT_SCALE_OUT_MAX_MS;
    long delayMs =
        first
            ? 2 * UnplaceableJobs.REPLICA_UNPLACEABLE_MS
            : Math.min(2 * last.delayMs(), KEPT_RESULT_SCALE_OUT_MAX_MS);
    delays.put(job, new Delay(delayMs, now + delayMs));
  }

  /** Removes the delays of all jobs except these. */
  void retain(Set<String> jobs) {
    delays.keySet().retainAll(jobs);
  }
}
