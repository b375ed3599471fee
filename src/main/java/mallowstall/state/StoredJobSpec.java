package mallowstall.state;

import com.fasterxml.jackson.annotation.JsonInclude;
import mallowstall.core.Model.JobKind;

/**
 * How a job's description is stored: the kind only where it isn't the usual one, so that entries of
 * batch jobs equal those of versions without services, byte for byte.
 */
public abstract class StoredJobSpec {
  /** Matches what is left out. */
  static final class Usual {
    @Override
    public boolean equals(Object kind) {
      return kind == null || kind == JobKind.BATCH;
    }

    @Override
    public int hashCode() {
      return 0;
    }
  }

  @JsonInclude(value = JsonInclude.Include.CUSTOM, valueFilter = Usual.class)
  abstract JobKind kind();
}
