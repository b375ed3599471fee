package mallowstall.core.jobs;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import mallowstall.Constants;

/**
 * Registry of the jobs led by this controller, in the order in which it became their leader.
 * Mutable; not thread-safe.
 */
final class LedJobs {
  private final Map<String, LedJob> jobs = new LinkedHashMap<>();

  /** The led jobs in the order in which this controller became their leader; a live view. */
  Collection<LedJob> all() {
    return jobs.values();
  }

  /** The led job of this id; null if this controller doesn't lead it. */
  LedJob get(String id) {
    return jobs.get(id);
  }

  void add(LedJob ledJob) {
    jobs.put(ledJob.id(), ledJob);
  }

  void remove(LedJob ledJob) {
    jobs.remove(ledJob.id());
  }

  /** Whether the job is led here and its attempts are known, so that its tasks may be placed. */
  boolean mayPlace(String id) {
    LedJob ledJob = jobs.get(id);
    return ledJob != null && ledJob.recovered();
  }

  /** Whether the job is led here and fails on so many machines that it is at fault itself. */
  boolean atFault(String id) {
    LedJob ledJob = jobs.get(id);
    return ledJob != null && ledJob.errorMachineCount() >= Constants.JOB_FAULT_MACHINES;
  }

  /** Processors that the pending tasks of all led jobs need. */
  double pendingCpus() {
    double pending = 0;
    for (LedJob ledJob : jobs.values()) {
      if (!ledJob.finished()) {
        pending += ledJob.pending() * ledJob.spec().cpus();
      }
    }
    return pending;
  }

  /** Whether some led job is a service. */
  boolean anyService() {
    for (LedJob ledJob : jobs.values()) {
      if (ledJob.spec().isService()) {
        return true;
      }
    }
    return false;
  }
}
