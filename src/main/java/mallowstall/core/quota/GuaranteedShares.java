package mallowstall.core.quota;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mallowstall.core.cluster.OpenJobs;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.Team;

/**
 * Which jobs are covered by their team's guarantee, so that they need not wait for other teams.
 * Mutable; not thread-safe.
 */
public final class GuaranteedShares {
  /** Absorbs rounding of sums of processors and GPUs. */
  private static final double TOLERANCE = 1e-9;

  private final CoreSettings settings;
  private final OpenJobs openJobs;
  private final Set<String> guaranteedJobs = new HashSet<>();

  /** Covers no job before the first {@link #recompute}. */
  public GuaranteedShares(CoreSettings settings, OpenJobs openJobs) {
    this.settings = settings;
    this.openJobs = openJobs;
  }

  /** Whether the job was covered by its team's guarantee at the last {@link #recompute}. */
  public boolean includes(String job) {
    return guaranteedJobs.contains(job);
  }

  /**
   * Computes anew which jobs are covered: those that fit into their team's guarantee together with
   * the team's earlier unfinished jobs. None is if there is only one team.
   */
  public void recompute() {
    guaranteedJobs.clear();
    if (settings.teams().size() < 2) {
      return; // nobody to borrow from
    }
    Object2DoubleOpenHashMap<String> cpus = new Object2DoubleOpenHashMap<>();
    Object2DoubleOpenHashMap<String> gpus = new Object2DoubleOpenHashMap<>();
    for (JobEntry jobEntry : unfinishedBySubmission()) {
      JobSpec spec = jobEntry.spec();
      Team team = settings.teams().get(spec.team());
      if (team == null) {
        continue;
      }
      int remainingTasks = spec.tasks() - jobEntry.completedTaskCount();
      cpus.addTo(spec.team(), remainingTasks * spec.cpus());
      gpus.addTo(spec.team(), remainingTasks * spec.gpus());
      boolean withinGuarantee =
          cpus.getDouble(spec.team()) <= team.guaranteedCpus() + TOLERANCE
              && gpus.getDouble(spec.team()) <= team.guaranteedGpus() + TOLERANCE;
      if (withinGuarantee) {
        guaranteedJobs.add(spec.id());
      }
    }
  }

  /** Unfinished jobs, the earliest submitted first. */
  private List<JobEntry> unfinishedBySubmission() {
    List<JobEntry> unfinished = new ArrayList<>();
    for (JobEntry job : openJobs.all()) {
      if (!job.isTerminal()) {
        unfinished.add(job);
      }
    }
    unfinished.sort(
        Comparator.comparingLong(JobEntry::submittedMs)
            .thenComparing(jobEntry -> jobEntry.spec().id()));
    return unfinished;
  }
}
