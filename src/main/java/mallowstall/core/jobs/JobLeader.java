package mallowstall.core.jobs;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mallowstall.Constants;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.cluster.Membership;
import mallowstall.core.cluster.OpenJobs;
import mallowstall.core.cluster.PeerMessenger;
import mallowstall.core.cluster.PeerState;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.PlacementTrigger;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.RetryDelay;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kv.JobBitmaps;
import mallowstall.core.kv.RequestPriority;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.kv.StoredValue;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.ExitReason;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobOutcome;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.MachineStatus;
import mallowstall.core.model.StartRejection;
import mallowstall.core.model.StatusUpdate;
import mallowstall.core.model.StopRequest;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.TaskStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The jobs this controller holds: where their tasks may be, their done bits, their grants. */
public final class JobLeader {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.holder");

  private final EventClock clock;
  private final CoreSettings settings;
  private final JobBitmaps jobBitmaps;
  private final ClusterView view;
  private final OpenJobs openJobs;
  private final Membership membership;
  private final PeerMessenger messenger;
  private final PlacementTrigger placementTrigger;
  private final StateStore store;
  private final Map<String, LedJob> jobs = new LinkedHashMap<>();
  private final Map<String, Set<ActiveAttempt>> attemptsByMachine = new HashMap<>();
  private final Map<String, Long> claimsInFlight = new HashMap<>();
  private final Map<String, RetryDelay> claimRetries = new HashMap<>();
  private final Map<String, Long> leaderlessSinceMs = new HashMap<>();

  /** Tasks that were sent to an owner and not yet seen on a machine. */
  private final Set<ActiveAttempt> unobservedStarts = new LinkedHashSet<>();

