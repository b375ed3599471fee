package mallowstall.core.placement;

import java.util.HashMap;
import java.util.Map;
import mallowstall.core.jobs.LedJob;
import mallowstall.core.kernel.Backoff;
import mallowstall.core.kernel.Metrics;
import mallowstall.core.kernel.PlacementTrigger;

/**
 * How long jobs that found no capacity wait before they are tried again: batch jobs by policy, each
 * service by itself. News of capacity ends the wait. Mutable.
 */
public final class PlacementBackoffs {
  private final Metrics metrics;
  private final PlacementTrigger placementTrigger;
  private final Policy.PolicyRegistry policies;
  private final Map<String, Backoff> backoffByPolicy = new HashMap<>();

  /** The trigger knows when capacity changes; failures are counted as {@code backoffs}. */
  public PlacementBackoffs(
      Metrics metrics, PlacementTrigger placementTrigger, Policy.PolicyRegistry policies) {
    this.metrics = metrics;
    this.placementTrigger = placementTrigger;
    this.policies = policies;
  }

  /** Whether the job still waits at this time, in ms of the steady clock. */
  boolean isWaiting(LedJob ledJob, long now) {
    return backoffOf(ledJob).isWaiting(now, placementTrigger.capacityVersion());
  }

  /** The job found no capacity. */
  void recordFailure(LedJob ledJob, long now) {
    metrics.increment("backoffs");
    backoffOf(ledJob).recordFailure(now, placementTrigger.capacityVersion());
  }

  /** A task of the job was started. */
  void reset(LedJob ledJob) {
    backoffOf(ledJob).reset();
  }

  private Backoff backoffOf(LedJob ledJob) {
    if (ledJob.spec().isService()) {
      return ledJob.backoff();
    }
    String policy = policies.forJobClass(ledJob.spec().jobClass()).name();
    return backoffByPolicy.computeIfAbsent(policy, key -> new Backoff());
  }
}
