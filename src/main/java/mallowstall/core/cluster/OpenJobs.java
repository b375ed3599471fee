package mallowstall.core.cluster;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import mallowstall.core.model.JobEntry;

/** Index of the jobs that still need a leader, whichever controller leads them. Mutable. */
public final class OpenJobs {
  private final Map<String, JobEntry> open = new LinkedHashMap<>();

  /** Adds or removes a job whose entry has changed; {@code before} is null if the job is new. */
  public void jobChanged(JobEntry before, JobEntry after) {
    String id = after.spec().id();
    if (after.needsLeader()) {
      open.put(id, after);
    } else {
      open.remove(id);
    }
  }

  /** Returns the open jobs in the order in which they became known, as a live view. */
  public Collection<JobEntry> all() {
    return open.values();
  }
}
