package mallowstall.core.model;

/**
 * A team with its guaranteed share and its quota; an amount of 0 means none.
 *
 * @param name name of the team
 * @param guaranteedCpus processors that the team gets whenever it has work for them
 * @param cpuQuota most processors that its tasks may use
 * @param guaranteedGpus GPUs that the team gets whenever it has work for them
 * @param gpuQuota most GPUs that its tasks may use
 */
public record Team(
    String name, double guaranteedCpus, double cpuQuota, double guaranteedGpus, double gpuQuota) {
  /** Whether processors or GPUs of the team are limited. */
  public boolean hasQuota() {
    return cpuQuota > 0 || gpuQuota > 0;
  }
}
