package mallowstall.core.jobs;

import mallowstall.core.cluster.ClusterView;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.PlacementTrigger;
import mallowstall.core.kv.JobBitmaps;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.JobEntry;

/**
 * Decides by the job entries in the state replica which jobs this process leads. The entry of a job
 * names the process that leads it and the leader epoch. Not thread-safe.
 */
final class JobLeadership {
  private final EventClock clock;
  private final CoreSettings settings;
  private final StateStore store;
  private final JobBitmaps jobBitmaps;
  private final ClusterView view;
  private final PlacementTrigger placementTrigger;
  private final LedJobs jobs;
  private final AttemptTracker attempts;
  private final StatusReconciliation reconciliation;

  JobLeadership(
      EventClock clock,
      CoreSettings settings,
      StateStore store,
      JobBitmaps jobBitmaps,
      ClusterView view,
      PlacementTrigger placementTrigger,
      LedJobs jobs,
      AttemptTracker attempts,
      StatusReconciliation reconciliation) {
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.jobBitmaps = jobBitmaps;
    this.view = view;
    this.placementTrigger = placementTrigger;
    this.jobs = jobs;
    this.attempts = attempts;
    this.reconciliation = reconciliation;
  }

  /** Begins, continues or ends leading the job according to its entry in the state replica. */
  void applyJobEntry(JobEntry entry) {
    String id = entry.spec().id();
    LedJob ledJob = jobs.get(id);
    boolean ledHere =
        entry.leader().equals(settings.node())
            && entry.incarnation() == store.incarnation()
            && entry.needsLeader();
    if (!ledHere) {
      if (ledJob != null) {
        endLeading(ledJob);
      }
      return;
    }
    long modRevision = store.modRevision(StateKeys.job(id));
    boolean newEpoch = ledJob == null || ledJob.entry().epoch() != entry.epoch();
    if (newEpoch) {
      if (ledJob != null) {
        endLeading(ledJob);
      }
      ledJob = new LedJob(entry, modRevision, view.updatesReceived(), clock.now());
      ledJob.completed().merge(jobBitmaps.completedTasks(entry));
      jobs.add(ledJob);
    }
    ledJob.applyEntry(entry, modRevision, clock.now());
    if (newEpoch && !ledJob.recovered()) {
      reconciliation.applyKnownTaskStatuses(id);
    }
    placementTrigger.request();
  }

  /**
   * Adds completion bits that reached the state replica after the job's entry. This happens because
   * the entry may be read separately from the bits.
   */
  void reloadCompletionBits(String id) {
    LedJob ledJob = jobs.get(id);
    if (ledJob != null) {
      ledJob.completed().merge(jobBitmaps.completedTasks(ledJob.entry()));
    }
  }

  private void endLeading(LedJob ledJob) {
    jobs.remove(ledJob);
    attempts.stopTrackingJob(ledJob);
  }
}
