package mallowstall.core.autoscaling;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Spaces the machines that are requested for services whose waiting replicas have left their
 * results on every machine with room. Each further machine serves one more run of such a replica;
 * if it ends again and again, the time between two requests doubles, up to a limit. Known to the
 * leader of autoscaling alone: the next leader begins anew, at the cost of one machine. Times are
 * in ms of the steady clock. Mutable.
 */
final class KeptResultScaleOuts {
  /** ms. Most between two requests for a service whose replicas end wherever they run. */
  private static final long KEPT_RESULT_SCALE_OUT_MAX_MS = 600_000;

  /** When the next request for a job may be made, and the delay that led to it. */
  private record Delay(long delayMs, long nextRequestMs) {}

  private final Map<String, Delay> delays = new HashMap<>();

  /** Whether a machine may be requested for the job. */
  boolean isDue(String job, long now) {
    Delay delay = delays.get(job);
    return delay == null || now >= delay.nextRequestMs();
  }

  /** A machine is requested for the job. */
  void record(String job, long now) {
    Delay last = delays.get(job);
    boolean first = last == null || now - last.nextRequestMs() > KEPT_RESULT_SCALE_OUT_MAX_MS;
    long delayMs =
        first
            ? 2 * UnplaceableJobs.REPLICA_UNPLACEABLE_MS
            : Math.min(2 * last.delayMs(), KEPT_RESULT_SCALE_OUT_MAX_MS);
    delays.put(job, new Delay(delayMs, now + delayMs));
  }

  /** Forgets all jobs but these. */
  void retain(Set<String> jobs) {
    delays.keySet().retainAll(jobs);
  }
}
