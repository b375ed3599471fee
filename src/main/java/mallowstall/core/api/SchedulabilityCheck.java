package mallowstall.core.api;

import java.util.Optional;
import mallowstall.Constants;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.Team;

/**
 * Finds jobs that can never run, since no machine type holds a task or the team's quota is too
 * small.
 */
final class SchedulabilityCheck {
  private final CoreSettings settings;
  private final MachineTypeCatalog types;

  SchedulabilityCheck(CoreSettings settings, MachineTypeCatalog types) {
    this.settings = settings;
    this.types = types;
  }

  /**
   * Returns the reason why the job can never run, as it is sent to the user; empty if it can run.
   */
  Optional<String> rejectionReason(JobSpec spec) {
    Team team = settings.teams().get(spec.team());
    if (team == null) {
      return Optional.of("unknown team " + spec.team());
    }
    if (!fitsAnyType(spec)) {
      return Optional.of("a task fits no allowed machine type");
    }
    // All replicas of a service run at the same time; a batch job may run its tasks one by one.
    int concurrentTasks = spec.isService() ? spec.tasks() : 1;
    String subject = spec.isService() ? "all replicas together need" : "a task needs";
    if (exceedsQuota(concurrentTasks * spec.cpus(), team.cpuQuota())) {
      return Optional.of(subject + " more cpus than the team's limit");
    }
    if (exceedsQuota(concurrentTasks * spec.gpus(), team.gpuQuota())) {
      return Optional.of(subject + " more gpus than the team's limit");
    }
    return Optional.empty();
  }

  private boolean fitsAnyType(JobSpec spec) {
    for (MachineType type : types.all()) {
      if (spec.fits(type) && (spec.zone() == null || type.zones().contains(spec.zone()))) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether the amount is above the quota; a quota of 0 means that there is no limit. */
  private static boolean exceedsQuota(double amount, double quota) {
    return quota > 0 && amount > quota + Constants.ROUNDING_EPSILON;
  }
}
