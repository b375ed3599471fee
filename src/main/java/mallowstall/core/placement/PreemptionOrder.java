package mallowstall.core.placement;

import java.util.Optional;
import mallowstall.core.model.JobSpec;
import mallowstall.core.quota.GuaranteedShares;

/**
 * Decides which job may preempt tasks of which other job. The relation is a strict partial order,
 * by guaranteed share first and by priority second. As long as the set of open jobs does not
 * change, a preempted job therefore cannot preempt its preemptor, neither directly nor through a
 * chain of other jobs.
 */
final class PreemptionOrder {
  /** The ground on which a job may preempt another. */
  enum Ground {
    /** The preemptor has an urgent priority that is higher than the victim's. */
    PRIORITY,
    /**
     * The preemptor is covered by its team's guaranteed share. The victim belongs to another team
     * and is not covered by that team's share.
     */
    GUARANTEED_SHARE
  }

  private final GuaranteedShares guaranteedShares;

  /** Creates an order that uses the given guaranteed shares to determine which jobs are covered. */
  PreemptionOrder(GuaranteedShares guaranteedShares) {
    this.guaranteedShares = guaranteedShares;
  }

  /**
   * Returns the ground on which a job may preempt another, or empty if it may not.
   *
   * @param claimsShare whether the preemptor may already claim its team's guaranteed share
   */
  Optional<Ground> ground(JobSpec preemptor, boolean claimsShare, JobSpec victim) {
    boolean preemptorCovered = guaranteedShares.includes(preemptor.id());
    boolean victimCovered = guaranteedShares.includes(victim.id());
    if (preemptorCovered
        && claimsShare
        && !victimCovered
        && !victim.team().equals(preemptor.team())) {
      return Optional.of(Ground.GUARANTEED_SHARE);
    }
    boolean higherPriority =
        preemptor.priority().isUrgent() && victim.priority().compareTo(preemptor.priority()) < 0;
    // a covered victim could preempt an uncovered preemptor in return, by its guaranteed share
    boolean victimCannotPreemptBack = preemptorCovered || !victimCovered;
    return higherPriority && victimCannotPreemptBack
        ? Optional.of(Ground.PRIORITY)
        : Optional.empty();
  }
}
