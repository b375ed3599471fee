package mallowstall.core;

import java.util.function.Consumer;
import mallowstall.core.cluster.StartBatchReceiver;
import mallowstall.core.jobs.JobLeader;
import mallowstall.core.machines.DirectCommands;
import mallowstall.core.machines.FencingTokens;
import mallowstall.core.machines.HeartbeatApplier;
import mallowstall.core.machines.HeartbeatHandler;
import mallowstall.core.machines.HeartbeatResponder;
import mallowstall.core.machines.HeartbeatRouter;
import mallowstall.core.machines.LeaderRedirects;
import mallowstall.core.machines.LeadershipChanges;
import mallowstall.core.machines.LeaseExpiryMonitor;
import mallowstall.core.machines.MachineEntryWriter;
import mallowstall.core.machines.MachineFailover;
import mallowstall.core.machines.MachineMaintenance;
import mallowstall.core.machines.MachineRegistration;
import mallowstall.core.machines.MachineRunStates;
import mallowstall.core.machines.MachineStatuses;
import mallowstall.core.machines.MachineTakeover;
import mallowstall.core.machines.ManagedMachines;
import mallowstall.core.machines.RestartRecovery;
import mallowstall.core.machines.StaleHeartbeats;
import mallowstall.core.machines.StartAdmission;
import mallowstall.core.machines.StartRequestHandler;
import mallowstall.core.machines.StatusPublisher;
import mallowstall.core.machines.StatusUpdateSequence;
import mallowstall.core.machines.StopRequestHandler;
import mallowstall.core.model.StatusUpdate;

/**
 * The modules by which this controller leads machines: registration, heartbeats, fencing tokens,
 * starts and stops, failover and recovery. Used on the event loop only.
 */
final class MachineModules {
  final ManagedMachines machines;
  final MachineStatuses machineStatuses;
  final StatusUpdateSequence statusUpdateSequence;
  final StatusPublisher statusPublisher;
  final DirectCommands commands;
  final RestartRecovery restartRecovery;
  final HeartbeatRouter heartbeats;
  final StopRequestHandler stopRequests;
  final LeadershipChanges leadershipChanges;
  final MachineMaintenance maintenance;
  final StartBatchReceiver startReceiver;
  final MachineRunStates runStates;

  private final ClusterModules cluster;
  private final MachineEntryWriter entryWriter;
  private final FencingTokens fencingTokens;
  private final HeartbeatApplier heartbeatApplier;
  private final HeartbeatHandler heartbeatHandler;
  private final StaleHeartbeats staleHeartbeats;
  private final LeaderRedirects redirects;
  private final MachineRegistration registration;

  /**
   * Builds the modules. No module acts before its first event.
   *
   * @param ownStatusUpdates receives the status updates that this controller publishes to itself
   */
  MachineModules(
      ClusterModules cluster, JobLeader jobLeader, Consumer<StatusUpdate> ownStatusUpdates) {
    this.cluster = cluster;
    machines = new ManagedMachines(cluster.clock, cluster.settings, cluster.store, cluster.view);
    entryWriter = new MachineEntryWriter(cluster.settings, cluster.effects, cluster.store);
    machineStatuses = new MachineStatuses(cluster.clock, machines);
    statusUpdateSequence =
        new StatusUpdateSequence(
            cluster.settings, cluster.store, cluster.cancellations, machines, machineStatuses);
    statusPublisher = newStatusPublisher(ownStatusUpdates);
    fencingTokens = new FencingTokens(cluster.store, machines, entryWriter, statusPublisher);
    heartbeatApplier = newHeartbeatApplier(jobLeader);
    heartbeatHandler = newHeartbeatHandler();
    commands = newDirectCommands();
    staleHeartbeats = new StaleHeartbeats(cluster.store, cluster.view, cluster.returnedMachines);
    redirects =
        new LeaderRedirects(cluster.settings, cluster.store, cluster.view, cluster.membership);
    registration = newRegistration();
    restartRecovery = newRestartRecovery();
    heartbeats = newHeartbeatRouter();
    stopRequests = new StopRequestHandler(cluster.clock, machines, statusPublisher, commands);
    leadershipChanges = newLeadershipChanges();
    maintenance = newMaintenance();
    startReceiver = newStartReceiver();
    runStates =
        new MachineRunStates(
            cluster.clock,
            cluster.eventLoopLag,
            cluster.effects,
            cluster.metrics,
            cluster.store,
            cluster.imageSizes,
            machines);
  }

