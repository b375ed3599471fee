package mallowstall.core;

import static mallowstall.core.SafetyTestSupport.assertFinished;
import static mallowstall.core.SafetyTestSupport.awaitRecovery;
import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mallowstall.Constants;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.HeartbeatResponse;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.StopRequest;
import mallowstall.core.model.TaskReport;
import mallowstall.core.model.TaskState;
import org.junit.jupiter.api.Test;

/**
 * Guards against the effects of late, repeated or lost heartbeats, and of machines that commands do
 * not reach.
 */
class HeartbeatSafetyTest {
  private static Heartbeat heartbeatCopy(
      SimulatedWorker worker, long session, long sequence, long token) {
    return heartbeatCopy(worker, session, sequence, token, "wk-000001");
  }

  /** Returns a heartbeat of the worker that reports a running task of the job. */
  private static Heartbeat heartbeatCopy(
      SimulatedWorker worker, long session, long sequence, long token, String job) {
    return new Heartbeat(
        worker.id,
        worker.id,
        "t8",
        worker.zone,
        worker.spot,
        session,
        sequence,
        token,
        null,
        List.of(new TaskReport(job, 0, 1, TaskState.RUNNING, null, false)));
  }

  /**
   * A heartbeat that was sent before the worker lease expired arrives after the expiry. It must not
   * bring back its tasks.
   */
  @Test
  void delayedHeartbeatDoesNotRestoreExpiredSession() {
    Simulation sim = new Simulation(42);
    sim.runUntil(6_000);
    SimulatedWorker worker = sim.workers.values().iterator().next();
    SimulatedController leader = sim.controllers.get(sim.machineEntry(worker.id).node());
    Heartbeat staleHeartbeat =
        heartbeatCopy(
            worker, worker.epoch, worker.heartbeatSequence + 50, worker.token, "wk-000009");
    sim.killMachine(worker.id);
    sim.runUntil(sim.nowMs + 12_500 + Constants.WATCH_TIMEOUT_MS);
    List<HeartbeatResponse> responses = new ArrayList<>();
    leader.enqueueEvent(() -> leader.core.handleHeartbeat(staleHeartbeat, responses::add));
    assertEquals(503, responses.get(0).status());
    MachineView machineView = leader.core.view().machine(worker.id);
    assertNotNull(machineView);
    assertEquals(List.of(), machineView.status().tasks());
  }

  /**
   * Late copies of heartbeats arrive at the machine leader and at all other controllers, from a
   * live machine and from a machine that was scaled in. The machine entry stays unchanged, no task
   * is brought back, and no copy is answered 200.
   */
  @Test
  void duplicateHeartbeatsChangeNothing() {
    Simulation sim = new Simulation(63);
    sim.runUntil(12_000);
    SimulatedWorker worker = sim.workers.values().iterator().next();
    MachineEntry before = sim.machineEntry(worker.id);
    Heartbeat old = heartbeatCopy(worker, worker.epoch, worker.heartbeatSequence - 3, worker.token);
    for (SimulatedController node : sim.controllers.values()) {
      List<HeartbeatResponse> responses = new ArrayList<>();
      node.enqueueEvent(() -> node.core.handleHeartbeat(old, responses::add));
      sim.runUntil(sim.nowMs + 100);
      assertEquals(503, responses.get(0).status(), node.name);
    }
    // newer than the heartbeats that the leader has published: redirected to the running leader
    for (SimulatedController controller : sim.controllers.values()) {
      if (controller.name.equals(before.node())) {
        continue;
      }
      List<HeartbeatResponse> responses = new ArrayList<>();
      controller.enqueueEvent(
          () ->
              controller.core.handleHeartbeat(
                  heartbeatCopy(worker, worker.epoch, worker.heartbeatSequence + 1, worker.token),
                  responses::add));
      sim.runUntil(sim.nowMs + 100);
      assertEquals(421, responses.get(0).status(), controller.name);
      assertEquals(before.node(), responses.get(0).redirectTo());
    }
    sim.runUntil(sim.nowMs + 3_000);
    assertEquals(before, sim.machineEntry(worker.id));
    for (SimulatedController peer : sim.controllers.values()) {
      assertEquals(List.of(), peer.core.view().machine(worker.id).status().tasks());
    }
    // the machine is scaled in, in the cloud and in the state service
    sim.killMachine(worker.id);
    sim.stateService.transact(
        new Transaction(
            List.of(),
            List.of(new PutOperation(StateKeys.machine(worker.id), MachineEntry.tombstone(), 0)),
            List.of()));
    sim.runUntil(sim.nowMs + 3_000);
    for (long token : new long[] {0, worker.token}) {
      for (SimulatedController peer : sim.controllers.values()) {
        List<HeartbeatResponse> responses = new ArrayList<>();
        peer.enqueueEvent(
            () ->
                peer.core.handleHeartbeat(
                    heartbeatCopy(worker, worker.epoch, worker.heartbeatSequence + 9, token),
                    responses::add));
        sim.runUntil(sim.nowMs + 200);
        assertEquals(503, responses.get(0).status(), peer.name);
      }
    }
    assertEquals(null, sim.machineEntry(worker.id));
  }

