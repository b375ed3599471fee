package mallowstall.core.model;

import mallowstall.Constants;

/** Computes how many equal tasks fit into free capacity. */
public final class Capacity {
  /**
   * Maximum number of tasks that is returned. Larger numbers of tasks of one job on a machine are
   * not distinguished.
   */
  private static final double TASKS_PER_MACHINE_MAX = 1_000;

  private Capacity() {}

  /**
   * Returns the number of tasks that fit into the free processors, GPUs and gigabytes of memory, at
   * most {@link #TASKS_PER_MACHINE_MAX}. A resource that the tasks don't use is ignored.
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
