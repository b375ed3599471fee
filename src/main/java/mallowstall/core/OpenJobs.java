package mallowstall.core;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import mallowstall.core.Model.JobRec;

/** Index of the jobs that some controller must still look after, whoever leads them. Mutable. */
final class OpenJobs {
  private final Map<String, JobRec> open = new LinkedHashMap<>();

  /** A job's entry has changed; {@code before} is null if it is new. */
  void jobChanged(JobRec before, JobRec after) {
    String id = after.spec().id();
    if (after.open()) {
      open.put(id, after);
    } else {
      open.remove(id);
    }
  }

  /** The open jobs in the order in which they became known; a live view. */
  Collection<JobRec> all() {
    return open.values();
  }
}
