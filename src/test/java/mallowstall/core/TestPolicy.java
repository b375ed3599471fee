package mallowstall.core;

import java.util.List;
import mallowstall.core.placement.Policy;
import mallowstall.core.placement.Policy.Block;
import mallowstall.core.placement.Policy.Facts;
import mallowstall.core.placement.Policy.Strategy;

/** A policy that accepts any machine and prefers those with the highest CPU utilization. */
record TestPolicy(String name, Runnable onEvaluate) implements Policy {
  @Override
  public List<Block> blocks() {
    return List.of(
        new Block() {
          @Override
          public boolean workers(Facts facts) {
            onEvaluate.run();
            return true;
          }

          @Override
          public boolean invalidate(Facts facts) {
            return false;
          }

          @Override
          public Strategy strategy() {
            return Strategy.LOWEST;
          }

          @Override
          public double score(Facts facts) {
            return 1 - facts.cpuUtilization;
          }
        });
  }
}
