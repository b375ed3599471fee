package mallowstall.core.machines;

import mallowstall.core.model.JobSpec;
import mallowstall.core.model.MachineType;

/** Processors, GPUs and memory of one machine that are not in use. Mutable. */
final class FreeResources {
  /**
   * Processors, GPUs or GB. Amounts that differ by less are equal: sums of decimals are inexact.
   */
  private static final double AMOUNT_EPSILON = 1e-6;

  private double cpus;
  private double gpus;
  private double memoryGb;

  /** All resources of an empty machine of the type. */
  FreeResources(MachineType type) {
    cpus = type.cpus();
    gpus = type.gpus();
    memoryGb = type.memoryGb();
  }

  /** Takes away what one task of the job uses; the rest may become negative. */
  void allocate(JobSpec spec) {
    cpus -= spec.cpus();
    gpus -= spec.gpus();
    memoryGb -= spec.memoryGb();
  }

  /** Gives back what one task of the job uses. */
  void release(JobSpec spec) {
    cpus += spec.cpus();
    gpus += spec.gpus();
    memoryGb += spec.memoryGb();
  }

  /** Whether one task of the job fits, up to rounding errors. */
  boolean fits(JobSpec spec) {
    return spec.cpus() <= cpus + AMOUNT_EPSILON
        && spec.gpus() <= gpus + AMOUNT_EPSILON
        && spec.memoryGb() <= memoryGb + AMOUNT_EPSILON;
  }

  /** Processors not in use. */
  double cpus() {
    return cpus;
  }

  /** GPUs not in use. */
  double gpus() {
    return gpus;
  }

  /** Memory not in use, in GB. */
  double memoryGb() {
    return memoryGb;
  }
}
