package mallowstall.policy;

import java.util.List;
import mallowstall.core.placement.Policy;
import mallowstall.core.placement.Policy.Block;
import mallowstall.core.placement.Policy.Facts;
import mallowstall.core.placement.Policy.Strategy;
import mallowstall.policy.Expression.BooleanExpression;
import mallowstall.policy.Expression.NumberExpression;

/** The policy of one class of jobs. Immutable. */
record CompiledPolicy(String name, List<Policy.Block> blocks) implements Policy {
  /**
   * A block whose expressions are compiled.
   *
   * @param offered machines that the block offers
   * @param excluded machines that it leaves out all the same
   * @param strategy how the rest is ordered
   * @param order what it is ordered by; not read by the strategy random
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

    /** The score; that of a machine without one (0 divided by 0) is the largest number. */
    @Override
    public double score(Facts facts) {
      double score = order.value().applyAsDouble(facts);
      return Double.isNaN(score) ? Double.MAX_VALUE : score;
    }
  }
}
