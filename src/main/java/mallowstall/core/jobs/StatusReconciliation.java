package mallowstall.core.jobs;

import java.util.ArrayList;
import java.util.Set;
import mallowstall.Constants;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.cluster.PeerMessenger;
import mallowstall.core.cluster.PeerState;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.ExitReason;
import mallowstall.core.model.MachineStatus;
import mallowstall.core.model.StartRejection;
import mallowstall.core.model.StatusUpdate;
import mallowstall.core.model.StopRequest;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.TaskStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconciles the status updates of machine leaders with the attempts that this controller tracks.
 * It discovers attempts, records that they run or have ended, and detects starts that are proven
 * never to have arrived. Not thread-safe.
 */
final class StatusReconciliation {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.jobs");

  /**
   * Margin in milliseconds added to the expiry of a start for clock skew and for the delay of the
   * machine leader.
   */
  private static final long START_EXPIRY_MARGIN_MS = 1_000;

  private final EventClock clock;
  private final StateStore store;
  private final ClusterView view;
  private final PeerMessenger messenger;
  private final LedJobs jobs;
  private final AttemptTracker attempts;
  private final TaskExitHandler exits;

  /** Number of attempts of earlier leaders that were discovered after the recovery of their job. */
  private int attemptsAfterRecovery;

  StatusReconciliation(
      EventClock clock,
      StateStore store,
      ClusterView view,
      PeerMessenger messenger,
      LedJobs jobs,
      AttemptTracker attempts,
      TaskExitHandler exits) {
    this.clock = clock;
    this.store = store;
    this.view = view;
    this.messenger = messenger;
    this.jobs = jobs;
    this.attempts = attempts;
    this.exits = exits;
  }

  /** Returns how many attempts of earlier leaders were discovered too late. */
  int attemptsAfterRecovery() {
    return attemptsAfterRecovery;
  }

  /** Applies a status update that has already been applied to the cluster view. */
  void applyStatusUpdate(StatusUpdate update) {
    for (StartRejection rejection : update.rejections()) {
      LedJob ledJob = jobs.get(rejection.job());
      if (ledJob != null) {
        exits.handleRejection(ledJob, rejection);
      }
    }
    for (MachineStatus status : update.machines()) {
      MachineView machine = view.machine(status.machine());
      if (machine != null && isCurrentStatus(machine, status)) {
        applyMachineStatus(update, status);
      }
    }
    releaseUndeliveredStarts(update);
  }

  /**
   * Returns whether the cluster view holds this status object. If not, the view has kept a status
   * with a higher fencing token.
   */
  @SuppressWarnings("ReferenceEquality")
  private static boolean isCurrentStatus(MachineView machine, MachineStatus status) {
    return machine.status() == status;
  }

  /**
   * Releases the attempts whose start is proven not to have arrived. One proof is that the machine
   * leader has acknowledged the start while the status of the machine does not list the attempt.
   * The acknowledgement may arrive in an update without a new status of the machine, so this checks
   * all unobserved starts.
   */
  private void releaseUndeliveredStarts(StatusUpdate update) {
    PeerState peer = view.peer(update.node());
    for (ActiveAttempt active : attempts.unobservedStarts()) {
      MachineView machine = view.machine(active.machine());
      boolean reported =
          machine != null
              && machine.status() != null
              && update.node().equals(machine.leader())
              && machine.status().tokenAcknowledged();
      if (!active.inLatestStatus() && reported && startOutcomeKnown(active, update, peer)) {
        attempts.releaseUnreported(active);
      }
    }
  }

  private void applyMachineStatus(StatusUpdate update, MachineStatus status) {
    Set<ActiveAttempt> onMachine = attempts.attemptsOn(status.machine());
    if (onMachine != null) {
      for (ActiveAttempt active : onMachine) {
        active.setInLatestStatus(false);
      }
    }
    for (TaskStatus taskStatus : status.tasks()) {
      applyTaskStatus(update.node(), update.incarnation(), status, taskStatus);
    }
    if (onMachine == null) {
      return;
    }
    for (ActiveAttempt active : new ArrayList<>(onMachine)) {
      // No task survives into a later worker session, whichever controller leads the machine.
      boolean reported = status.tokenAcknowledged() || status.session() > active.workerSession();
      if (!active.inLatestStatus() && active.observedOnMachine() && reported) {
        attempts.releaseUnreported(active);
      }
    }
  }

  /**
   * Returns whether the status of the machine already includes the outcome of the start, so that an
   * attempt that the status does not list is on no machine.
   */
  private boolean startOutcomeKnown(ActiveAttempt active, StatusUpdate update, PeerState sender) {
    PeerState peer = sender;
    if (!active.machineLeader().equals(update.node())) {
      // The machine has a new leader, but the start may still be in flight to the former leader,
      // which may lead the machine again when the start arrives.
      peer = view.peer(active.machineLeader());
      if (clock.now() - active.placedAtMs() > Constants.START_EXPIRY_MS + START_EXPIRY_MARGIN_MS) {
        return true;
      }
    }
    if (peer.incarnation() > active.machineLeaderIncarnation()) {
      return true;
    }
    return peer.acknowledgedConnection() > active.connection()
        || (peer.acknowledgedConnection() == active.connection()
            && peer.acknowledgedSequence() >= active.sequence());
  }

