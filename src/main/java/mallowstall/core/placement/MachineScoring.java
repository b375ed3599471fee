package mallowstall.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.model.JobSpec;

/** Scores the machines that a block of a policy accepts for a job. */
public final class MachineScoring {
  /**
   * Upper bound of the random number that is added to a score, so that controllers don't all choose
   * the same machine.
   */
  private static final double SCORE_JITTER = 0.5;

  private final PolicyFacts policyFacts;
  private final SplittableRandom random;

  /** A ranking draws one random number per accepted machine, in the order of the machines. */
  public MachineScoring(PolicyFacts policyFacts, SplittableRandom random) {
    this.policyFacts = policyFacts;
    this.random = random;
  }

  /**
   * Returns the machines that the block accepts and that have capacity for a task, the best first.
   */
  List<MachineCandidate> rank(
      JobPlacement placement, Policy.Block block, List<MachineView> machines, long now) {
    JobSpec spec = placement.spec();
    List<MachineCandidate> candidates = new ArrayList<>();
    for (MachineView machine : machines) {
      if (!machine.allows(spec)
          || !placement.allowsZoneOf(machine)
          || machine.fittingTasks(spec) <= 0
          || placement.servableTasks(machine) <= 0
          || placement.ledJob().isOnCooldown(machine.id(), now)) {
        continue;
      }
      Policy.Facts facts = policyFacts.evaluate(machine, placement.ledJob(), now);
      if (!block.workers(facts) || block.invalidate(facts)) {
        placement.recordRejection();
        continue;
      }
      double score = score(block, facts) + random.nextDouble() * SCORE_JITTER;
      candidates.add(new MachineCandidate(machine, score));
    }
    candidates.sort(Comparator.comparingDouble(MachineCandidate::score));
    return candidates;
  }

  private static double score(Policy.Block block, Policy.Facts facts) {
    return switch (block.strategy()) {
      case LOWEST -> block.score(facts);
      case HIGHEST -> -block.score(facts);
      case RANDOM -> 0;
    };
  }

  /**
   * Returns whether the block now rejects the machine because of tasks that the pass has placed
   * since the machines were ranked.
   */
  boolean isInvalidated(JobPlacement placement, Policy.Block block, MachineView machine, long now) {
    return block.invalidate(policyFacts.evaluate(machine, placement.ledJob(), now));
  }
}
