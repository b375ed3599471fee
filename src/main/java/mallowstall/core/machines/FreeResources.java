package mallowstall.core.machines;

import mallowstall.core.model.JobSpec;
import mallowstall.core.model.MachineType;

/** The CPUs, GPUs and memory of one machine that are not in use. Mutable. */
final class FreeResources {
  /**
   * The difference in CPUs, GPUs or GB below which two amounts count as equal, since sums of
   * decimal fractions are inexact.
   */
  private static final double AMOUNT_EPSILON = 1e-6;

  private double cpus;
  private double gpus;
  private double memoryGb;

  /** Creates an instance with all resources of an empty machine of the type. */
  FreeResources(MachineType type) {
    cpus = type.cpus();
    gpus = type.gpus();
    memoryGb = type.memoryGb();
  }

  /** Subtracts the resources of one task of the job. The free amounts may become negative. */
  void allocate(JobSpec spec) {
    cpus -= spec.cpus();
    gpus -= spec.gpus();
    memoryGb -= spec.memoryGb();
  }

  /** Adds the resources of one task of the job. */
  void release(JobSpec spec) {
    cpus += spec.cpus();
    gpus += spec.gpus();
    memoryGb += spec.memoryGb();
  }

  /** Returns whether one task of the job fits, up to rounding errors. */
  boolean fits(JobSpec spec) {
    return spec.cpus() <= cpus + AMOUNT_EPSILON
        && spec.gpus() <= gpus + AMOUNT_EPSILON
        && spec.memoryGb() <= memoryGb + AMOUNT_EPSILON;
  }

  /** Returns the number of free CPUs, negative if too many are allocated. */
  double cpus() {
    return cpus;
  }

  /** Returns the number of free GPUs, negative if too many are allocated. */
  double gpus() {
    return gpus;
  }

  /** Returns the free memory in GB, negative if too much is allocated. */
  double memoryGb() {
    return memoryGb;
  }
}