  /**
   * Applies the task statuses of the job that the cluster view already holds. Later updates are
   * incremental and need not list those tasks again, so a task overlooked here would be placed a
   * second time.
   */
  void applyKnownTaskStatuses(String job) {
    for (MachineView machine : view.machines()) {
      if (machine.status() == null || machine.leader() == null) {
        continue; // The machine's next leader sends a full update.
      }
      for (TaskStatus taskStatus : machine.status().tasks()) {
        if (taskStatus.job().equals(job)) {
          applyTaskStatus(
              machine.leader(), machine.leaderIncarnation(), machine.status(), taskStatus);
        }
      }
    }
  }

  /** Applies the status of one task; does nothing if this controller does not lead the job. */
  private void applyTaskStatus(
      String machineLeader, long incarnation, MachineStatus status, TaskStatus taskStatus) {
    LedJob ledJob = jobs.get(taskStatus.job());
    if (ledJob == null || taskStatus.task() >= ledJob.spec().tasks()) {
      return;
    }
    ActiveAttempt active = ledJob.activeAttempts().get(taskStatus.task());
    boolean sameAttempt =
        active != null
            && active.attempt() == taskStatus.attempt()
            && active.machine().equals(status.machine());
    if (sameAttempt) {
      active.setInLatestStatus(true);
    }
    if (taskStatus.state() == TaskState.RUNNING || taskStatus.exitReason() == ExitReason.DONE) {
      ledJob.recordRunning(clock.now());
    }
    if (taskStatus.state() == TaskState.EXITED) {
      exits.handleExit(ledJob, sameAttempt ? active : null, status.machine(), taskStatus);
    } else if (sameAttempt) {
      attempts.recordObservation(active, status, taskStatus);
    } else if (!ledJob.completed().contains(taskStatus.task())) {
      // A completed task needs no handling: its machine leader stops it once the bit is recorded.
      resolveAttemptConflict(ledJob, active, machineLeader, incarnation, status, taskStatus);
    }
  }

  /** Handles the status of an untracked attempt; {@code active} is the tracked one or null. */
  private void resolveAttemptConflict(
      LedJob ledJob,
      ActiveAttempt active,
      String machineLeader,
      long incarnation,
      MachineStatus status,
      TaskStatus taskStatus) {
    if (active == null) {
      trackDiscoveredAttempt(ledJob, machineLeader, incarnation, status, taskStatus);
    } else if (taskStatus.attempt() > active.attempt()) {
      // Both attempts are on machines. Only the later one is tracked from here on, and the task
      // must not be placed again before that attempt has ended too.
      attempts.release(active, false);
      applyTaskStatus(machineLeader, incarnation, status, taskStatus);
    } else if (taskStatus.attempt() < active.attempt()
        && status.tokenAcknowledged()
        && store.isSessionValid()) {
      // Without a valid session the cluster view may be stale: the machine may have been scaled in
      // since.
      LOG.error(
          "task on two machines job={} task={} attempt={} machine={} other_attempt={}"
              + " other_machine={}",
          ledJob.id(),
          taskStatus.task(),
          taskStatus.attempt(),
          status.machine(),
          active.attempt(),
          active.machine());
      messenger.sendStop(
          machineLeader,
          new StopRequest(
              status.machine(), ledJob.id(), taskStatus.task(), taskStatus.attempt(), 0));
    }
  }

  private static boolean isMissedByRecovery(
      LedJob ledJob, MachineStatus status, TaskStatus taskStatus) {
    // A late copy of a heartbeat may list attempts of an expired session, under a former token.
    return ledJob.recovered()
        && status.tokenAcknowledged()
        && taskStatus.attempt() >>> Constants.ATTEMPT_BITS < ledJob.entry().epoch();
  }

  private void trackDiscoveredAttempt(
      LedJob ledJob,
      String machineLeader,
      long incarnation,
      MachineStatus status,
      TaskStatus taskStatus) {
    if (isMissedByRecovery(ledJob, status, taskStatus)) {
      attemptsAfterRecovery++;
      LOG.error(
          "attempt of an earlier leader after recovery job={} task={} attempt={} machine={}",
          ledJob.id(),
          taskStatus.task(),
          taskStatus.attempt(),
          status.machine());
    }
    attempts.track(
        ActiveAttempt.discovered(
            ledJob, status, taskStatus, machineLeader, incarnation, clock.now()));
    LOG.debug(
        "attempt discovered job={} task={} attempt={} machine={}",
        ledJob.id(),
        taskStatus.task(),
        taskStatus.attempt(),
        status.machine());
  }
}
