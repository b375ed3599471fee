package mallowstall.policy;

import java.util.List;
import mallowstall.Constants;
import mallowstall.core.Policy;

/** Placeholder for the bundled policies until the operators' language takes over. */
public final class DefaultBook implements Policy.Book {
  private enum Kind {
    WARM,
    COLD,
    SCARCE
  }

  private static final class B implements Policy.Block {
    private final Kind kind;

    B(Kind kind) {
      this.kind = kind;
    }

    @Override
    public boolean workers(Policy.Facts f) {
      return switch (kind) {
        case WARM -> f.imagePresent && !f.scarce && !(f.reserved && f.priority < 2);
        case COLD -> !f.scarce && !(f.reserved && f.priority < 2);
        case SCARCE -> f.waitedS * 1000 > Constants.SCARCE_AFTER_MS;
      };
    }

    @Override
    public boolean invalidate(Policy.Facts f) {
      return kind == Kind.COLD
          && !f.imagePresent
          && f.drainS < f.fetchS + (f.priority < 2 ? f.otherDrainS : 0);
    }

    @Override
    public Policy.Strategy strategy() {
      return Policy.Strategy.LOWEST;
    }

    @Override
    public double score(Policy.Facts f) {
      return f.fetchS + 3 * (1 - f.used) + (f.own ? 0 : 1) - (f.reserved ? 5 : 0);
    }
  }

  @Override
  public Policy of(String jobClass) {
    return new Policy() {
      @Override
      public List<Block> blocks() {
        return List.of(new B(Kind.WARM), new B(Kind.COLD), new B(Kind.SCARCE));
      }

      @Override
      public String name() {
        return jobClass;
      }
    };
  }
}
