package mallowstall.core.placement;

import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;
import mallowstall.core.jobs.LedJob;
import mallowstall.core.kernel.Backoff;
import mallowstall.core.kernel.Metrics;
import mallowstall.core.kernel.PlacementTrigger;

/**
 * How long jobs that found no capacity wait before they are tried again: batch jobs by policy, each
 * service by itself. News of capacity ends the wait. What a scheduling pass finds counts from its
 * end on, so that a job that fits nowhere keeps no other job of its policy from its turn in the
 * same pass. Mutable.
 */
public final class PlacementBackoffs {
  private final Metrics metrics;
  private final PlacementTrigger placementTrigger;
  private final Policy.PolicyRegistry policies;
  private final Map<String, Backoff> backoffByPolicy = new HashMap<>();

  /** Those of which a job was started in the current pass. */
  private final Set<Backoff> succeeded = Collections.newSetFromMap(new IdentityHashMap<>());

  /** Those of which a job found no capacity in the current pass. */
  private final Set<Backoff> failed = Collections.newSetFromMap(new IdentityHashMap<>());

  /** The trigger knows when capacity changes; failures are counted as {@code backoffs}. */
  public PlacementBackoffs(
      Metrics metrics, PlacementTrigger placementTrigger, Policy.PolicyRegistry policies) {
    this.metrics = metrics;
    this.placementTrigger = placementTrigger;
    this.policies = policies;
  }

  /**
   * Whether the job still waits at this time, in ms of the steady clock; the same throughout a
   * pass.
   */
  boolean isWaiting(LedJob ledJob, long now) {
    return backoffOf(ledJob).isWaiting(now, placementTrigger.capacityVersion());
  }

  /** The job found no capacity in this pass. */
  void recordFailure(LedJob ledJob) {
    failed.add(backoffOf(ledJob));
  }

  /** A task of the job was started in this pass. */
  void recordSuccess(LedJob ledJob) {
    succeeded.add(backoffOf(ledJob));
  }

  /** The pass is over: whoever only failed in it waits from now on, whoever succeeded doesn't. */
  void endPass(long now) {
    failed.removeAll(succeeded);
    for (Backoff backoff : failed) {
      metrics.increment("backoffs");
      backoff.recordFailure(now, placementTrigger.capacityVersion());
    }
    succeeded.forEach(Backoff::reset);
    failed.clear();
    succeeded.clear();
  }

  private Backoff backoffOf(LedJob ledJob) {
    if (ledJob.spec().isService()) {
      return ledJob.backoff();
    }
    String policy = policies.forJobClass(ledJob.spec().jobClass()).name();
    return backoffByPolicy.computeIfAbsent(policy, key -> new Backoff());
  }
}
