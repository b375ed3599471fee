package mallowstall.core;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.Team;

/** Jobs that their team's guarantee covers, so that they need not wait for other teams. */
final class Entitlements {
  private final CoreSettings settings;
  private final OpenJobs openJobs;
  private final Set<String> entitled = new HashSet<>();

  Entitlements(CoreSettings settings, OpenJobs openJobs) {
    this.settings = settings;
    this.openJobs = openJobs;
  }

  boolean includes(String job) {
    return entitled.contains(job);
  }

  /**
   * The jobs that fit into their team's guarantee together with the team's earlier unfinished ones:
   * they need not wait for other teams. Counted only where several teams share.
   */
  void count() {
    entitled.clear();
    if (settings.teams().size() < 2) {
      return; // nobody to borrow from
    }
    List<JobRec> open = new ArrayList<>();
    for (JobRec job : openJobs.all()) {
      if (!job.over()) {
        open.add(job);
      }
    }
    open.sort(
        Comparator.comparingLong(JobRec::submittedMs)
            .thenComparing(jobRecord -> jobRecord.spec().id()));
    Object2DoubleOpenHashMap<String> cpus = new Object2DoubleOpenHashMap<>();
    Object2DoubleOpenHashMap<String> gpus = new Object2DoubleOpenHashMap<>();
    for (JobRec record : open) {
      JobSpec spec = record.spec();
      Team team = settings.teams().get(spec.team());
      if (team == null) {
        continue;
      }
      int left = spec.tasks() - record.doneCount();
      cpus.addTo(spec.team(), left * spec.cpus());
      gpus.addTo(spec.team(), left * spec.gpus());
      boolean fits =
          cpus.getDouble(spec.team()) <= team.cpus() + 1e-9
              && gpus.getDouble(spec.team()) <= team.gpus() + 1e-9;
      if (fits) {
        entitled.add(spec.id());
      }
    }
  }
}
