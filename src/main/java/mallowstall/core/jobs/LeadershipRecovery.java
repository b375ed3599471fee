package mallowstall.core.jobs;

import java.util.List;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.PlacementTrigger;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.MachineEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds back the placement of claimed jobs until every machine that may have received a start of an
 * earlier leader epoch has shown what it has received. Not thread-safe.
 */
final class LeadershipRecovery {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.jobs");

  /** Time in milliseconds between two log lines on what recovery waits for. */
  private static final long WAIT_REPORT_INTERVAL_MS = 5_000;

  private final EventClock clock;
  private final StateStore store;
  private final ClusterView view;
  private final PlacementTrigger placementTrigger;
  private final LedJobs jobs;
  private final MachineCoverage coverage;

  /** Steady time in milliseconds before which the wait isn't logged again. */
  private long nextReportMs;

  LeadershipRecovery(
      EventClock clock,
      StateStore store,
      ClusterView view,
      PlacementTrigger placementTrigger,
      LedJobs jobs) {
    this.clock = clock;
    this.store = store;
    this.view = view;
    this.placementTrigger = placementTrigger;
    this.jobs = jobs;
    this.coverage = new MachineCoverage(store, view);
  }

  /** Marks the claimed jobs whose attempts are all known as recovered, so that they are placed. */
  void completeRecoveries() {
    if (!anyRecovering()) {
      coverage.clear();
      return;
    }
    boolean isReplicaComplete = store.revision() > 0;
    if (!isReplicaComplete) {
      return;
    }
    coverage.observe();
    int waiting = 0;
    LedJob firstWaiting = null;
    for (LedJob ledJob : jobs.all()) {
      if (ledJob.recovered() || completeRecovery(ledJob)) {
        continue;
      }
      waiting++;
      firstWaiting = firstWaiting == null ? ledJob : firstWaiting;
    }
    if (firstWaiting != null && clock.now() >= nextReportMs) {
      reportWait(waiting, firstWaiting);
    }
  }

  private boolean anyRecovering() {
    for (LedJob ledJob : jobs.all()) {
      if (!ledJob.recovered()) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether the job is recovered from now on. */
  private boolean completeRecovery(LedJob ledJob) {
    if (ledJob.recovery().claimRevision() > store.revision()) {
      return false;
    }
    if (ledJob.recovery().progress() == null) {
      ledJob.recovery().begin(coverage.begin());
    }
    String machine = coverage.firstUncovered(ledJob.recovery());
    if (machine != null) {
      LOG.debug("job recovery waits job={} machine={}", ledJob.id(), machine);
      return false;
    }
    ledJob.recovery().complete();
    LOG.info(
        "job recovered job={} epoch={} attempts={}",
        ledJob.id(),
        ledJob.entry().epoch(),
        ledJob.activeAttempts().size());
    placementTrigger.request();
    return true;
  }

  /**
   * Returns the machines on which attempts of earlier leaders of the job may be that this
   * controller doesn't know, or null if that can't be told yet.
   */
  List<String> machinesWithUnknownAttempts(LedJob ledJob) {
    if (ledJob.recovered()) {
      return List.of();
    }
    return ledJob.recovery().progress() == null ? null : coverage.uncovered(ledJob.recovery());
  }

  private void reportWait(int waiting, LedJob ledJob) {
    List<String> machines = machinesWithUnknownAttempts(ledJob);
    MachineEntry entry =
        machines == null || machines.isEmpty() ? null : store.machine(machines.get(0));
    if (entry == null) {
      return;
    }
    nextReportMs = clock.now() + WAIT_REPORT_INTERVAL_MS;
    LOG.info(
        "jobs wait for recovery jobs={} job={} claim_revision={} machines={} machine={} gap={}"
            + " leader={} token={} leader_revision={} own_revision={}",
        waiting,
        ledJob.id(),
        ledJob.recovery().claimRevision(),
        machines.size(),
        machines.get(0),
        view.reportingGap(machines.get(0), entry),
        entry.node(),
        entry.fencingToken(),
        view.peer(entry.node()).replicaRevision(),
        store.revision());
  }
}
