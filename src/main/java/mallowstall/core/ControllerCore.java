package mallowstall.core;

import java.util.List;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.api.HeartbeatReceiver;
import mallowstall.core.api.PeerEvents;
import mallowstall.core.api.UserRequests;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.DigestPublisher;
import mallowstall.core.cluster.StatusUpdateReceiver;
import mallowstall.core.jobs.JobLeader;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventLoopLag;
import mallowstall.core.kernel.Metrics;
import mallowstall.core.kv.StateChangeDispatcher;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.AcceptanceQuery;
import mallowstall.core.model.AcceptanceQueryEnd;
import mallowstall.core.model.AcceptanceReply;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.HeartbeatResponse;
import mallowstall.core.model.JobOutcome;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.OutcomeAcknowledgement;
import mallowstall.core.model.OutcomeAnnouncement;
import mallowstall.core.model.PeerMessage;
import mallowstall.core.model.RunStateQuery;
import mallowstall.core.model.RunStateReply;
import mallowstall.core.model.StartBatch;
import mallowstall.core.model.StatusUpdate;
import mallowstall.core.model.StopBatch;
import mallowstall.core.model.StopRequest;
import mallowstall.core.placement.Policy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller without its sockets. The core receives the time and events, and passes each event
 * to the module concerned. Requests to other systems leave through {@link Effects}. Not
 * thread-safe: the caller sets the time before each event and passes one event at a time. A reply
 * may be given before the method returns, and a failure is given as a reply too.
 *
 * <p>Modules receive the modules that they use through their constructors, and those of lower
 * layers are built first. A module of a lower layer that calls a higher one receives a function
 * that leads to one of the private methods of this class.
 */
public final class ControllerCore implements UserRequests, HeartbeatReceiver, PeerEvents {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.core");

  /**
   * Delay in milliseconds from the start of a controller until it recovers the machines of its
   * former process that have reported to no controller. By then most workers have reported again
   * and need no second write.
   */
  private static final long RECOVERY_DELAY_MS = 7_000;

  private final ClusterModules cluster;
  private final JobLeader jobLeader;
  private final MachineModules machines;
  private final StatusUpdateReceiver statusUpdates;
  private final AutoscalingModules autoscaling;
  private final PlacementModules placement;
  private final DigestPublisher digestPublisher;
  private final ApiModules api;

  /**
   * Builds all modules. No module acts before the first event.
   *
   * @param policies placement policies by job class
   * @param metrics receives counts and durations
   * @param seed seed of random choices; equal events with an equal seed have equal effects
   */
  public ControllerCore(
      CoreSettings settings,
      Effects effects,
      Policy.PolicyRegistry policies,
      Metrics metrics,
      long seed) {
    cluster =
        new ClusterModules(
            settings,
            effects,
            metrics,
            this::jobCancelled,
            this::receiveStarts,
            this::receiveStops);
    jobLeader = newJobLeader();
    machines = new MachineModules(cluster, jobLeader, this::receiveStatusUpdate);
    statusUpdates = newStatusUpdateReceiver();
    autoscaling = new AutoscalingModules(cluster);
    placement = new PlacementModules(cluster, autoscaling.machineDemand, jobLeader, policies, seed);
    digestPublisher =
        new DigestPublisher(
            cluster.clock,
            settings,
            effects,
            cluster.store,
            machines.machines::freeCapacities,
            jobLeader::pendingCpus);
    api =
        new ApiModules(
            cluster,
            new ControllerRunStates(cluster.settings, cluster.view, machines.runStates, jobLeader));
    cluster.store.subscribe(newDispatcher());
  }

  private JobLeader newJobLeader() {
    return new JobLeader(
        cluster.clock,
        cluster.settings,
        cluster.store,
        cluster.jobBitmaps,
        cluster.view,
        cluster.jobsNeedingLeader,
        cluster.membership,
        cluster.absences,
        cluster.messenger,
        cluster.placementTrigger);
  }

  private StatusUpdateReceiver newStatusUpdateReceiver() {
    return new StatusUpdateReceiver(
        cluster.store,
        cluster.view,
        cluster.cancellations,
        machines.statusUpdateSequence::composedMs,
        jobLeader::applyStatusUpdate,
        cluster.placementTrigger);
  }

  /**
   * Returns the dispatcher of state changes. The order of the consumers is part of the behaviour,
   * because each consumer sees the effects of those before it.
   */
  private StateChangeDispatcher newDispatcher() {
    return new StateChangeDispatcher(
        List.of(
            cluster.imageSizes::jobChanged,
            cluster.jobsNeedingLeader::jobChanged,
            cluster.cancellations::jobChanged,
            api.outcomes::jobChanged,
            api.jobApi::jobChanged,
            machines.leadershipChanges::jobChanged,
            (before, entry) -> jobLeader.applyJobEntry(entry)),
        api.runStates.mailbox::entryChanged,
        jobLeader::reloadCompletionBits,
        machines.leadershipChanges::machineChanged,
        List.of(cluster.view::removeMachine, jobLeader::removeMachineAttempts),
        machines.restartRecovery::handleSupersededEntry,
        cluster.returnedMachines::add,
        machines.statusPublisher::requestPublish,
        this::replicaComplete);
  }

  /** Sets the steady time and the time of day, both in milliseconds, for the event that follows. */
  public void setTime(long steadyMs, long wallMs) {
    cluster.clock.advance(steadyMs, wallMs);
  }

  /**
   * Runs the timers and the scheduling pass that are due and sends pending commands. Must be called
   * after every event.
   */
  public void runDueWork() {
    cluster.clock.runDue();
    if (cluster.placementTrigger.takeDue()) {
      placement.scheduler.runSchedulingPass();
    }
    machines.commands.sendPending();
  }

