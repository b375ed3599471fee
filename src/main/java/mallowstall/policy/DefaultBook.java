package mallowstall.policy;

import java.util.List;
import mallowstall.Constants;
import mallowstall.core.Policy;

/** Placeholder for the bundled policies until the operators' language takes over. */
public final class DefaultBook implements Policy.Book {
  private static final class B implements Policy.Block {
    private final boolean scarceToo;

    B(boolean scarceToo) {
      this.scarceToo = scarceToo;
    }

    @Override
    public boolean workers(Policy.Facts f) {
      return !f.scarce || (scarceToo && f.waitedS * 1000 > Constants.SCARCE_AFTER_MS);
    }

    @Override
    public boolean invalidate(Policy.Facts f) {
      return false;
    }

    @Override
    public Policy.Strategy strategy() {
      return Policy.Strategy.LOWEST;
    }

    @Override
    public double score(Policy.Facts f) {
      return f.fetchS + 3 * (1 - f.used) + (f.spot ? 0 : 0.5);
    }
  }

  @Override
  public Policy of(String jobClass) {
    return new Policy() {
      @Override
      public List<Block> blocks() {
        return List.of(new B(false), new B(true));
      }

      @Override
      public String name() {
        return jobClass;
      }
    };
  }
}