  /**
   * A restarted controller recovers a failed machine of its former incarnation, and receives a late
   * copy of one of the machine's heartbeats. The worker lease must expire nevertheless, or every
   * job that fails over waits for the machine.
   */
  @Test
  void duplicateHeartbeatDoesNotDelayLeaseExpiry() {
    Simulation sim = new Simulation(77);
    sim.runUntil(8_000);
    SimulatedWorker worker = sim.workers.values().iterator().next();
    String name = sim.machineEntry(worker.id).node();
    SimulatedController node = sim.controllers.get(name);
    Heartbeat late = heartbeatCopy(worker, worker.epoch, worker.heartbeatSequence, worker.token);
    sim.workers.remove(worker.id).dead = true;
    node.crash(200);
    sim.runUntil(8_300);
    awaitRecovery(sim, node, worker.id);
    List<HeartbeatResponse> responses = new ArrayList<>();
    node.enqueueEvent(() -> node.core.handleHeartbeat(late, responses::add));
    assertEquals(200, responses.get(0).status(), "accepted as the worker's own heartbeat");
    sim.runUntil(sim.nowMs + Simulation.LEASE_MS + 4_000);
    MachineView machineView = node.core.view().machine(worker.id);
    assertTrue(machineView == null || machineView.status().leaseExpired());
  }

  /**
   * A machine reaches no controller, but direct commands reach it. The machine leader learns of the
   * next worker session only from the response to a command. The worker lease counts from that
   * response. When it counted from the last heartbeat of the former session, tasks started twice
   * (seeds 3745 and 3818).
   */
  @Test
  void sessionKnownOnlyFromCommandHasFullLease() {
    Simulation sim = new Simulation(79);
    sim.taskRunMs = 60_000;
    sim.runUntil(8_000);
    sim.users.submit(batchJob("wk-000001").tasks(16).build());
    sim.runUntil(12_000);
    SimulatedWorker worker = null;
    for (SimulatedWorker candidate : sim.workers.values()) {
      if (candidate.tasks.size() == 4) {
        worker = candidate;
      }
    }
    assertNotNull(worker);
    SimulatedWorker blockedWorker = worker;
    SimulatedController node = sim.controllers.get(sim.machineEntry(worker.id).node());
    List<StopRequest> stops = new ArrayList<>();
    for (SimulatedTask task : worker.tasks.values()) {
      stops.add(new StopRequest(worker.id, task.job, task.task, task.attempt, 0));
    }
    worker.outboundBlocked = true;
    long from = worker.leaseStartMs;
    for (int i = 0; i < 4; i++) {
      // the last command arrives in the next session, which its response names
      sim.runUntil(i < 3 ? from + 3_000L * (i + 1) : from + Simulation.LEASE_MS + 150);
      StopRequest stop = stops.get(i);
      node.enqueueEvent(() -> node.core.sendStop(node.name, stop));
      if (i == 1) {
        MachineView machineView = node.core.view().machine(blockedWorker.id);
        assertFalse(
            machineView.isSchedulable(),
            "the machine answers commands, but loses its tasks with each lease");
        assertFalse(machineView.status().unresponsive());
      }
    }
    sim.runUntil(sim.nowMs + 400);
    assertEquals(2, worker.epoch);
    MachineView machineView = node.core.view().machine(worker.id);
    assertEquals(2, machineView.status().session(), "known from the command's response");
    long knownSinceMs = sim.nowMs;
    while (sim.nowMs < knownSinceMs + Simulation.LEASE_MS - 600) {
      sim.runUntil(sim.nowMs + 200);
      assertFalse(
          node.core.view().machine(worker.id).status().leaseExpired(),
          "at " + (sim.nowMs - knownSinceMs));
    }
    sim.runUntil(knownSinceMs + Simulation.LEASE_MS + 4_000);
    machineView = node.core.view().machine(worker.id);
    assertTrue(
        machineView == null || machineView.status().leaseExpired(),
        "the lease has expired after its full time");
  }

  /**
   * The heartbeats of a machine arrive, but responses and commands don't reach the machine. The
   * next session of the worker shows that its tasks have ended, and they run on other machines. No
   * task is started on the machine until it is reachable again.
   */
  @Test
  void unreachableMachineGetsNoTasksAndItsTasksAreRescheduled() {
    Simulation sim = new Simulation(61);
    sim.taskRunMs = 14_000;
    sim.runUntil(8_000);
    sim.users.submit(batchJob("wk-000001").tasks(12).build());
    sim.runUntil(11_000);
    SimulatedWorker worker = null;
    for (SimulatedWorker candidate : sim.workers.values()) {
      if (!candidate.tasks.isEmpty()) {
        worker = candidate;
      }
    }
    assertNotNull(worker);
    worker.inboundBlocked = true;
    sim.runUntil(11_000 + Simulation.LEASE_MS + 4_000);
    assertTrue(worker.epoch > 1, "its lease expired although its heartbeats were answered");
    for (SimulatedController node : sim.controllers.values()) {
      MachineView machineView = node.core.view().machine(worker.id);
      assertFalse(
          machineView != null && machineView.isSchedulable(),
          "no start goes to an unreachable machine");
    }
    sim.runUntil(75_000);
    assertFinished(sim, "wk-000001");
    // whether the machine was replaced or not, a machine that is reachable again runs tasks again
    worker.inboundBlocked = false;
    sim.users.submit(batchJob("wk-000002").tasks(30).build());
    sim.runUntil(200_000);
    assertFinished(sim, "wk-000002");
  }

  /**
   * Heartbeats of all machines arrive, but responses and commands don't reach the machines. A
   * cancellation takes effect on them nevertheless.
   */
  @Test
  void cancellationStopsTasksOnUnreachableMachines() {
    Simulation sim = new Simulation(62);
    sim.taskRunMs = 100_000;
    sim.runUntil(8_000);
    sim.users.submit(batchJob("wk-000001").tasks(12).build());
    sim.runUntil(12_000);
    for (SimulatedWorker worker : sim.workers.values()) {
      worker.inboundBlocked = true;
    }
    sim.users.cancel("wk-000001");
    sim.runUntil(70_000);
    assertEquals("cancelled", sim.checker.lastState("wk-000001"));
    assertEquals(List.of(), sim.checker.violations);
  }
}
