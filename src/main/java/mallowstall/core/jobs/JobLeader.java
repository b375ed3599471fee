package mallowstall.core.jobs;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.JobsNeedingLeader;
import mallowstall.core.cluster.Membership;
import mallowstall.core.cluster.PeerMessenger;
import mallowstall.core.cluster.SessionAbsences;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.PlacementTrigger;
import mallowstall.core.kv.JobBitmaps;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.StatusUpdate;
import mallowstall.core.model.TaskLocations;

/**
 * Entry point of the package. Creates the package's components, passes each event to the component
 * that handles it, and runs the periodic work in a fixed order. Not thread-safe.
 */
public final class JobLeader {
  private final EventClock clock;
  private final StateStore store;
  private final ClusterView view;
  private final LedJobs jobs = new LedJobs();
  private final AttemptTracker attempts;
  private final StatusReconciliation reconciliation;
  private final JobLeadership leadership;
  private final LeadershipRecovery recovery;
  private final JobFailover failover;
  private final CompletionRecorder completions;
  private final TaskLocator locator;

  /**
   * Creates a job leader that leads no job until {@link #applyJobEntry} receives an entry that
   * names this process as the leader.
   */
  public JobLeader(
      EventClock clock,
      CoreSettings settings,
      StateStore store,
      JobBitmaps jobBitmaps,
      ClusterView view,
      JobsNeedingLeader jobsNeedingLeader,
      Membership membership,
      SessionAbsences absences,
      PeerMessenger messenger,
      PlacementTrigger placementTrigger) {
    this.clock = clock;
    this.store = store;
    this.view = view;
    attempts = new AttemptTracker(clock, placementTrigger);
    reconciliation =
        new StatusReconciliation(
            clock, store, view, messenger, jobs, attempts, new TaskExitHandler(clock, attempts));
    leadership =
        new JobLeadership(
            clock,
            settings,
            store,
            jobBitmaps,
            view,
            placementTrigger,
            jobs,
            attempts,
            reconciliation);
    recovery = new LeadershipRecovery(clock, store, view, placementTrigger, jobs);
    failover = new JobFailover(clock, settings, store, jobBitmaps, jobsNeedingLeader, membership);
    completions = new CompletionRecorder(clock, store, jobBitmaps);
    locator = new TaskLocator(store, absences, jobs, recovery);
  }

  /** Returns a live view of the led jobs, in the order in which this controller became leader. */
  public Collection<LedJob> jobs() {
    return jobs.all();
  }

  /** Returns whether this controller leads the job and has recovered it, so it may place tasks. */
  public boolean mayPlace(String id) {
    return jobs.mayPlace(id);
  }

  /** Returns the number of the job's tasks that are known to run, whichever controller leads it. */
  public int running(String id) {
    LedJob ledJob = jobs.get(id);
    return ledJob != null ? ledJob.runningCount() : view.runningTasks(id);
  }

  /**
   * Returns whether this controller leads the job and its tasks have failed on at least {@code
   * Constants.JOB_FAULT_MACHINES} machines, so that the job itself is considered faulty.
   */
  public boolean atFault(String id) {
    return jobs.atFault(id);
  }

  /**
   * Returns the machines on which tasks of the job may be, or null if this controller doesn't lead
   * the job in this leader epoch.
   */
  public TaskLocations locateTasks(String id, long leaderEpoch) {
    return locator.locate(id, leaderEpoch);
  }

  /** Returns the number of processors that the pending tasks of all led jobs need. */
  public double pendingCpus() {
    return jobs.pendingCpus();
  }

  /** Returns whether any led job is a service. */
  public boolean anyService() {
    return jobs.anyService();
  }

  /** Begins, continues or ends leading a job according to its new entry in the state replica. */
  public void applyJobEntry(JobEntry entry) {
    leadership.applyJobEntry(entry);
  }

  /** Adds completion bits that reached the state replica after the job's entry. */
  public void reloadCompletionBits(String id) {
    leadership.reloadCompletionBits(id);
  }

  /** Tracks an attempt until it is proven to be on no machine. */
  public void trackAttempt(ActiveAttempt active) {
    attempts.track(active);
  }

  /** Applies a status update that has already been applied to the cluster view. */
  public void applyStatusUpdate(StatusUpdate update) {
    reconciliation.applyStatusUpdate(update);
  }

  /** Releases all attempts on a machine that is proven to be removed, which ended them. */
  public void removeMachineAttempts(String id) {
    attempts.releaseAttemptsOn(id);
  }

  /** Reads the job's entry after a conflict. It is not written until the read is answered. */
  public void refreshEntry(LedJob ledJob) {
    completions.refreshEntry(ledJob);
  }

  /**
   * Runs the periodic work: job recovery and failover, restarts of replicas, and writes of
   * completions. Does nothing until the state replica is synced.
   */
  public void tick() {
    if (!store.synced()) {
      return;
    }
    removeReturnedMachines();
    recovery.completeRecoveries();
    failover.claimLeaderlessJobs();
    for (LedJob ledJob : new ArrayList<>(jobs.all())) {
      if (ledJob.spec().isService()) {
        ledJob.restarts().releaseDue(clock.now(), ledJob::requeue);
      }
      // A service has no completions, but its next write resolves one with an unknown outcome.
      completions.writeEntryIfDue(ledJob);
    }
  }

  /**
   * Releases the attempts on machines that are proven to be returned although this controller saw
   * no deletion of their entries.
   */
  private void removeReturnedMachines() {
    for (String id : view.removeReturnedMachines()) {
      attempts.releaseAttemptsOn(id);
    }
  }

  /**
   * Returns how many attempts of earlier leaders were discovered after the recovery of their job,
   * which must be none. Used by tests.
   */
  public int attemptsAfterRecovery() {
    return reconciliation.attemptsAfterRecovery();
  }

  /**
   * Returns the ids of machines that have tracked attempts but are in neither the cluster view nor
   * the state replica. No event would release these attempts any more, so the list must be empty.
   * Used by tests.
   */
  public List<String> unknownMachinesWithAttempts() {
    return attempts.machines().stream()
        .filter(id -> view.machine(id) == null && store.machine(id) == null)
        .toList();
  }
}
