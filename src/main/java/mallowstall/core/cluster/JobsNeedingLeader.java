package mallowstall.core.cluster;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import mallowstall.core.model.JobEntry;

/**
 * Index of the jobs that need a leader, whichever controller leads them: the jobs that haven't
 * ended, and ended jobs that hold a quota reservation. Mutable.
 */
public final class JobsNeedingLeader {
  private final Map<String, JobEntry> jobs = new LinkedHashMap<>();

  /** Adds or removes a job whose entry has changed; {@code before} is null if the job is new. */
  public void jobChanged(JobEntry before, JobEntry after) {
    String id = after.spec().id();
    if (after.needsLeader()) {
      jobs.put(id, after);
    } else {
      jobs.remove(id);
    }
  }

  /** Returns the jobs that need a leader, in the order in which they were added, as a live view. */
  public Collection<JobEntry> all() {
    return jobs.values();
  }
}
