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

  /** Returns a live view of the led jobs, in the order in which this controller became leader. */
  Collection<LedJob> all() {
    return jobs.values();
  }

  /** Returns the led job with this id, or null if this controller does not lead it. */
  LedJob get(String id) {
    return jobs.get(id);
  }

  void add(LedJob ledJob) {
    jobs.put(ledJob.id(), ledJob);
  }

  void remove(LedJob ledJob) {
    jobs.remove(ledJob.id());
  }

  /** Returns whether this controller leads the job and has recovered it, so it may place tasks. */
  boolean mayPlace(String id) {
    LedJob ledJob = jobs.get(id);
    return ledJob != null && ledJob.recovered();
  }

  /**
   * Returns whether this controller leads the job and its tasks have failed on at least {@link
   * Constants#JOB_FAULT_MACHINES} machines, so that the job itself is considered faulty.
   */
  boolean atFault(String id) {
    LedJob ledJob = jobs.get(id);
    return ledJob != null && ledJob.errorMachineCount() >= Constants.JOB_FAULT_MACHINES;
  }

  /** Returns the number of processors that the pending tasks of all led jobs need. */
  double pendingCpus() {
    double pending = 0;
    for (LedJob ledJob : jobs.values()) {
      if (!ledJob.finished()) {
        pending += ledJob.pending() * ledJob.spec().cpus();
      }
    }
    return pending;
  }

  /** Returns whether any led job is a service. */
  boolean anyService() {
    for (LedJob ledJob : jobs.values()) {
      if (ledJob.spec().isService()) {
        return true;
      }
    }
    return false;
  }
}
