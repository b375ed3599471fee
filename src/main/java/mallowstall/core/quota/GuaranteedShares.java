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

/** Jobs that their team's guarantee covers, so that they need not wait for other teams. */
public final class GuaranteedShares {
  private final CoreSettings settings;
  private final OpenJobs openJobs;
  private final Set<String> guaranteedJobs = new HashSet<>();

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public GuaranteedShares(CoreSettings settings, OpenJobs openJobs) {
    this.settings = settings;
    this.openJobs = openJobs;
  }

  /** Whether the job fits into its team's guarantee. */
  public boolean includes(String job) {
    return guaranteedJobs.contains(job);
  }

  /**
   * The jobs that fit into their team's guarantee together with the team's earlier unfinished ones:
   * they need not wait for other teams. Counted only where several teams share.
   */
  public void recompute() {
    guaranteedJobs.clear();
    if (settings.teams().size() < 2) {
      return; // nobody to borrow from
    }
    List<JobEntry> unfinished = new ArrayList<>();
    for (JobEntry job : openJobs.all()) {
      if (!job.isTerminal()) {
        unfinished.add(job);
      }
    }
    unfinished.sort(
        Comparator.comparingLong(JobEntry::submittedMs)
            .thenComparing(jobEntry -> jobEntry.spec().id()));
    Object2DoubleOpenHashMap<String> cpus = new Object2DoubleOpenHashMap<>();
    Object2DoubleOpenHashMap<String> gpus = new Object2DoubleOpenHashMap<>();
    for (JobEntry jobEntry : unfinished) {
      JobSpec spec = jobEntry.spec();
      Team team = settings.teams().get(spec.team());
      if (team == null) {
        continue;
      }
      int remainingTasks = spec.tasks() - jobEntry.completedTaskCount();
      cpus.addTo(spec.team(), remainingTasks * spec.cpus());
      gpus.addTo(spec.team(), remainingTasks * spec.gpus());
      boolean withinGuarantee =
          cpus.getDouble(spec.team()) <= team.guaranteedCpus() + 1e-9
              && gpus.getDouble(spec.team()) <= team.guaranteedGpus() + 1e-9;
      if (withinGuarantee) {
        guaranteedJobs.add(spec.id());
      }
    }
  }
}
