package mallowstall.core.autoscaling;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The backoff of scale-out requests for services. It applies if every machine with free capacity
 * keeps the result of a pending replica, which would therefore end at once there. Each further
 * machine serves one more run of that replica. If the replica ends again and again, the delay
 * between two requests doubles up to a limit. Only the autoscaler leader has this state. The next
 * leader starts without it, which costs one more machine. Times are in milliseconds of the steady
 * clock. Mutable.
 */
final class KeptResultScaleOutBackoff {
  /**
   * Maximum delay in milliseconds between two requests for a service whose replicas end on each
   * machine.
   */
  private static final long KEPT_RESULT_SCALE_OUT_MAX_MS = 600_000;

  /**
   * The delay before the next permitted request for a job, and the steady time of that request,
   * both in milliseconds.
   */
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
