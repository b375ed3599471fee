package mallowstall.core.machines;

import java.util.List;
import java.util.function.Consumer;
import mallowstall.core.cluster.Connectivity;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.HeartbeatResponse;

/**
 * Decides who answers a worker's heartbeat: this controller, because it leads the machine or
 * becomes its leader, another one, or nobody if the heartbeat may be a late copy.
 */
public final class HeartbeatRouter {
  private final EventClock clock;
  private final StateStore store;
  private final MachineTypeCatalog types;
  private final Connectivity connectivity;
  private final ManagedMachines machines;
  private final HeartbeatHandler heartbeatHandler;
  private final MachineRegistration registration;

  /** Passes heartbeats of machines led here to the handler and others to the registration. */
  public HeartbeatRouter(
      EventClock clock,
      StateStore store,
      MachineTypeCatalog types,
      Connectivity connectivity,
      ManagedMachines machines,
      HeartbeatHandler heartbeatHandler,
      MachineRegistration registration) {
    this.clock = clock;
    this.store = store;
    this.types = types;
    this.connectivity = connectivity;
    this.machines = machines;
    this.heartbeatHandler = heartbeatHandler;
    this.registration = registration;
  }

  /** Handles a heartbeat; {@code reply} is called once, perhaps later. */
  public void route(Heartbeat heartbeat, Consumer<HeartbeatResponse> reply) {
    if (!store.synced()
        || store.incarnation() == 0
        || types.isEmpty()
        || !connectivity.mayRenewWorkerLeases()) {
      reply.accept(HeartbeatResponse.unavailable());
      return;
    }
    if (connectivity.isIsolatedFromStateService()) {
      // new jobs aren't known here, so the machine would stay idle
      reply.accept(HeartbeatResponse.redirect(connectivity.peerWithStateAccess()));
      return;
    }
    ManagedMachine machine = machines.get(heartbeat.machine());
    if (machine != null && heartbeat.fencingToken() <= machine.fencingToken()) {
      reply.accept(respond(machine, heartbeat));
    } else {
      registration.register(heartbeat, reply);
    }
  }

  /** Answers the worker of a machine led here. */
  private HeartbeatResponse respond(ManagedMachine machine, Heartbeat heartbeat) {
    if (machine.leaseExpired() && heartbeat.session() <= machine.workerSession()) {
      // sent before the lease expired and delivered late: the tasks it lists have ended
      return HeartbeatResponse.unavailable();
    }
    if (heartbeat.session() < machine.workerSession()
        || (heartbeat.session() == machine.workerSession()
            && heartbeat.sequence() <= machine.handledHeartbeatSequence())) {
      // a late copy, since a worker sends one heartbeat at a time: it renews nothing
      return HeartbeatResponse.unavailable();
    }
    if (heartbeat.session() == machine.workerSession()
        && heartbeat.sequence() <= machine.latestHeartbeatSequence()) {
      // overtaken by the answer to a direct command, but refused it would send a healthy worker
      // to another controller
      machine.recordHandledSequence(heartbeat.sequence());
      machine.recordResponse(clock.now());
      return HeartbeatResponse.accepted(machine.fencingToken(), List.of());
    }
    return heartbeatHandler.handle(machine, heartbeat);
  }
}
