package mallowstall.core.jobs;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.Membership;
import mallowstall.core.cluster.OpenJobs;
import mallowstall.core.cluster.PeerMessenger;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.PlacementTrigger;
import mallowstall.core.kv.JobBitmaps;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.StatusUpdate;

/**
 * Entry of the package: wires its modules, hands each event to the one that it concerns, and runs
 * the periodic work in its fixed order. Not thread-safe.
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

  /** Leads no job before the first entry that names this process as a leader. */
  public JobLeader(
      EventClock clock,
      CoreSettings settings,
      StateStore store,
      JobBitmaps jobBitmaps,
      ClusterView view,
      OpenJobs openJobs,
      Membership membership,
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
    recovery = new LeadershipRecovery(store, view, placementTrigger, jobs);
    failover = new JobFailover(clock, settings, store, jobBitmaps, openJobs, membership);
    completions = new CompletionRecorder(clock, store, jobBitmaps);
  }

  /** The led jobs in the order in which this controller became their leader; a live view. */
  public Collection<LedJob> jobs() {
    return jobs.all();
  }

  /** Whether this controller leads the job and may place its tasks. */
  public boolean mayPlace(String id) {
    return jobs.mayPlace(id);
  }

  /** Number of the job's tasks that are known to run, whoever leads it. */
  public int running(String id) {
    LedJob ledJob = jobs.get(id);
    return ledJob != null ? ledJob.runningCount() : view.runningTasks(id);
  }

  /** Whether the job is led here and fails on so many machines that it is at fault itself. */
  public boolean atFault(String id) {
    return jobs.atFault(id);
  }

  /** Processors that the pending tasks of all led jobs need. */
  public double pendingCpus() {
    return jobs.pendingCpus();
  }

  /** Whether some led job is a service. */
  public boolean anyService() {
    return jobs.anyService();
  }

  /** Begins, continues or ends leading a job, as its new entry in the state replica says. */
  public void applyJobEntry(JobEntry entry) {
    leadership.applyJobEntry(entry);
  }

  /** Takes in completion bits that came after the job's entry. */
  public void reloadCompletionBits(String id) {
    leadership.reloadCompletionBits(id);
  }

  /** Tracks an attempt until it is proven to be on no machine. */
  public void trackAttempt(ActiveAttempt active) {
    attempts.track(active);
  }

  /** Takes in a status update that the cluster view has already taken in. */
  public void applyStatusUpdate(StatusUpdate update) {
    reconciliation.applyStatusUpdate(update);
  }

  /** The machine is proven to be removed, which ends every attempt on it. */
  public void removeMachineAttempts(String id) {
    attempts.removeMachine(id);
  }

  /** Reads the job's entry after a conflict; nothing of it is written before the answer. */
  public void refreshEntry(LedJob ledJob) {
    completions.refreshEntry(ledJob);
  }

  /** Periodic work: recovery and failover of jobs, restarts of replicas, recorded completions. */
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
      // a service has no completions, but a write of unknown outcome is resolved by the next one
      completions.writeEntryIfDue(ledJob);
    }
  }

  /** Ends what was tracked on machines that prove to be returned without a deletion being seen. */
  private void removeReturnedMachines() {
    for (String id : view.removeReturnedMachines()) {
      attempts.removeMachine(id);
    }
  }

  /**
   * Names of machines with tracked attempts of which neither the view nor the replica knows
   * anything: nothing would end these attempts any more. There must be none; for tests.
   */
  public List<String> unknownAttemptMachines() {
    return attempts.machines().stream()
        .filter(id -> view.machine(id) == null && store.machine(id) == null)
        .toList();
  }
}
