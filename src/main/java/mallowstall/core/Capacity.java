package mallowstall.core;

import mallowstall.Constants;
import mallowstall.core.Model.JobSpec;

/** How many like tasks a given amount of room holds. */
final class Capacity {
  private Capacity() {}

  /** Tasks that fit into so much room; a resource of which they take nothing doesn't count. */
  static int tasks(double cpus, double gpus, double memoryGb, JobSpec spec) {
    double n = Constants.TASKS_COUNTED;
    if (spec.cpus() > 0) {
      n = Math.min(n, cpus / spec.cpus());
    }
    if (spec.gpus() > 0) {
      n = Math.min(n, gpus / spec.gpus());
    }
    if (spec.memoryGb() > 0) {
      n = Math.min(n, memoryGb / spec.memoryGb());
    }
    return (int) Math.floor(n + 1e-9);
  }
}
