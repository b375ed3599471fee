package mallowstall.core.quota;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mallowstall.core.cluster.JobsNeedingLeader;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.Team;

/**
 * Determines which jobs are covered by their team's guaranteed share and thus need not wait for
 * other teams. Mutable; not thread-safe.
 */
public final class GuaranteedShares {
  /** Tolerance for rounding errors in sums of processors and of GPUs. */
  private static final double TOLERANCE = 1e-9;

  private final CoreSettings settings;
  private final JobsNeedingLeader jobsNeedingLeader;
  private final Set<String> guaranteedJobs = new HashSet<>();

  /** Creates shares that cover no job before the first {@link #recompute}. */
  public GuaranteedShares(CoreSettings settings, JobsNeedingLeader jobsNeedingLeader) {
    this.settings = settings;
    this.jobsNeedingLeader = jobsNeedingLeader;
  }

  /** Returns whether the last {@link #recompute} found the job covered by its team's share. */
  public boolean includes(String job) {
    return guaranteedJobs.contains(job);
  }

  /**
   * Recomputes which jobs are covered. A job is covered if it fits into its team's guaranteed share
   * together with all unfinished jobs that the team submitted earlier. No job is covered if there
   * are fewer than two teams.
   */
  public void recompute() {
    guaranteedJobs.clear();
    if (settings.teams().size() < 2) {
      return; // no other team to claim capacity from
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

  /** Returns the unfinished jobs in the order of their submission. */
  private List<JobEntry> unfinishedBySubmission() {
    List<JobEntry> unfinished = new ArrayList<>();
    for (JobEntry job : jobsNeedingLeader.all()) {
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
