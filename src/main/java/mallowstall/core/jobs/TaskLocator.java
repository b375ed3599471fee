package mallowstall.core.jobs;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import mallowstall.core.cluster.SessionAbsences;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.TaskLocations;
import mallowstall.core.model.UnknownCause;

/** Determines on which machines the tasks of a led job may be. Not thread-safe. */
final class TaskLocator {
  private final StateStore store;
  private final SessionAbsences absences;
  private final LedJobs jobs;
  private final LeadershipRecovery recovery;

  TaskLocator(
      StateStore store, SessionAbsences absences, LedJobs jobs, LeadershipRecovery recovery) {
    this.store = store;
    this.absences = absences;
    this.jobs = jobs;
    this.recovery = recovery;
  }

  /**
   * Returns the machines on which tasks of the job may be, or null if this controller doesn't lead
   * the job in this leader epoch.
   */
  TaskLocations locate(String id, long leaderEpoch) {
    LedJob ledJob = jobs.get(id);
    if (ledJob == null || ledJob.entry().epoch() != leaderEpoch || !store.isSessionValid()) {
      return null;
    }
    UnknownCause gap = areFormerAttemptsKnown(ledJob) ? null : UnknownCause.FORMER_ATTEMPTS_UNKNOWN;
    Set<String> machines = new LinkedHashSet<>();
    for (ActiveAttempt active : ledJob.activeAttempts().values()) {
      MachineEntry entry = store.machine(active.machine());
      if (entry == null) {
        gap = UnknownCause.MACHINE_WITHOUT_ENTRY;
      } else if (!absences.haveTasksEnded(entry)) {
        machines.add(active.machine());
      }
    }
    return new TaskLocations(gap, List.copyOf(machines), ledJob.lastAttemptEndMs());
  }

  /**
   * Returns whether every machine on which a former leader of the job may have started a task has
   * reported, or has no tasks any more. Unlike the recovery of the job, this doesn't wait for
   * machines that nobody reaches.
   */
  private boolean areFormerAttemptsKnown(LedJob ledJob) {
    List<String> unknown = recovery.machinesWithUnknownAttempts(ledJob);
    if (unknown == null) {
      return false;
    }
    for (String machine : unknown) {
      MachineEntry entry = store.machine(machine);
      if (entry != null && !absences.haveTasksEnded(entry)) {
        return false;
      }
    }
    return true;
  }
}
