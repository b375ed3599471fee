package mallowstall.core;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.api.HeartbeatReceiver;
import mallowstall.core.api.JobApi;
import mallowstall.core.api.PeerEvents;
import mallowstall.core.api.UserRequests;
import mallowstall.core.autoscaling.Autoscaler;
import mallowstall.core.autoscaling.CloudInventory;
import mallowstall.core.autoscaling.MachineDemand;
import mallowstall.core.autoscaling.ScaleIn;
import mallowstall.core.autoscaling.ScaleOut;
import mallowstall.core.autoscaling.UnplaceableJobs;
import mallowstall.core.cluster.CancellationExchange;
import mallowstall.core.cluster.ClusterVersion;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.Connectivity;
import mallowstall.core.cluster.DigestPublisher;
import mallowstall.core.cluster.ImageSizes;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.cluster.Membership;
import mallowstall.core.cluster.OpenJobs;
import mallowstall.core.cluster.PeerMessenger;
import mallowstall.core.cluster.StartBatchReceiver;
import mallowstall.core.cluster.StatusUpdateReceiver;
import mallowstall.core.jobs.JobLeader;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.EventLoopLag;
import mallowstall.core.kernel.Metrics;
import mallowstall.core.kernel.PlacementTrigger;
import mallowstall.core.kernel.TokenBucket;
import mallowstall.core.kv.JobBitmaps;
import mallowstall.core.kv.StateChangeDispatcher;
import mallowstall.core.kv.StateStore;
import mallowstall.core.machines.DirectCommands;
import mallowstall.core.machines.FencingTokens;
import mallowstall.core.machines.HeartbeatHandler;
import mallowstall.core.machines.HeartbeatRouter;
import mallowstall.core.machines.LeadershipChanges;
import mallowstall.core.machines.LeaseExpiryMonitor;
import mallowstall.core.machines.MachineEntryWriter;
import mallowstall.core.machines.MachineFailover;
import mallowstall.core.machines.MachineMaintenance;
import mallowstall.core.machines.MachineRegistration;
import mallowstall.core.machines.ManagedMachines;
import mallowstall.core.machines.RestartRecovery;
import mallowstall.core.machines.StartAdmission;
import mallowstall.core.machines.StartRequestHandler;
import mallowstall.core.machines.StatusPublisher;
import mallowstall.core.machines.StopRequestHandler;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.HeartbeatResponse;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.PeerMessage;
import mallowstall.core.model.StartBatch;
import mallowstall.core.model.StatusUpdate;
import mallowstall.core.model.StopBatch;
import mallowstall.core.model.StopRequest;
import mallowstall.core.placement.JobRanking;
import mallowstall.core.placement.PlacementScheduler;
import mallowstall.core.placement.Policy;
import mallowstall.core.placement.PolicyFacts;
import mallowstall.core.placement.Preemption;
import mallowstall.core.placement.QueuedWork;
import mallowstall.core.placement.ReplicaRelocation;
import mallowstall.core.placement.StartSender;
import mallowstall.core.quota.GuaranteedShares;
import mallowstall.core.quota.QuotaLedger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller without its sockets: events and time come in, effects go out. It wires the modules
 * and hands each event to the one that it concerns. Not thread-safe; the caller sets the time
 * before each event and gives events one at a time.
 *
 * <p>Modules get what they use through their constructors, those of a lower layer first. Where a
 * lower layer calls a higher one, it takes a function that ends in one of the private methods here.
 */
public final class ControllerCore implements UserRequests, HeartbeatReceiver, PeerEvents {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.core");

  private final CoreSettings settings;
  private final Effects effects;
  private final Metrics metrics;
  private final EventClock clock = new EventClock();
  private final EventLoopLag eventLoopLag = new EventLoopLag();
  private final StateStore store;
  private final ClusterView view;
  private final MachineTypeCatalog machineTypes;
  private final ImageSizes imageSizes;
  private final OpenJobs openJobs;
  private final Membership membership;
  private final Connectivity connectivity;
  private final CancellationExchange cancellations;
  private final ClusterVersion clusterVersion;
  private final JobBitmaps jobBitmaps;
  private final PeerMessenger messenger;
  private final PlacementTrigger placementTrigger;
  private final JobLeader jobLeader;
  private final ManagedMachines machines;
  private final MachineEntryWriter entryWriter;
  private final StatusPublisher statusPublisher;
  private final FencingTokens fencingTokens;
  private final HeartbeatHandler heartbeatHandler;
  private final DirectCommands commands;
  private final MachineRegistration registration;
  private final RestartRecovery restartRecovery;
  private final HeartbeatRouter heartbeats;
  private final StopRequestHandler stopRequests;
  private final LeadershipChanges leadershipChanges;
  private final MachineMaintenance machineLeader;
  private final StartBatchReceiver startReceiver;
  private final StatusUpdateReceiver statusUpdates;
  private final MachineDemand machineDemand;
  private final JobRanking ranking;
  private final QuotaLedger quotaLedger;
  private final Autoscaler autoscaler;
  private final PlacementScheduler placement;
  private final DigestPublisher publishDigest;
  private final JobApi jobApi;