  private long nextFailoverCheckMs;

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
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
    this.settings = settings;
    this.jobBitmaps = jobBitmaps;
    this.view = view;
    this.openJobs = openJobs;
    this.membership = membership;
    this.messenger = messenger;
    this.placementTrigger = placementTrigger;
    this.store = store;
  }

  /** The jobs led by this controller, in the order in which it became their leader. */
  public Collection<LedJob> jobs() {
    return jobs.values();
  }

  LedJob job(String id) {
    return jobs.get(id);
  }

  /** Whether this controller leads the job and may place its tasks. */
  public boolean mayPlace(String id) {
    LedJob ledJob = jobs.get(id);
    return ledJob != null && ledJob.recovered();
  }

  /** Tasks of the job that status updates show as running, whoever leads it. */
  public int running(String id) {
    LedJob ledJob = jobs.get(id);
    return ledJob != null ? ledJob.runningCount() : view.runningTasks(id);
  }

  /** Whether the job's tasks fail on so many machines that the job itself is at fault. */
  public boolean atFault(String id) {
    LedJob ledJob = jobs.get(id);
    return ledJob != null && ledJob.machinesWithErrors().size() >= Constants.JOB_FAULT_MACHINES;
  }

  /** Processors that the pending tasks of the jobs led here need. */
  public double pendingCpus() {
    double pending = 0;
    for (LedJob ledJob : jobs.values()) {
      if (!ledJob.finished()) {
        pending += ledJob.pending() * ledJob.spec().cpus();
      }
    }
    return pending;
  }

  /** Whether a service job is led here. */
  public boolean anyService() {
    for (LedJob ledJob : jobs.values()) {
      if (ledJob.spec().isService()) {
        return true;
      }
    }
    return false;
  }

  // ---- entries ------------------------------------------------------------------------------
  /** Starts, continues or ends leading the job, as its entry in the state replica says. */
  public void applyJobEntry(JobEntry before, JobEntry job) {
    String id = job.spec().id();
    LedJob ledJob = jobs.get(id);
    boolean ledHere =
        job.leader().equals(settings.node())
            && job.incarnation() == store.incarnation()
            && job.needsLeader();
    if (!ledHere) {
      if (ledJob != null) {
        removeJob(ledJob);
      }
      return;
    }
    long modRevision = store.modRevision(StateKeys.job(id));
    boolean newEpoch = ledJob == null || ledJob.entry().epoch() != job.epoch();
    if (newEpoch) {
      if (ledJob != null) {
        removeJob(ledJob);
      }
      ledJob = new LedJob(id, job.spec());
      ledJob.setLeaderSinceMs(clock.now());
      ledJob.setClaimRevision(modRevision);
      ledJob.setStatusUpdatesBeforeClaim(view.updatesReceived());
      // the first epoch of this very process: nobody can have started anything before
      ledJob.setRecovered(job.epoch() == 1);
      loadCompletionBits(ledJob, job);
      jobs.put(id, ledJob);
    }
    if (modRevision > ledJob.modRevision()) {
      ledJob.setWriteOutcomeUnknown(false);
    }
    if (ledJob.entry() != null && job.quotaReservedTasks() > ledJob.entry().quotaReservedTasks()) {
      ledJob.setQuotaIdleSinceMs(clock.now());
    }
    ledJob.setEntry(job);
    ledJob.setModRevision(modRevision);
    if (newEpoch && !ledJob.recovered()) {
      applyKnownTaskStatuses(id);
    }
    placementTrigger.request();
  }

  /**
   * Where the job's tasks are by what owners have told so far. Later statements repeat only what
   * has changed, so a task that this passed over would be placed once more.
   */
  private void applyKnownTaskStatuses(String id) {
    for (MachineView machine : view.machines()) {
      if (machine.status() == null || machine.leader() == null) {
        continue; // its next owner tells it all
      }
      for (TaskStatus taskStatus : machine.status().tasks()) {
        if (taskStatus.job().equals(id)) {
          applyTaskStatus(
              machine.leader(), machine.leaderIncarnation(), machine.status(), taskStatus);
        }
      }
    }
  }

  private void loadCompletionBits(LedJob ledJob, JobEntry job) {
    ledJob.completed().or(jobBitmaps.completedTasks(job));
    ledJob.setCompletedCount(ledJob.completed().cardinality());
  }

  /** Bits of the job that came after its entry, which may have been read on its own. */
  public void reloadCompletionBits(String id) {
    LedJob ledJob = jobs.get(id);
    if (ledJob != null) {
      loadCompletionBits(ledJob, ledJob.entry());
    }
  }

  private void removeJob(LedJob ledJob) {
    jobs.remove(ledJob.id());
    for (ActiveAttempt active : ledJob.activeAttempts().values()) {
      removeFromMachineIndex(active);
    }
  }

  private void removeFromMachineIndex(ActiveAttempt active) {
    unobservedStarts.remove(active);
    Set<ActiveAttempt> attempts = attemptsByMachine.get(active.machine());
    if (attempts == null) {
      return;
    }
    attempts.remove(active);
    if (attempts.isEmpty()) {
      attemptsByMachine.remove(active.machine());
    }
  }

  /** Tracks an attempt until it is proven to be on no machine. */
  public void trackAttempt(ActiveAttempt active) {
    active.job().activeAttempts().put(active.task(), active);
    active.setPlacedAtMs(clock.now());
    if (!active.observedOnMachine()) {
      unobservedStarts.add(active);
    }
    attemptsByMachine.computeIfAbsent(active.machine(), key -> new LinkedHashSet<>()).add(active);
  }

  private void releaseAttempt(ActiveAttempt active, boolean retry) {
    if (active.job().activeAttempts().get(active.task()) == active) {
      active.job().activeAttempts().remove(active.task());
    }
    removeFromMachineIndex(active);
    if (active.job().activeAttempts().isEmpty() || active.job().quotaIdleSinceMs() == 0) {
      active.job().setQuotaIdleSinceMs(clock.now());
    }
    if (retry && !active.job().completed().get(active.task())) {
      active.job().requeue(active.task());
    }
    placementTrigger.request();
  }

  // ---- rosters ------------------------------------------------------------------------------
  /** An owner has told of its machines: brings what is known of the jobs held here up to date. */
  public void applyStatusUpdate(StatusUpdate update) {
    for (StartRejection rejection : update.rejections()) {
      handleStartRejection(rejection);
    }
    for (MachineStatus status : update.machines()) {
      MachineView machineView = view.machine(status.machine());
      if (machineView != null && machineView.status() == status) { // else a larger term is known
        applyMachineStatus(update, status);
      }
    }
    // Of a start that wasn't seen yet, a statement tells by its acknowledgement too, which comes
    // without anything new on the machine if the start never arrived.
    PeerState peer = view.peer(update.node());
    for (ActiveAttempt active : new ArrayList<>(unobservedStarts)) {
      MachineView machine = view.machine(active.machine());
      boolean reported =
          machine != null
              && machine.status() != null
              && update.node().equals(machine.leader())
              && machine.status().tokenAcknowledged();
      if (!active.inLatestStatus() && reported && startOutcomeKnown(active, update, peer)) {
        attemptTerminated(active);
      }
    }
  }

  /** Takes in what is on one machine, and what is there no longer. */
  private void applyMachineStatus(StatusUpdate update, MachineStatus status) {
    Set<ActiveAttempt> attempts = attemptsByMachine.get(status.machine());
    if (attempts != null) {
      for (ActiveAttempt active : attempts) {
        active.setInLatestStatus(false);
      }
    }
    for (TaskStatus taskStatus : status.tasks()) {
      applyTaskStatus(update.node(), update.incarnation(), status, taskStatus);
    }
    if (attempts == null) {
      return;
    }
    for (ActiveAttempt active : new ArrayList<>(attempts)) {
      // a later session of the machine has none of an earlier one's tasks, whoever owns it
      boolean reported = status.tokenAcknowledged() || status.session() > active.workerSession();
      if (!active.inLatestStatus() && active.observedOnMachine() && reported) {
        attemptTerminated(active);
      }
    }
  }

  private void attemptTerminated(ActiveAttempt active) {
    LOG.debug(
        "task {}/{} attempt {} is no longer on {}",
        active.job().id(),
        active.task(),
        active.attempt(),
        active.machine());
    releaseAttempt(active, true);
  }

  /** Whether this roster already tells the outcome of a start that was only sent. */
  private boolean startOutcomeKnown(ActiveAttempt active, StatusUpdate update, PeerState peer) {
    if (!active.machineLeader().equals(update.node())) {
      // The machine has moved, but the start may still be on its way to the owner it was sent to,
      // which may own the machine again by the time it arrives.
      peer = view.peer(active.machineLeader());
      if (clock.now() - active.placedAtMs()
          > Constants.START_EXPIRY_MS + Constants.START_EXPIRY_MARGIN_MS) {
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

  private void handleStartRejection(StartRejection rejection) {
    LedJob ledJob = jobs.get(rejection.job());
    if (ledJob == null) {
      return;
    }
    ActiveAttempt active = ledJob.activeAttempts().get(rejection.task());
    if (active == null || active.attempt() != rejection.attempt() || active.observedOnMachine()) {
      return;
    }
    boolean retrySoon = rejection.reason().equals(StartRejection.JOB_NOT_KNOWN);
    if (retrySoon && ledJob.spec().isService()) {
      // tried meanwhile, all replicas went to the one machine whose owner knew of the job
      ledJob.setStartNotBeforeMs(
          Math.max(ledJob.startNotBeforeMs(), clock.now() + Constants.REPLICA_LAG_COOLDOWN_MS));
    }
    ledJob
        .machineCooldownUntilMs()
        .put(
            rejection.machine(),
            clock.now()
                + (retrySoon
                    ? Constants.REPLICA_LAG_COOLDOWN_MS
                    : Constants.START_REJECTED_COOLDOWN_MS));
    releaseAttempt(active, true);
  }

  /** What an owner tells of one task of a job that may be held here. */
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
      ledJob.setLastRunningMs(clock.now());
    }
    if (taskStatus.state() == TaskState.EXITED) {
      handleTaskExit(ledJob, sameAttempt ? active : null, status.machine(), taskStatus);
    } else if (sameAttempt) {
      markObserved(active, status, taskStatus);
    } else if (!ledJob
        .completed()
        .get(taskStatus.task())) { // else its owner stops it once the bit is recorded
      resolveAttemptConflict(ledJob, active, machineLeader, incarnation, status, taskStatus);
    }
  }

  /** A task has ended; {@code active}: the attempt that is known here, if it is that one. */
  private void handleTaskExit(
      LedJob ledJob, ActiveAttempt active, String machine, TaskStatus taskStatus) {
    if (ledJob.spec().isService()) {
      if (active != null) {
        handleReplicaExit(active, machine, taskStatus.exitReason());
      }
    } else if (taskStatus.exitReason() == ExitReason.DONE) {
      if (!ledJob.completed().get(taskStatus.task())) {
        ledJob.markCompleted(taskStatus.task());
        ledJob.machinesWithErrors().clear();
      }
      if (active != null) {
        releaseAttempt(active, false);
      }
    } else if (active != null) {
      recordFailedAttempt(active, taskStatus.exitReason());
      releaseAttempt(active, true);
    }
  }

  /** The attempt is where it was sent. */
  private void markObserved(ActiveAttempt active, MachineStatus status, TaskStatus taskStatus) {
    if (taskStatus.state() == TaskState.RUNNING && active.runningSinceMs() == 0) {
      active.setRunningSinceMs(clock.now());
    }
    if (taskStatus.state() != null) {
      // from now on only its owner's list says where it is
      active.setObservedOnMachine(true);
      active.setWorkerSession(status.session());
      active.setState(taskStatus.state());
      unobservedStarts.remove(active);
    }
  }

  /** A task is on a machine in another attempt than the one known here, or none is known. */
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
      // both are on machines: the task isn't free before the later one is gone too
      releaseAttempt(active, false);
      applyTaskStatus(machineLeader, incarnation, status, taskStatus);
    } else if (taskStatus.attempt() < active.attempt()
        && status.tokenAcknowledged()
        && store.isSessionValid()) {
      // without a session what is known here may be old: a controller cut off from the state
      // service called tasks doubled that were on a machine returned meanwhile
      LOG.error(
          "task {}/{} attempt {} is on {} beside attempt {} on {}",
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

  private void trackDiscoveredAttempt(
      LedJob ledJob,
      String machineLeader,
      long incarnation,
      MachineStatus status,
      TaskStatus taskStatus) {
    ActiveAttempt discovered =
        new ActiveAttempt(
            ledJob,
            taskStatus.task(),
            taskStatus.attempt(),
            status.machine(),
            status.zone(),
            status.type(),
            machineLeader,
            incarnation,
            0,
            0);
    discovered.setObservedOnMachine(true);
    discovered.setState(taskStatus.state());
    discovered.setInLatestStatus(true);
    discovered.setWorkerSession(status.session());
    if (taskStatus.state() == TaskState.RUNNING) {
      discovered.setRunningSinceMs(clock.now());
    }
    trackAttempt(discovered);
    LOG.debug(
        "task {}/{} attempt {} found on {}",
        ledJob.id(),
        taskStatus.task(),
        taskStatus.attempt(),
        status.machine());
  }

  /** A task has ended and must run again: remembers where it shouldn't be tried. */
  private void recordFailedAttempt(ActiveAttempt active, ExitReason reason) {
    if (reason == ExitReason.ERROR) {
      recordTaskError(active.job(), active.machine());
    } else if (reason == ExitReason.INSUFFICIENT_CAPACITY) {
      active
          .job()
          .machineCooldownUntilMs()
          .put(active.machine(), clock.now() + Constants.INSUFFICIENT_CAPACITY_COOLDOWN_MS);
    }
    LOG.info(
        "task {}/{} attempt {} ended on {}: {}",
        active.job().id(),
        active.task(),
        active.attempt(),
        active.machine(),
        reason);
  }

  /** Whatever a replica says of its end, it must run again until its job is cancelled. */
  private void handleReplicaExit(ActiveAttempt active, String machine, ExitReason reason) {
    LedJob ledJob = active.job();
    long ranMs = active.runningSinceMs() == 0 ? 0 : clock.now() - active.runningSinceMs();
    // errors of long ago, each on another machine, don't make it the job's own fault
    if (ranMs >= Constants.REPLICA_STABLE_MS) {
      ledJob.machinesWithErrors().clear();
    }
    recordFailedAttempt(active, reason);
    // its result is kept there; for longer than it waits, so that it is tried elsewhere
    if (reason == ExitReason.DONE) {
      ledJob.machineCooldownUntilMs().put(machine, clock.now() + Constants.JOB_MACHINE_COOLDOWN_MS);
    }
    boolean startFailed =
        reason == ExitReason.STOPPED
            || reason == ExitReason.INSUFFICIENT_CAPACITY
            || reason == ExitReason.BUSY;
    boolean startable =
        startFailed || ledJob.restarts().recordExit(active.task(), ranMs, clock.now());
    releaseAttempt(active, startable);
  }

  private void recordTaskError(LedJob ledJob, String machine) {
    long now = clock.now();
    ledJob.machinesWithErrors().add(machine);
    ledJob.machineCooldownUntilMs().put(machine, now + Constants.JOB_MACHINE_COOLDOWN_MS);
    // replicas wait one by one: the others may be well
    if (ledJob.machinesWithErrors().size() >= Constants.JOB_FAULT_MACHINES
        && !ledJob.spec().isService()) {
      ledJob.setStartNotBeforeMs(now + Constants.JOB_FAULT_RETRY_INTERVAL_MS);
      LOG.info(
          "job {} fails on every machine, next try in {} ms",
          ledJob.id(),
          Constants.JOB_FAULT_RETRY_INTERVAL_MS);
    }
  }

  /** The machine is proven gone: so are its tasks. */
  public void removeMachineAttempts(String id) {
    Set<ActiveAttempt> attempts = attemptsByMachine.get(id);
    if (attempts == null) {
      return;
    }
    for (ActiveAttempt active : new ArrayList<>(attempts)) {
      LOG.debug(
          "task {}/{} attempt {} is gone with {}",
          active.job().id(),
          active.task(),
          active.attempt(),
          id);
      releaseAttempt(active, true);
    }
  }

  /**
   * A machine may be told of while this mirror is behind its record, although it has been returned
   * and this controller has dropped that record itself: the record comes later and is ignored, so
   * nothing else says that the machine is gone. A task found there waited for good.
   */
  private void removeScaledInMachines() {
    for (String id : new ArrayList<>(attemptsByMachine.keySet())) {
      MachineView machineView = view.machine(id);
      if (machineView == null
          || machineView.status() == null
          || !store.returned(id, machineView.status().entryRevision())) {
        continue;
      }
      view.removeMachine(id);
      removeMachineAttempts(id);
    }
  }

  // ---- duties -------------------------------------------------------------------------------
  /** Periodic work: failover of jobs, recording of completions, relocation of waiting starts. */
  public void tick() {
    if (!store.synced()) {
      return;
    }
    removeScaledInMachines();
    completeRecoveries();
    claimLeaderlessJobs();
    for (LedJob ledJob : new ArrayList<>(jobs.values())) {
      if (ledJob.spec().isService()) {
        ledJob.restarts().releaseDue(clock.now(), ledJob::requeue);
      }
      // a service has no bits, but a change of unknown outcome is resolved by the next write
      writeEntryIfDue(ledJob);
    }
  }

  /**
   * A job taken over is placed again only once every machine that could have got it is accounted
   * for.
   */
  private void completeRecoveries() {
    boolean anyRecovering = false;
    for (LedJob ledJob : jobs.values()) {
      anyRecovering |= !ledJob.recovered();
    }
    if (!anyRecovering) {
      return;
    }
    // each owner's newest statement restates what it hasn't changed
    long coveredRevision = Long.MAX_VALUE;
    long oldestUpdate = Long.MAX_VALUE;
    String blockingMachine = null;
    for (Map.Entry<String, StoredValue> entry :
        store.entriesUnder(StateKeys.MACHINE_PREFIX).entrySet()) {
      MachineEntry machineEntry = (MachineEntry) entry.getValue().value();
      String id = StateKeys.machineOf(entry.getKey());
      MachineView machine = view.machine(id);
      PeerState peer = view.peer(machineEntry.node());
      long revision = view.isFullyReported(id, machineEntry) ? peer.replicaRevision() : -1;
      if (revision >= 0) {
        oldestUpdate = Math.min(oldestUpdate, peer.lastUpdateOrdinal());
      }
      if (revision < coveredRevision) {
        coveredRevision = revision;
        blockingMachine = id;
      }
    }
    for (LedJob ledJob : jobs.values()) {
      if (ledJob.recovered() || ledJob.claimRevision() > store.revision()) {
        continue;
      }
      // A roster may know of the claim before its claimant does, whose own answer was slow. Its
      // tasks went unnoticed then, and one was started twice: only rosters received since count.
      if (coveredRevision >= ledJob.claimRevision()
          && oldestUpdate > ledJob.statusUpdatesBeforeClaim()) {
        ledJob.setRecovered(true);
        LOG.info(
            "job {} epoch {} rebuilt: {} tasks on machines",
            ledJob.id(),
            ledJob.entry().epoch(),
            ledJob.activeAttempts().size());
        placementTrigger.request();
      } else {
        LOG.debug("job {} waits for machine {}", ledJob.id(), blockingMachine);
      }
    }
  }

  /** Claims jobs whose holder's session is gone. */
  private void claimLeaderlessJobs() {
    long now = clock.now();
    if (now < nextFailoverCheckMs || !store.isSessionValid()) {
      return;
    }
    nextFailoverCheckMs = now + Constants.JOB_FAILOVER_SCAN_INTERVAL_MS;
    List<String> liveNodes = membership.liveNodes();
    int claims = 0;
    for (JobEntry job : new ArrayList<>(openJobs.all())) {
      String id = job.spec().id();
      if (store.isLive(job.leader(), job.incarnation())) {
        leaderlessSinceMs.remove(id);
        claimRetries.remove(id);
        continue;
      }
      if (!claimable(id, liveNodes, now)) {
        continue;
      }
      if (claims == Constants.JOB_FAILOVER_BATCH) {
        break;
      }
      claims++;
      claim(job, now);
    }
  }

  /** Whether it is this controller's turn to claim the job. */
  private boolean claimable(String id, List<String> liveNodes, long now) {
    long sinceMs = leaderlessSinceMs.computeIfAbsent(id, key -> now);
    String preferredNode =
        liveNodes.isEmpty()
            ? settings.node()
            : liveNodes.get(Math.floorMod(id.hashCode(), liveNodes.size()));
    if (!preferredNode.equals(settings.node()) && now - sinceMs < Constants.JOB_FAILOVER_TURN_MS) {
      return false;
    }
    Long claimedAtMs = claimsInFlight.get(id);
    if (claimedAtMs != null && now - claimedAtMs < 2 * Constants.STATE_TIMEOUT_MS) {
      return false;
    }
    return claimRetries.computeIfAbsent(id, key -> new RetryDelay()).isDue(now);
  }

  private void claim(JobEntry job, long now) {
    String id = job.spec().id();
    claimsInFlight.put(id, now);
    RetryDelay retry = claimRetries.get(id);
    JobEntry claimed = job.withLeader(settings.node(), store.incarnation());
    JobBitmaps.Write claim =
        jobBitmaps.writePreservingBits(claimed, store.modRevision(StateKeys.job(id)));
    boolean accepted =
        store.transact(
            RequestPriority.JOB,
            new Transaction(claim.conditions(), claim.puts(), List.of()),
            reply -> {
              claimsInFlight.remove(id);
              retry.recordResult(clock.now(), reply.code());
              if (reply.code() == ResultCode.OK) {
                LOG.info("job {} taken over from {}, epoch {}", id, job.leader(), claimed.epoch());
              }
            });
    if (!accepted) {
      claimsInFlight.remove(id);
    }
  }

  private void writeEntryIfDue(LedJob ledJob) {
    long now = clock.now();
    boolean allCompleted =
        !ledJob.spec().isService()
            && ledJob.completedCount() == ledJob.spec().tasks()
            && !ledJob.finished();
    boolean layoutOutdated = jobBitmaps.needsLayoutMigration(ledJob.entry());
    if (ledJob.dirtyPieces().isEmpty()
        && !allCompleted
        && !ledJob.writeOutcomeUnknown()
        && !layoutOutdated) {
      return;
    }
    if (!ledJob.writeRetry().isDue(now) || !completionBitsReplicated(ledJob)) {
      return;
    }
    if (ledJob.writeInFlight()
        || ledJob.quotaWriteInFlight()
        || (!allCompleted && now - ledJob.lastWriteMs() < Constants.JOB_WRITE_INTERVAL_MIN_MS)) {
      return;
    }
    if (ledJob.finished() && ledJob.entry().outcome() == JobOutcome.CANCELLED) {
      ledJob.dirtyPieces().clear();
      if (!ledJob.writeOutcomeUnknown() && !layoutOutdated) {
        return;
      }
    }
    writeCompletion(ledJob, now);
  }

  /** Records the done bits, and the job's end once all are set. */
  private void writeCompletion(LedJob ledJob, long now) {
    JobBitmaps.Write write =
        jobBitmaps.writeRecordingCompletions(
            ledJob.entry(), ledJob.modRevision(), ledJob.completed(), ledJob.dirtyPieces());
    List<Integer> pieces = new ArrayList<>(ledJob.dirtyPieces());
    pieces.retainAll(write.pieces());
    ledJob.setWriteInFlight(true);
    ledJob.setLastWriteMs(now);
    ledJob.dirtyPieces().removeAll(pieces);
    boolean accepted =
        store.transact(
            RequestPriority.JOB,
            new Transaction(write.conditions(), write.puts(), List.of()),
            reply -> handleWriteResult(ledJob, pieces, reply.code()));
    if (!accepted) {
      ledJob.setWriteInFlight(false);
      ledJob.dirtyPieces().addAll(pieces);
    }
  }

  private void handleWriteResult(LedJob ledJob, List<Integer> pieces, ResultCode code) {
    ledJob.setWriteInFlight(false);
    ledJob.writeRetry().recordResult(clock.now(), code);
    if (code == ResultCode.OK) {
      return;
    }
    // not known to be recorded: the next write says all of it again
    ledJob.dirtyPieces().addAll(pieces);
    if (code == ResultCode.OUTCOME_UNKNOWN) {
      ledJob.setWriteOutcomeUnknown(true);
    }
    if (code == ResultCode.CONFLICT) {
      refreshEntry(ledJob);
    } else {
      ledJob.setLastWriteMs(clock.now() + Constants.STATE_RETRY_MS);
    }
  }

  /**
   * Whether the mirror holds all bits that were recorded before this holding. The entry may have
   * been read on its own, and pieces written without them would take bits back.
   */
  private boolean completionBitsReplicated(LedJob ledJob) {
    return JobBitmaps.isInline(ledJob.spec()) || ledJob.claimRevision() <= store.revision();
  }

  /** After a failed comparison the mirror may lag: learn the entry before the next try. */
  public void refreshEntry(LedJob ledJob) {
    ledJob.setWriteInFlight(true);
    boolean accepted =
        store.read(
            RequestPriority.JOB,
            StateKeys.job(ledJob.id()),
            reply -> {
              ledJob.setWriteInFlight(false);
              ledJob.setLastWriteMs(clock.now());
            });
    if (!accepted) {
      ledJob.setWriteInFlight(false);
    }
  }
}
