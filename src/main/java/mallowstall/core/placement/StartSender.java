package mallowstall.core.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mallowstall.Constants;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.cluster.PeerMessenger;
import mallowstall.core.cluster.PeerState;
import mallowstall.core.jobs.ActiveAttempt;
import mallowstall.core.jobs.JobLeader;
import mallowstall.core.jobs.LedJob;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.Metrics;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.StartBatch;
import mallowstall.core.model.StartRequest;
import mallowstall.core.model.TaskAttempt;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends start requests to machine leaders, one batch per leader and pass. Mutable. */
public final class StartSender {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.placement");

  private final EventClock clock;
  private final CoreSettings settings;
  private final Metrics metrics;
  private final ClusterView view;
  private final PeerMessenger messenger;
  private final StateStore store;
  private final JobLeader jobLeader;

  /** Queued start requests by machine leader. */
  private final Map<String, List<StartRequest>> queuedByLeader = new LinkedHashMap<>();

  /** Creates a sender; the job leader tracks each attempt from the time it is queued. */
  public StartSender(
      EventClock clock,
      CoreSettings settings,
      Metrics metrics,
      StateStore store,
      ClusterView view,
      PeerMessenger messenger,
      JobLeader jobLeader) {
    this.clock = clock;
    this.settings = settings;
    this.metrics = metrics;
    this.view = view;
    this.messenger = messenger;
    this.store = store;
    this.jobLeader = jobLeader;
  }

  /**
   * Queues the start of a task on the machine and reserves the machine's capacity for the task.
   *
   * @param victims tasks on the machine that the machine leader stops first; may be empty
   */
  void enqueue(LedJob ledJob, int task, MachineView machine, List<TaskAttempt> victims) {
    long attempt = (ledJob.entry().epoch() << Constants.ATTEMPT_BITS) + ledJob.takeAttemptNumber();
    long lifetimeMs = Math.min(Constants.START_EXPIRY_MS, store.sessionRemainingMs());
    long expiryMs = clock.wallClockMs() + lifetimeMs - 2 * settings.maxClockSkewMs();
    if (ledJob.activeAttempts().isEmpty() && ledJob.completedCount() == 0) {
      metrics.recordDuration("job_wait", clock.wallClockMs() - ledJob.entry().submittedMs());
    }
    track(ledJob, task, attempt, machine);
    ledJob.recordStart(clock.now());
    machine.reserve(ledJob.spec(), 1);
    queuedByLeader
        .computeIfAbsent(machine.leader(), k -> new ArrayList<>())
        .add(
            new StartRequest(
                machine.id(),
                ledJob.id(),
                task,
                attempt,
                ledJob.entry().epoch(),
                expiryMs,
                victims));
    LOG.debug(
        "start requested job={} task={} attempt={} machine={} peer={} imagePresent={}",
        ledJob.id(),
        task,
        attempt,
        machine.id(),
        machine.leader(),
        machine.status().images().contains(ledJob.spec().image()));
  }

  private void track(LedJob ledJob, int task, long attempt, MachineView machine) {
    PeerState peer = view.peer(machine.leader());
    jobLeader.trackAttempt(
        new ActiveAttempt(
            ledJob,
            task,
            attempt,
            machine.id(),
            machine.status().zone(),
            machine.leader(),
            machine.leaderIncarnation(),
            peer.connection(),
            peer.nextSequence()));
  }

  /** Sends the queued start requests, one batch to each machine leader. */
  void flush() {
    for (Map.Entry<String, List<StartRequest>> entry : queuedByLeader.entrySet()) {
      PeerState peer = view.peer(entry.getKey());
      messenger.sendStarts(
          entry.getKey(),
          new StartBatch(
              settings.node(),
              store.incarnation(),
              peer.connection(),
              peer.takeSequence(),
              entry.getValue(),
              peer.incarnation()));
    }
    queuedByLeader.clear();
  }
}
