package mallowstall.core;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mallowstall.Constants;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.MachineType;
import mallowstall.core.Model.RosterTask;
import mallowstall.core.Model.TaskState;
import mallowstall.core.Model.Team;
import mallowstall.core.Model.TeamRec;

/**
 * Open jobs with a task that no machine has room for, although by their number there are enough.
 * Replicas stand for good: what they leave free may be too little on each machine, or be in a zone
 * that the job doesn't allow. Mutable.
 */
final class StrandedJobs {
  private final CoreSettings settings;
  private final Store store;
  private final View view;
  private final Map<String, Long> since = new HashMap<>();

  StrandedJobs(CoreSettings settings, Store store, View view) {
    this.settings = settings;
    this.store = store;
    this.view = view;
  }

  /** Drops what is remembered of jobs that are over. */
  void retain(Iterable<JobRec> open) {
    Set<String> ids = new HashSet<>();
    for (JobRec job : open) {
      if (!job.over()) {
        ids.add(job.spec().id());
      }
    }
    since.keySet().retainAll(ids);
  }

  /**
   * The zones of the type in which a machine would help the job; none while one may have room, or
   * hasn't been missing for long.
   */
  List<String> zonesMissing(JobRec jobRecord, MachineType type, List<View.Seen> up, long now) {
    JobSpec job = jobRecord.spec();
    List<String> zones = waits(jobRecord) ? zonesAllowed(job, type, up) : List.of();
    if (zones.isEmpty() || roomIn(job, zones, up)) {
      since.remove(job.id());
      return List.of();
    }
    long from = since.computeIfAbsent(job.id(), k -> now);
    long patience = job.service() ? Constants.REPLICA_STRANDED_MS : Constants.BATCH_STRANDED_MS;
    return now - from > patience ? zones : List.of();
  }

  /** A replica runs nowhere, or no task of a batch does, and not for its team's limit. */
  private boolean waits(JobRec jobRecord) {
    JobSpec job = jobRecord.spec();
    int placed = view.placed(job.id());
    boolean missing = job.service() ? placed < job.tasks() : placed == 0;
    return missing && (jobRecord.grant() > placed || !teamAtLimit(job));
  }

  private boolean teamAtLimit(JobSpec job) {
    Team team = settings.teams().get(job.team());
    Store.Held held = store.held(Store.TEAMS + job.team());
    if (team == null || held == null) {
      return false;
    }
    TeamRec sum = (TeamRec) held.value();
    return team.cpusMax() > 0 && sum.cpus() + job.cpus() > team.cpusMax() + 1e-9
        || team.gpusMax() > 0 && sum.gpus() + job.gpus() > team.gpusMax() + 1e-9;
  }

  private static List<String> zonesAllowed(JobSpec job, MachineType type, List<View.Seen> up) {
    if (job.zone() == null && !job.oneZone() && !job.spread()) {
      return type.zones();
    }
    return type.zones().stream().filter(zone -> allows(job, zone, up)).toList();
  }

  private static boolean allows(JobSpec job, String zone, List<View.Seen> up) {
    if (job.zone() != null && !job.zone().equals(zone)) {
      return false;
    }
    int there = 0;
    int elsewhere = 0;
    for (View.Seen machine : up) {
      int tasks = tasksOn(machine, job.id());
      if (machine.state.zone().equals(zone)) {
        there += tasks;
      } else {
        elsewhere += tasks;
      }
    }
    if (job.oneZone() && elsewhere > 0) {
      return false;
    }
    return !job.spread() || there < (job.tasks() + 1) / 2;
  }

  private static int tasksOn(View.Seen machine, String job) {
    int tasks = 0;
    for (RosterTask task : machine.state.tasks()) {
      if (task.job().equals(job) && task.state() != TaskState.EXITED) {
        tasks++;
      }
    }
    return tasks;
  }

  private static boolean roomIn(JobSpec job, List<String> zones, List<View.Seen> up) {
    for (View.Seen machine : up) {
      if (!job.allowsMachine(machine.state.type(), machine.state.zone(), machine.state.spot())) {
        continue;
      }
      boolean fits =
          machine.state.freeCpus() >= job.cpus() - 1e-9
              && machine.state.freeGpus() >= job.gpus() - 1e-9
              && machine.state.freeMemoryGb() >= job.memoryGb() - 1e-9;
      if (fits && zones.contains(machine.state.zone())) {
        return true;
      }
    }
    return false;
  }
}
