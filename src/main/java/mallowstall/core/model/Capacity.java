package mallowstall.core.model;

import mallowstall.Constants;

/** How many equal tasks fit into free capacity. */
public final class Capacity {
  private Capacity() {}

  /**
   * Number of tasks that fit into the free processors, GPUs and GB of memory, at most {@link
   * Constants#TASKS_PER_MACHINE_MAX}; a resource of which they take nothing doesn't count.
   */
  public static int fittingTasks(double cpus, double gpus, double memoryGb, JobSpec spec) {
    double fitting = Constants.TASKS_PER_MACHINE_MAX;
    if (spec.cpus() > 0) {
      fitting = Math.min(fitting, cpus / spec.cpus());
    }
    if (spec.gpus() > 0) {
      fitting = Math.min(fitting, gpus / spec.gpus());
    }
    if (spec.memoryGb() > 0) {
      fitting = Math.min(fitting, memoryGb / spec.memoryGb());
    }
    return (int) Math.floor(fitting + Constants.ROUNDING_EPSILON);
  }
}