  /** A core that does nothing before its first event. */
  public ControllerCore(
      CoreSettings settings,
      Effects effects,
      Policy.PolicyRegistry policies,
      Metrics metrics,
      long seed) {
    this.settings = settings;
    this.effects = effects;
    this.metrics = metrics;
    store = new StateStore(clock, settings, effects);
    view = new ClusterView(clock, store);
    machineTypes = new MachineTypeCatalog(clock, effects);
    imageSizes = new ImageSizes();
    openJobs = new OpenJobs();
    membership = new Membership(settings, store);
    connectivity = new Connectivity(clock, settings, store, view);
    cancellations = new CancellationExchange(store, this::jobCancelled);
    clusterVersion = new ClusterVersion(settings, store);
    jobBitmaps = newJobEntries();
    messenger =
        new PeerMessenger(settings, effects, store, view, this::receiveStarts, this::receiveStops);
    placementTrigger = new PlacementTrigger(clock, eventLoopLag);
    jobLeader = newHolder();
    machines = new ManagedMachines(clock, settings, store, view);
    entryWriter = new MachineEntryWriter(settings, effects, store);
    statusPublisher = newPublisher();
    fencingTokens = new FencingTokens(machines, entryWriter, statusPublisher);
    heartbeatHandler = newReports();
    commands =
        new DirectCommands(
            clock,
            effects,
            store,
            connectivity,
            cancellations,
            heartbeatHandler,
            machines,
            fencingTokens);
    registration = newAdoption();
    restartRecovery =
        new RestartRecovery(
            clock, settings, store, machineTypes, machines, entryWriter, statusPublisher);
    heartbeats = newHeartbeats();
    stopRequests = new StopRequestHandler(clock, machines, statusPublisher, commands);
    leadershipChanges =
        new LeadershipChanges(
            settings, store, machines, statusPublisher, registration, restartRecovery);
    machineLeader = newOwner();
    startReceiver = newStartReceiver();
    statusUpdates = newStatusUpdates();
    machineDemand = new MachineDemand(clock, settings, view, machineTypes, openJobs);
    machineTypes.subscribe(machineDemand::onTypesChanged);
    ranking = new JobRanking(clock, settings, view, machineTypes, machineDemand);
    quotaLedger = newQuota();
    autoscaler = newFleet();
    placement = newPlacement(policies, seed);
    publishDigest = newDigest();
    jobApi = newUsers();
    store.subscribe(newDispatcher());
  }

  private JobBitmaps newJobEntries() {
    return new JobBitmaps(
        settings, effects::encodedSizeBytes, clusterVersion::allowsSmallPieces, store::entry);
  }

  private JobLeader newHolder() {
    return new JobLeader(
        clock,
        settings,
        store,
        jobBitmaps,
        view,
        openJobs,
        membership,
        messenger,
        placementTrigger);
  }

  private StatusPublisher newPublisher() {
    return new StatusPublisher(
        clock,
        eventLoopLag,
        settings,
        effects,
        metrics,
        store,
        view,
        cancellations,
        this::receiveStatusUpdate,
        machines);
  }

  private HeartbeatHandler newReports() {
    return new HeartbeatHandler(
        clock,
        settings,
        store,
        jobBitmaps,
        imageSizes,
        cancellations,
        jobLeader::atFault,
        machines,
        statusPublisher,
        fencingTokens);
  }

  private MachineRegistration newAdoption() {
    return new MachineRegistration(
        clock,
        settings,
        store,
        view,
        machineTypes,
        membership,
        machines,
        entryWriter,
        heartbeatHandler);
  }

  private HeartbeatRouter newHeartbeats() {
    return new HeartbeatRouter(
        clock, store, machineTypes, connectivity, machines, heartbeatHandler, registration);
  }