  private StatusPublisher newStatusPublisher(Consumer<StatusUpdate> ownStatusUpdates) {
    return new StatusPublisher(
        cluster.clock,
        cluster.eventLoopLag,
        cluster.settings,
        cluster.effects,
        cluster.metrics,
        cluster.view,
        statusUpdateSequence,
        ownStatusUpdates);
  }

  private HeartbeatApplier newHeartbeatApplier(JobLeader jobLeader) {
    return new HeartbeatApplier(
        cluster.clock,
        cluster.settings,
        cluster.store,
        cluster.imageSizes,
        jobLeader::atFault,
        statusPublisher,
        fencingTokens);
  }

  private HeartbeatHandler newHeartbeatHandler() {
    HeartbeatResponder responder =
        new HeartbeatResponder(
            cluster.clock,
            cluster.metrics,
            cluster.store,
            cluster.jobBitmaps,
            cluster.cancellations,
            machines,
            statusPublisher,
            fencingTokens);
    return new HeartbeatHandler(heartbeatApplier, responder);
  }

  private DirectCommands newDirectCommands() {
    return new DirectCommands(
        cluster.clock,
        cluster.effects,
        cluster.store,
        cluster.connectivity,
        cluster.cancellations,
        heartbeatApplier,
        machines,
        fencingTokens);
  }

  private MachineRegistration newRegistration() {
    return new MachineRegistration(
        cluster.clock,
        cluster.settings,
        cluster.store,
        cluster.machineTypes,
        staleHeartbeats,
        redirects,
        machines,
        entryWriter,
        heartbeatHandler);
  }

  private RestartRecovery newRestartRecovery() {
    return new RestartRecovery(
        cluster.clock,
        cluster.settings,
        cluster.store,
        cluster.machineTypes,
        machines,
        entryWriter,
        statusPublisher);
  }

  private HeartbeatRouter newHeartbeatRouter() {
    return new HeartbeatRouter(
        cluster.clock,
        cluster.store,
        cluster.machineTypes,
        cluster.connectivity,
        machines,
        heartbeatHandler,
        registration);
  }

  private LeadershipChanges newLeadershipChanges() {
    return new LeadershipChanges(
        cluster.settings,
        cluster.store,
        machines,
        statusPublisher,
        statusUpdateSequence,
        restartRecovery);
  }

  private MachineMaintenance newMaintenance() {
    MachineTakeover takeover =
        new MachineTakeover(
            cluster.clock,
            cluster.effects,
            cluster.machineTypes,
            machines,
            entryWriter,
            heartbeatApplier);
    MachineFailover failover =
        new MachineFailover(
            cluster.settings,
            cluster.effects,
            cluster.store,
            cluster.view,
            cluster.membership,
            entryWriter,
            takeover);
    LeaseExpiryMonitor leaseExpiry =
        new LeaseExpiryMonitor(
            cluster.settings,
            cluster.metrics,
            cluster.store,
            cluster.view,
            machines,
            fencingTokens,
            statusPublisher);
    return new MachineMaintenance(
        cluster.clock,
        machines,
        entryWriter,
        statusPublisher,
        commands,
        redirects,
        failover,
        leaseExpiry);
  }

  private StartBatchReceiver newStartReceiver() {
    StartAdmission startAdmission =
        new StartAdmission(
            cluster.clock,
            cluster.store,
            cluster.jobBitmaps,
            cluster.connectivity,
            cluster.cancellations,
            machines);
    StartRequestHandler startRequests =
        new StartRequestHandler(
            cluster.clock,
            cluster.metrics,
            cluster.store,
            machines,
            statusPublisher,
            commands,
            startAdmission);
    return new StartBatchReceiver(cluster.store, cluster.view, startRequests::handle);
  }
}
