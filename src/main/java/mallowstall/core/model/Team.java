package mallowstall.core.model;

/**
 * A team with its guaranteed share and its quota. An amount of 0 means none.
 *
 * @param name name of the team
 * @param guaranteedCpus number of processors that the team receives whenever it has work for them
 * @param cpuQuota maximum number of processors that its tasks may use
 * @param guaranteedGpus number of GPUs that the team receives whenever it has work for them
 * @param gpuQuota maximum number of GPUs that its tasks may use
 */
public record Team(
    String name, double guaranteedCpus, double cpuQuota, double guaranteedGpus, double gpuQuota) {
  /** Returns whether processors or GPUs of the team are limited. */
  public boolean hasQuota() {
    return cpuQuota > 0 || gpuQuota > 0;
  }
}
