package mallowstall.core.api;

import java.util.HashMap;
import java.util.Map;

/** Counts things by job, without an entry for jobs of which there are none. Mutable. */
final class JobCounts {
  private final Map<String, Integer> countByJob = new HashMap<>();

  void increment(String job) {
    countByJob.merge(job, 1, Integer::sum);
  }

  void decrement(String job) {
    countByJob.computeIfPresent(job, (key, count) -> count == 1 ? null : count - 1);
  }

  /** Returns whether the count of the job is at least 1. */
  boolean contains(String job) {
    return countByJob.containsKey(job);
  }
}
