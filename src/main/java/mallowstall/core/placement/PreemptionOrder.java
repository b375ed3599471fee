package mallowstall.core.placement;

import java.util.Optional;
import mallowstall.core.model.JobSpec;
import mallowstall.core.quota.GuaranteedShares;

/**
 * Which job may preempt tasks of which other. A strict partial order, by guaranteed share first and
 * by priority second: as long as the open jobs stay the same, whoever was preempted can't take the
 * place back from its preemptor, nor can any chain of others.
 */
final class PreemptionOrder {
  /** Why a job may preempt another. */
  enum Ground {
    /** Its priority is higher. */
    PRIORITY,
    /** Its team's guarantee covers it, and that of the other's team doesn't cover the other. */
    GUARANTEED_SHARE
  }

  private final GuaranteedShares guaranteedShares;

  /** The guaranteed shares say which jobs are covered. */
  PreemptionOrder(GuaranteedShares guaranteedShares) {
    this.guaranteedShares = guaranteedShares;
  }

  /**
   * The ground on which a job may preempt another; empty: it may not.
   *
   * @param claimsShare whether the preemptor may claim its team's guarantee by now
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
    // what its team's guarantee covers would only take the place back from a job that isn't covered
    boolean mayKeepThePlace = preemptorCovered || !victimCovered;
    return higherPriority && mayKeepThePlace ? Optional.of(Ground.PRIORITY) : Optional.empty();
  }
}
