package mallowstall.core.model;

import mallowstall.Constants;

/** How many equal tasks fit into free capacity. */
public final class Capacity {
  /** Tasks. More than so many of one job on a machine aren't told apart. */
  private static final double TASKS_PER_MACHINE_MAX = 1_000;

  private Capacity() {}

  /**
   * Number of tasks that fit into the free processors, GPUs and GB of memory, at most {@link
   * #TASKS_PER_MACHINE_MAX}; a resource of which they take nothing doesn't count.
   */
  public static int fittingTasks(double cpus, double gpus, double memoryGb, JobSpec spec) {
    double fitting = TASKS_PER_MACHINE_MAX;
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
