package mallowstall.policy;

import java.util.List;
import mallowstall.core.placement.Policy;
import mallowstall.core.placement.Policy.Block;
import mallowstall.core.placement.Policy.Facts;
import mallowstall.core.placement.Policy.Strategy;
import mallowstall.policy.Expression.BooleanExpression;
import mallowstall.policy.Expression.NumberExpression;

/** The compiled policy of one class of jobs. Instances are immutable. */
record CompiledPolicy(String name, List<Policy.Block> blocks) implements Policy {
  /**
   * A block of a policy with its expressions compiled.
   *
   * @param offered condition that holds for the machines that the block offers
   * @param excluded condition that holds for offered machines that the block leaves out
   * @param strategy how the remaining machines are ordered
   * @param order score by which the machines are ordered; the strategy random ignores it
   */
  record CompiledBlock(
      BooleanExpression offered,
      BooleanExpression excluded,
      Strategy strategy,
      NumberExpression order)
      implements Block {
    @Override
    public boolean workers(Facts facts) {
      return offered.value().test(facts);
    }

    @Override
    public boolean invalidate(Facts facts) {
      return excluded.value().test(facts);
    }

    /**
     * Returns the score of the machine. A score that is not a number (0 divided by 0) is replaced
     * by the largest number.
     */
    @Override
    public double score(Facts facts) {
      double score = order.value().applyAsDouble(facts);
      return Double.isNaN(score) ? Double.MAX_VALUE : score;
    }
  }
}
