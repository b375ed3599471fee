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
 * Routes heartbeats. This controller accepts a heartbeat if it leads the machine or becomes its
 * leader. Otherwise it redirects the worker to another controller, or responds that it is
 * unavailable, for example if the heartbeat may be a late copy.
 */
public final class HeartbeatRouter {
  private final EventClock clock;
  private final StateStore store;
  private final MachineTypeCatalog types;
  private final Connectivity connectivity;
  private final ManagedMachines machines;
  private final HeartbeatHandler heartbeatHandler;
  private final MachineRegistration registration;

  /** Creates a router that passes machines not led by this controller to the registration. */
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

  /** Routes a heartbeat. {@code reply} is called once, possibly after this method returns. */
  public void route(Heartbeat heartbeat, Consumer<HeartbeatResponse> reply) {
    if (!store.synced()
        || store.incarnation() == 0
        || types.isEmpty()
        || !connectivity.mayRenewWorkerLeases()) {
      reply.accept(HeartbeatResponse.unavailable());
      return;
    }
    if (connectivity.isIsolatedFromStateService()) {
      // This controller doesn't receive new jobs, so a machine that it leads would stay idle.
      reply.accept(HeartbeatResponse.redirect(connectivity.peerWithStateAccess()));
      return;
    }
    ManagedMachine machine = machines.get(heartbeat.machine());
    if (machine != null && heartbeat.fencingToken() <= machine.commandToken()) {
      reply.accept(respond(machine, heartbeat));
    } else {
      registration.register(heartbeat, reply);
    }
  }

  /** Returns the response to the worker of a machine that this controller leads. */
  private HeartbeatResponse respond(ManagedMachine machine, Heartbeat heartbeat) {
    if (machine.leaseExpired() && heartbeat.session() <= machine.workerSession()) {
      // The worker sent this heartbeat before its lease expired, and it arrives late: the tasks
      // that it lists have ended.
      return HeartbeatResponse.unavailable();
    }
    if (heartbeat.session() < machine.workerSession()
        || (heartbeat.session() == machine.workerSession()
            && heartbeat.sequence() <= machine.handledHeartbeatSequence())) {
      // A worker sends one heartbeat at a time, so this one is a late copy. It must not renew the
      // worker's lease.
      return HeartbeatResponse.unavailable();
    }
    if (heartbeat.session() == machine.workerSession()
        && heartbeat.sequence() <= machine.latestHeartbeatSequence()) {
      // The answer to a direct command has overtaken this heartbeat. It is accepted nevertheless,
      // since a healthy worker would turn to another controller after a rejection.
      machine.recordHandledSequence(heartbeat.sequence());
      machine.recordResponse(clock.now());
      return HeartbeatResponse.accepted(machine.commandToken(), List.of());
    }
    return heartbeatHandler.handle(machine, heartbeat);
  }
}