  private MachineMaintenance newOwner() {
    MachineFailover failover =
        new MachineFailover(
            clock,
            settings,
            effects,
            store,
            view,
            machineTypes,
            membership,
            machines,
            entryWriter,
            heartbeatHandler);
    LeaseExpiryMonitor leaseExpiry =
        new LeaseExpiryMonitor(settings, store, machines, fencingTokens, statusPublisher);
    return new MachineMaintenance(
        clock,
        machines,
        entryWriter,
        statusPublisher,
        commands,
        registration,
        failover,
        leaseExpiry);
  }

  private StartBatchReceiver newStartReceiver() {
    StartAdmission startAdmission =
        new StartAdmission(clock, store, jobBitmaps, connectivity, cancellations, machines);
    StartRequestHandler startRequests =
        new StartRequestHandler(
            metrics, store, machines, statusPublisher, commands, startAdmission);
    return new StartBatchReceiver(view, startRequests::handle);
  }

  private StatusUpdateReceiver newStatusUpdates() {
    return new StatusUpdateReceiver(
        store,
        view,
        cancellations,
        statusPublisher::statusUpdateSentAtMs,
        jobLeader::applyStatusUpdate,
        placementTrigger);
  }

  private QuotaLedger newQuota() {
    return new QuotaLedger(
        clock,
        settings,
        store,
        jobBitmaps,
        openJobs,
        placementTrigger,
        jobLeader,
        ranking::compare);
  }

  private Autoscaler newFleet() {
    double callsPerSecond = settings.cloudRequestsPerS();
    TokenBucket calls =
        new TokenBucket(
            callsPerSecond * Constants.STATE_RATE_FRACTION,
            callsPerSecond * 2 * Constants.STATE_RATE_FRACTION);
    CloudInventory cloudInventory = new CloudInventory(clock, effects, calls);
    ScaleOut scaleOut =
        new ScaleOut(
            clock,
            effects,
            store,
            view,
            machineTypes,
            openJobs,
            machineDemand,
            new UnplaceableJobs(settings, store, view),
            calls,
            this::scaleOutAnswered);
    ScaleIn scaleIn =
        new ScaleIn(
            clock,
            settings,
            effects,
            store,
            calls,
            machine -> {
              scaleOut.pendingMachines().remove(machine);
              cloudInventory.remove(machine);
            });
    return new Autoscaler(
        clock,
        settings,
        store,
        view,
        machineTypes,
        machineDemand,
        cloudInventory,
        scaleOut,
        scaleIn,
        messenger);
  }

  private PlacementScheduler newPlacement(Policy.PolicyRegistry policies, long seed) {
    GuaranteedShares guaranteedShares = new GuaranteedShares(settings, openJobs);
    QueuedWork queuedWork =
        new QueuedWork(
            clock, settings, store, view, machineTypes, openJobs, machineDemand, ranking);
    PolicyFacts policyFacts =
        new PolicyFacts(clock, settings, view, machineTypes, machineDemand, queuedWork);
    StartSender startSender =
        new StartSender(clock, settings, metrics, store, view, messenger, jobLeader);
    Preemption preemption =
        new Preemption(clock, store, view, machineDemand, guaranteedShares, policyFacts);
    ReplicaRelocation relocation =
        new ReplicaRelocation(
            view, messenger, policies, jobLeader, quotaLedger, policyFacts, startSender);
    return new PlacementScheduler(
        clock,
        metrics,
        store,
        view,
        machineTypes,
        placementTrigger,
        policies,
        jobLeader,
        quotaLedger,
        ranking,
        guaranteedShares,
        queuedWork,
        policyFacts,
        startSender,
        preemption,
        relocation,
        new SplittableRandom(seed));
  }

  private DigestPublisher newDigest() {
    return new DigestPublisher(
        clock, settings, effects, store, machines::freeCapacities, jobLeader::pendingCpus);
  }

  private JobApi newUsers() {
    return new JobApi(
        clock,
        settings,
        store,
        jobBitmaps,
        machineTypes,
        connectivity,
        cancellations,
        clusterVersion,
        jobLeader::running);
  }

  private StateChangeDispatcher newDispatcher() {
    return new StateChangeDispatcher(
        List.of(
            imageSizes::jobChanged,
            openJobs::jobChanged,
            cancellations::jobChanged,
            jobApi::jobChanged,
            leadershipChanges::jobChanged,
            jobLeader::applyJobEntry),
        jobLeader::reloadCompletionBits,
        leadershipChanges::machineChanged,
        List.of(view::removeMachine, jobLeader::removeMachineAttempts),
        restartRecovery::handleCompetingEntry,
        statusPublisher::requestPublish,
        this::replicaComplete);
  }

