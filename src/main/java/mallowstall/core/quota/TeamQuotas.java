package mallowstall.core.quota;

import mallowstall.Constants;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.kv.StoredValue;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.Team;
import mallowstall.core.model.TeamUsageEntry;

/** Reads quotas from the settings and teams' usage from the state replica. Not thread-safe. */
final class TeamQuotas {
  /** Tolerance for rounding errors in sums of processors and of GPUs, in tasks. */
  private static final double TOLERANCE_TASKS = 1e-9;

  private final CoreSettings settings;
  private final StateStore store;

  TeamQuotas(CoreSettings settings, StateStore store) {
    this.settings = settings;
    this.store = store;
  }

  /** Returns whether the job's team has a quota, so that the job's tasks need a reservation. */
  boolean hasQuota(JobSpec spec) {
    Team team = settings.teams().get(spec.team());
    return team != null && team.hasQuota();
  }

  /** Returns the reservations of the team's jobs according to the state replica. */
  TeamUsageEntry usage(String team) {
    StoredValue stored = store.entry(StateKeys.team(team));
    return stored == null ? new TeamUsageEntry(0, 0) : (TeamUsageEntry) stored.value();
  }

  /**
   * Returns how many more tasks of the job keep its team within this fraction of its quota.
   *
   * @param cpus processors that the team has reserved
   * @param gpus GPUs that the team has reserved
   */
  int remainingTasks(JobSpec spec, double cpus, double gpus, double fraction) {
    Team team = settings.teams().get(spec.team());
    double tasks = Integer.MAX_VALUE;
    if (team.cpuQuota() > 0 && spec.cpus() > 0) {
      tasks = (team.cpuQuota() * fraction - cpus) / spec.cpus();
    }
    if (team.gpuQuota() > 0 && spec.gpus() > 0) {
      tasks = Math.min(tasks, (team.gpuQuota() * fraction - gpus) / spec.gpus());
    }
    return (int) Math.max(0, Math.floor(tasks + TOLERANCE_TASKS));
  }

  /** Returns how many more tasks of the job fit into its team's quota. */
  int remainingTasks(JobSpec spec) {
    TeamUsageEntry usage = usage(spec.team());
    return remainingTasks(spec, usage.reservedCpus(), usage.reservedGpus(), 1);
  }

  /** Returns whether the team's quota has no room for another task of the job. */
  boolean isExhausted(JobSpec spec) {
    return remainingTasks(spec) == 0;
  }

  /** Returns whether the team is so far below its quota that its jobs do not compete for quota. */
  boolean hasHeadroom(String teamName) {
    Team team = settings.teams().get(teamName);
    TeamUsageEntry usage = usage(teamName);
    return (team.cpuQuota() <= 0
            || usage.reservedCpus() <= team.cpuQuota() * Constants.QUOTA_UNCONTENDED_FRACTION)
        && (team.gpuQuota() <= 0
            || usage.reservedGpus() <= team.gpuQuota() * Constants.QUOTA_UNCONTENDED_FRACTION);
  }
}
