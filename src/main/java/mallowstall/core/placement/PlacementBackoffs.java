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
 * The backoffs of jobs that found no capacity. All batch jobs of a policy share one backoff; each
 * service has its own. A report of capacity ends a backoff early. The results of a scheduling pass
 * take effect at the end of the pass, so that a job that fits nowhere doesn't prevent other jobs of
 * its policy from being tried in the same pass. Mutable.
 */
public final class PlacementBackoffs {
  private final Metrics metrics;
  private final PlacementTrigger placementTrigger;
  private final Policy.PolicyRegistry policies;
  private final Map<String, Backoff> backoffByPolicy = new HashMap<>();

  /** The backoffs of jobs that started a task in the current pass. */
  private final Set<Backoff> succeeded = Collections.newSetFromMap(new IdentityHashMap<>());

  /** The backoffs of jobs that found no capacity in the current pass. */
  private final Set<Backoff> failed = Collections.newSetFromMap(new IdentityHashMap<>());

  /**
   * The trigger provides the version of capacity. The metric {@code backoffs} counts the backoffs
   * that are started.
   */
  public PlacementBackoffs(
      Metrics metrics, PlacementTrigger placementTrigger, Policy.PolicyRegistry policies) {
    this.metrics = metrics;
    this.placementTrigger = placementTrigger;
    this.policies = policies;
  }

  /**
   * Returns whether the job is backing off at this time, in milliseconds of the steady clock. The
   * result doesn't change during a pass.
   */
  boolean isWaiting(LedJob ledJob, long now) {
    return backoffOf(ledJob).isWaiting(now, placementTrigger.capacityVersion());
  }

  /** Records that the job found no capacity in the current pass. */
  void recordFailure(LedJob ledJob) {
    failed.add(backoffOf(ledJob));
  }

  /** Records that a task of the job was started in the current pass. */
  void recordSuccess(LedJob ledJob) {
    succeeded.add(backoffOf(ledJob));
  }

  /**
   * Ends the pass: resets the backoffs of jobs that started a task in it and starts the other
   * backoffs for which a failure was recorded.
   */
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