  /** Sets the steady time and the time of day, both in ms, for the event that follows. */
  public void setTime(long steadyMs, long wallMs) {
    clock.advance(steadyMs, wallMs);
  }

  /** Runs what is due; the caller calls again after every event and at least every tick. */
  public void runDueWork() {
    clock.runDue();
    if (placementTrigger.takeDue()) {
      placement.runSchedulingPass();
    }
    commands.sendPending();
  }

  /** When the next timer is due, for callers that sleep; {@code Long.MAX_VALUE}: none. */
  public long nextTimerMs() {
    return clock.nextTimerMs();
  }

  /** The regular duties; to be called every {@link Constants#TICK_MS}. */
  public void tick() {
    eventLoopLag.onTick(clock.now());
    store.tick();
    machineTypes.tick();
    clock.markStarted();
    boolean recoveryDue = clock.now() - clock.startedAtMs() > Constants.RECOVERY_DELAY_MS;
    if (recoveryDue && store.synced() && !machineTypes.isEmpty() && store.isSessionValid()) {
      restartRecovery.recover();
    }
    machineLeader.tick();
    jobLeader.tick();
    quotaLedger.tick();
    autoscaler.tick();
    publishDigest.tick();
    placementTrigger.request();
    runDueWork();
  }

  @Override
  public void handleHeartbeat(Heartbeat heartbeat, Consumer<HeartbeatResponse> reply) {
    heartbeats.route(heartbeat, reply);
    runDueWork();
  }

  @Override
  public void submit(JobSpec spec, Consumer<ApiResponse> reply) {
    jobApi.submit(spec, reply);
    runDueWork();
  }

  @Override
  public void rejectSubmission(String id, String reason, Consumer<ApiResponse> reply) {
    jobApi.rejectSubmission(id, 400, reason, reply);
    runDueWork();
  }

  @Override
  public void query(String id, Consumer<ApiResponse> reply) {
    jobApi.query(id, reply);
    runDueWork();
  }

  @Override
  public void cancel(String id, Consumer<ApiResponse> reply) {
    jobApi.cancel(id, reply);
    runDueWork();
  }

  /** Whether users' requests can be taken. */
  public boolean isReady() {
    return jobApi.isReady();
  }

  @Override
  public void peerConnected(String node, long connection) {
    messenger.peerConnected(node, connection);
  }

  @Override
  public void handleMessage(PeerMessage message) {
    if (message instanceof StatusUpdate statusUpdate) {
      receiveStatusUpdate(statusUpdate);
    } else if (message instanceof StartBatch startBatch) {
      receiveStarts(startBatch);
    } else if (message instanceof StopBatch stopBatch) {
      receiveStops(stopBatch);
    }
    runDueWork();
  }

  private void receiveStatusUpdate(StatusUpdate update) {
    statusUpdates.receive(update);
  }

  private void receiveStarts(StartBatch startBatch) {
    startReceiver.receive(startBatch);
  }

  private void receiveStops(StopBatch stopBatch) {
    stopRequests.handle(stopBatch);
  }

  private void jobCancelled(String job) {
    stopRequests.stopCancelled(job);
  }

  private void scaleOutAnswered() {
    autoscaler.planSoon();
  }

  private void replicaComplete(long revision) {
    LOG.info("mirror complete at revision {}", revision);
    placementTrigger.request();
  }

  /** Whether this controller leads the job and may place its tasks. */
  boolean mayPlace(String job) {
    return jobLeader.mayPlace(job);
  }

  /** Machines whose published state differs from what is known of them, by name. */
  List<String> unpublishedChanges() {
    return statusPublisher.unpublishedChanges();
  }

  /** Asks the controller to stop a task on one of its machines. */
  void sendStop(String node, StopRequest stop) {
    messenger.sendStop(node, stop);
  }

  /** When this process began its regular work; 0: it hasn't. */
  long startedAtMs() {
    return clock.startedAtMs();
  }

  /** This process's number; 0: it has none yet. */
  long incarnation() {
    return store.incarnation();
  }

  EventLoopLag eventLoopLag() {
    return eventLoopLag;
  }

  StateStore store() {
    return store;
  }

  ClusterView view() {
    return view;
  }
}