  /**
   * Returns the steady time in milliseconds at which the next timer is due, or {@code
   * Long.MAX_VALUE} if there is none.
   */
  public long nextTimerMs() {
    return cluster.clock.nextTimerMs();
  }

  /**
   * Runs the regular work of all modules. Must be called every {@link Constants#TICK_MS}
   * milliseconds.
   */
  public void tick() {
    cluster.eventLoopLag.onTick(cluster.clock.now());
    cluster.store.tick();
    cluster.absences.tick();
    cluster.machineTypes.tick();
    cluster.clock.markStarted();
    boolean recoveryDue = cluster.clock.now() - cluster.clock.startedAtMs() > RECOVERY_DELAY_MS;
    if (recoveryDue
        && cluster.store.synced()
        && !cluster.machineTypes.isEmpty()
        && cluster.store.isSessionValid()) {
      machines.restartRecovery.recover();
    }
    machines.maintenance.tick();
    jobLeader.tick();
    api.tick();
    placement.quotaLedger.tick();
    autoscaling.autoscaler.tick();
    digestPublisher.tick();
    cluster.placementTrigger.request();
    runDueWork();
  }

  @Override
  public void handleHeartbeat(Heartbeat heartbeat, Consumer<HeartbeatResponse> reply) {
    machines.heartbeats.route(heartbeat, reply);
    runDueWork();
  }

  @Override
  public void submit(JobSpec spec, Consumer<ApiResponse> reply) {
    api.jobApi.submit(spec, reply);
    runDueWork();
  }

  @Override
  public void rejectSubmission(String id, String reason, Consumer<ApiResponse> reply) {
    api.jobApi.rejectSubmission(id, ApiResponse.invalid(reason), reply);
    runDueWork();
  }

  @Override
  public void query(String id, Consumer<ApiResponse> reply) {
    api.jobApi.query(id, reply);
    runDueWork();
  }

  @Override
  public void cancel(String id, Consumer<ApiResponse> reply) {
    api.jobApi.cancel(id, reply);
    runDueWork();
  }

  @Override
  public void refusalArrived(long refusalId) {
    api.refusalArrived(refusalId);
  }

  /**
   * Returns whether this controller can serve workers, even if it can't serve users' requests yet.
   */
  public boolean isInitialized() {
    return api.jobApi.isInitialized();
  }

  /** Returns whether this controller can serve users' requests. */
  public boolean isReady() {
    return api.jobApi.isReady();
  }

  @Override
  public void peerConnected(String node, long connection) {
    cluster.messenger.peerConnected(node, connection);
    api.acceptances.closeUnanswered();
  }

  @Override
  public void handleMessage(PeerMessage message) {
    if (message instanceof StatusUpdate statusUpdate) {
      receiveStatusUpdate(statusUpdate);
    } else if (message instanceof StartBatch startBatch) {
      receiveStarts(startBatch);
    } else if (message instanceof StopBatch stopBatch) {
      receiveStops(stopBatch);
    } else if (message instanceof OutcomeAnnouncement announcement) {
      api.outcomes.receive(announcement);
    } else if (message instanceof OutcomeAcknowledgement acknowledgement) {
      api.outcomes.receive(acknowledgement);
    } else if (message instanceof AcceptanceQuery query) {
      api.absenceLeases.receive(query);
    } else if (message instanceof AcceptanceReply reply) {
      api.receive(reply);
    } else if (message instanceof AcceptanceQueryEnd queryEnd) {
      api.absenceLeases.receive(queryEnd);
    } else if (message instanceof RunStateQuery query) {
      api.runStates.responder.receive(query);
    } else if (message instanceof RunStateReply reply) {
      api.runStates.exchange.receive(reply);
    }
    runDueWork();
  }

  private void receiveStatusUpdate(StatusUpdate update) {
    statusUpdates.receive(update);
  }

  private void receiveStarts(StartBatch startBatch) {
    machines.startReceiver.receive(startBatch);
  }

  private void receiveStops(StopBatch stopBatch) {
    machines.stopRequests.handle(stopBatch);
  }

  private void jobCancelled(String job) {
    api.outcomes.recordOutcome(job, JobOutcome.CANCELLED);
    machines.stopRequests.stopCancelled(job);
  }

  private void replicaComplete(long revision) {
    LOG.info("state replica synced revision={}", revision);
    cluster.placementTrigger.request();
  }

  /** Returns whether this controller leads the job and may place its tasks. */
  boolean mayPlace(String job) {
    return jobLeader.mayPlace(job);
  }

  /**
   * Returns the ids of machines whose published status is outdated although it isn't marked as
   * changed. Each of them is a fault.
   */
  List<String> unpublishedChanges() {
    return machines.machineStatuses.unpublishedChanges();
  }

  /**
   * Returns the ids of machines with attempts that nothing would ever end. Each of them is a fault.
   */
  List<String> unknownMachinesWithAttempts() {
    return jobLeader.unknownMachinesWithAttempts();
  }

  /** Returns how many attempts of earlier leaders were discovered too late; each is a fault. */
  int attemptsAfterRecovery() {
    return jobLeader.attemptsAfterRecovery();
  }

  /** Sends a stop request to a machine leader. */
  void sendStop(String node, StopRequest stop) {
    cluster.messenger.sendStop(node, stop);
  }

  /** Returns the steady time of the first tick in milliseconds, or 0 before the first tick. */
  long startedAtMs() {
    return cluster.clock.startedAtMs();
  }

  /** Returns the incarnation of this process, or 0 if it has none yet. */
  long incarnation() {
    return cluster.store.incarnation();
  }

  EventLoopLag eventLoopLag() {
    return cluster.eventLoopLag;
  }

  StateStore store() {
    return cluster.store;
  }

  ClusterView view() {
    return cluster.view;
  }
}
