package mallowstall.core.api;

import java.util.Optional;
import mallowstall.Constants;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.Team;

/** Finds jobs that could never run: no machine type holds a task, or the team's quota is less. */
final class SchedulabilityCheck {
  private final CoreSettings settings;
  private final MachineTypeCatalog types;

  SchedulabilityCheck(CoreSettings settings, MachineTypeCatalog types) {
    this.settings = settings;
    this.types = types;
  }

  /** Why the job could never run, in the words sent to its user; empty if it could. */
  Optional<String> rejectionReason(JobSpec spec) {
    Team team = settings.teams().get(spec.team());
    if (team == null) {
      return Optional.of("unknown team " + spec.team());
    }
    if (!fitsAnyType(spec)) {
      return Optional.of("a task fits no allowed machine type");
    }
    // Replicas run all at once; a batch may run one task after the other.
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

  /** A quota of 0 is none. */
  private static boolean exceedsQuota(double amount, double quota) {
    return quota > 0 && amount > quota + Constants.ROUNDING_EPSILON;
  }
}
