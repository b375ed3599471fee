package mallowstall.core.model;

/** A team's guarantee and limit; 0 is none. */
public record Team(
    String name, double guaranteedCpus, double cpuQuota, double guaranteedGpus, double gpuQuota) {
  /** Whether processors or GPUs of the team are limited. */
  public boolean hasQuota() {
    return cpuQuota > 0 || gpuQuota > 0;
  }
}
