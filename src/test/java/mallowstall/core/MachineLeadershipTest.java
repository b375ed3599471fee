package mallowstall.core;

import static mallowstall.core.SafetyTestSupport.assertFinished;
import static mallowstall.core.SafetyTestSupport.awaitRecovery;
import static mallowstall.core.SafetyTestSupport.batchSpec;
import static mallowstall.core.SafetyTestSupport.leaderOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mallowstall.Constants;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.kernel.KeyValue;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.HeartbeatResponse;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.MachineGroupEntry;
import mallowstall.core.model.MachineGroupMember;
import mallowstall.core.model.StopRequest;
import mallowstall.core.model.TaskReport;
import mallowstall.core.model.TaskState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Machines that change owner, fall silent, or are heard of late. */
class MachineLeadershipTest {
  /** Changes of machines' owners since that revision. */
  private static long registrationsSince(Simulation sim, long since) {
    return sim.stateService.changes.stream()
        .filter(item -> item.modRevision() > since)
        .filter(
            i ->
                i.key().startsWith(StateKeys.MACHINE_GROUP_PREFIX)
                    || i.key().startsWith(StateKeys.MACHINE_PREFIX))
        .count();
  }

  /**
   * A machine that dies with its owner: the jobs taken over wait for it only until its return
   * proves it gone, not until the owner's next process may write it off. It once took 25 s.
   */
  @Test
  void machineThatDiesWithItsLeaderDelaysFailoverBriefly() {
    Simulation sim = new Simulation(44);
    sim.runUntil(8_000);
    sim.submit(batchSpec(sim, "wk-000001", 60, "free"));
    sim.runUntil(12_000);
    SimulatedController node = leaderOf(sim, "wk-000001");
    String dead = null;
    for (SimulatedWorker worker : sim.workers.values()) {
      MachineEntry entry = sim.machineEntry(worker.id);
      if (entry != null && entry.node().equals(node.name)) {
        dead = worker.id;
      }
    }
    assertNotNull(dead);
    sim.workers.remove(dead).dead = true;
    sim.checker.onMachineTerminated(dead);
    node.crash(60_000);
    sim.runUntil(12_000 + 5_500 + 9_000 + 4_000);
    SimulatedController next = leaderOf(sim, "wk-000001");
    assertFalse(next == node);
    assertTrue(next.core.mayPlace("wk-000001"));
    sim.runUntil(160_000);
    assertFinished(sim, "wk-000001");
  }

  /** A report from before the write-off, delivered after it, must not bring its tasks back. */
  @Test
  void delayedHeartbeatDoesNotReviveExpiredSession() {
    Simulation sim = new Simulation(42);
    sim.runUntil(6_000);
    SimulatedWorker worker = sim.workers.values().iterator().next();
    SimulatedController leader = sim.controllers.get(sim.machineEntry(worker.id).node());
    Heartbeat staleHeartbeat =
        new Heartbeat(
            worker.id,
            worker.id,
            "t8",
            worker.zone,
            worker.spot,
            worker.epoch,
            worker.heartbeatSequence + 50,
            worker.token,
            null,
            List.of(new TaskReport("wk-000009", 0, 1, TaskState.RUNNING, null, false)));
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
   * Reports arrive, answers and commands don't: the tasks are accounted for by the machine's next
   * session and run elsewhere, nothing is started there, and it is used again once it hears. It
   * drew one start after the other, each of them lost.
   */
  @Test
  void unreachableMachineGetsNoTasksAndItsTasksAreRescheduled() {
    Simulation sim = new Simulation(61);
    sim.taskRunMs = 14_000;
    sim.runUntil(8_000);
    sim.submit(batchSpec(sim, "wk-000001", 12, "free"));
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
    assertTrue(worker.epoch > 1, "its lease ran out although its reports were answered");
    for (SimulatedController node : sim.controllers.values()) {
      MachineView machineView = node.core.view().machine(worker.id);
      assertFalse(
          machineView != null && machineView.isSchedulable(),
          "no start goes to a machine that doesn't hear");
    }
    sim.runUntil(75_000);
    assertFinished(sim, "wk-000001");
    // whether it was replaced meanwhile or not, a machine that hears again serves again
    worker.inboundBlocked = false;
    sim.submit(batchSpec(sim, "wk-000002", 30, "free"));
    sim.runUntil(200_000);
    assertFinished(sim, "wk-000002");
  }

  /** The same with a cancellation: it holds on a machine that never hears of it. */
  @Test
  void cancellationHoldsOnUnreachableMachine() {
    Simulation sim = new Simulation(62);
    sim.taskRunMs = 100_000;
    sim.runUntil(8_000);
    sim.submit(batchSpec(sim, "wk-000001", 12, "free"));
    sim.runUntil(12_000);
    for (SimulatedWorker worker : sim.workers.values()) {
      worker.inboundBlocked = true;
    }
    sim.cancel("wk-000001");
    sim.runUntil(70_000);
    assertEquals("cancelled", sim.checker.lastState("wk-000001"));
    assertEquals(List.of(), sim.checker.violations);
  }

  private static Heartbeat heartbeatCopy(
      SimulatedWorker worker, long session, long seq, long token) {
    return new Heartbeat(
        worker.id,
        worker.id,
        "t8",
        worker.zone,
        worker.spot,
        session,
        seq,
        token,
        null,
        List.of(new TaskReport("wk-000001", 0, 1, TaskState.RUNNING, null, false)));
  }

  /**
   * Late copies at the owner and at any other controller, of a live machine and of one that was
   * returned: the record stays as it is, no task comes to life, and none is answered 200.
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
    // so new that its owner hasn't told of a newer one: sent to the owner, who is alive
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
    // returned: by the cloud and in the records
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
   * A controller without state service and peers still answers its workers, who turn to nobody
   * else: the others take them over directly, tasks and all. Its jobs waited 20 s and more.
   */
  @Test
  void machinesOfIsolatedControllerFailOver() {
    Simulation sim = new Simulation(64);
    sim.taskRunMs = 60_000;
    sim.runUntil(8_000);
    sim.submit(batchSpec(sim, "wk-000001", 40, "free"));
    sim.runUntil(14_000);
    SimulatedController node = leaderOf(sim, "wk-000001");
    sim.isolate(node);
    sim.runUntil(14_000 + Constants.SESSION_LEASE_MS + Constants.MACHINE_FAILOVER_DELAY_MS + 4_000);
    SimulatedController next = leaderOf(sim, "wk-000001");
    assertFalse(next == node);
    assertTrue(next.core.mayPlace("wk-000001"), "the job goes on while the cut lasts");
    for (SimulatedWorker worker : sim.workers.values()) {
      assertFalse(worker.controllerName.equals(node.name), "its workers have turned to the others");
      assertEquals(1, worker.epoch, "and kept their tasks");
    }
    sim.runUntil(45_000);
    node.stateServiceUnreachable = false;
    sim.healPartitions();
    sim.runUntil(330_000);
    assertFinished(sim, "wk-000001");
  }

  /**
   * Many machines that turn to the controllers at once are taken over in a few changes: one change
   * each took longer than the leases, and hundreds of tasks were lost with them.
   */
  @Test
  void hundredsOfMachinesChangeLeaderWithinLease() {
    Simulation sim = new Simulation(69);
    sim.addMachines(300);
    sim.runUntil(20_000);
    long before = sim.stateService.revision;
    sim.crashAll(2_000);
    sim.runUntil(32_000);
    for (SimulatedWorker worker : sim.workers.values()) {
      assertEquals(1, worker.epoch, worker.id);
    }
    long registrations = registrationsSince(sim, before);
    assertTrue(registrations < 150, "changes for 304 machines: " + registrations);
    sim.submit(batchSpec(sim, "wk-000001", 40, "free"));
    sim.runUntil(90_000);
    assertFinished(sim, "wk-000001");
  }

  /**
   * Half as many machines again as the largest fleet: all controllers end, and once more just after
   * an outage of the state service. The machines come back within their leases, in few changes, and
   * work goes on.
   */
  @Test
  void fifteenHundredMachinesSurviveControllerRestart() {
    Simulation sim = new Simulation(91);
    sim.addMachines(1_462);
    sim.runUntil(20_000);
    for (int i = 0; i < 6; i++) {
      sim.submit(batchSpec(sim, "wk-00000" + i, 700, "free"));
    }
    sim.runUntil(24_000);
    long before = sim.stateService.revision;
    sim.crashAll(2_000);
    sim.runUntil(36_000);
    for (SimulatedWorker worker : sim.workers.values()) {
      assertEquals(1, worker.epoch, worker.id);
    }
    long registrations = registrationsSince(sim, before);
    assertTrue(registrations < 500, "changes for 1,466 machines: " + registrations);
    sim.stateService.outage = true;
    sim.runUntil(40_000);
    sim.stateService.endOutage();
    sim.crashAll(2_000);
    sim.runUntil(110_000);
    for (int i = 0; i < 6; i++) {
      assertFinished(sim, "wk-00000" + i);
    }
  }

  /**
   * A restarted controller takes over the machines of its former process, counting their leases
   * from its own start. If another has owned one of them in between, which its mirror may tell
   * late, that one may have answered since: writing the machine off would start its tasks twice.
   */
  @Test
  void machineLedByAnotherInBetweenIsNotExpired() {
    for (boolean between : new boolean[] {false, true}) {
      Simulation sim = new Simulation(75);
      sim.runUntil(8_000);
      SimulatedWorker worker = sim.workers.values().iterator().next();
      String name = sim.machineEntry(worker.id).node();
      SimulatedController node = sim.controllers.get(name);
      SimulatedController other = sim.controllers.get(name.equals("n1") ? "n2" : "n1");
      sim.workers.remove(worker.id).dead = true; // silent; whether it is gone nobody knows
      node.crash(1_000);
      sim.runUntil(9_100);
      long first = node.core.startedAtMs();
      while (sim.nowMs < 25_000 && !node.core.store().isLive(name, node.core.incarnation())) {
        sim.runUntil(sim.nowMs + 50);
      }
      MachineEntry mine = awaitRecovery(sim, node, worker.id);
      MachineGroupEntry group =
          new MachineGroupEntry(
              other.name,
              other.core.incarnation(),
              List.of(new MachineGroupMember(worker.id, "t8", worker.zone, worker.spot)));
      long revision = mine.fencingToken() - 1;
      if (between) {
        node.enqueueEvent(
            () ->
                node.core
                    .store()
                    .applyChange(
                        new KeyValue(StateKeys.MACHINE_GROUP_PREFIX + "9-9", group, revision)));
      }
      sim.runUntil(first + Simulation.LEASE_MS + 6_000);
      assertEquals(!between, node.core.view().machine(worker.id).status().leaseExpired());
    }
  }

  /**
   * The same with a mirror that lags: the other owner's record, in a group that the change isn't
   * compared with, is known only after the machine was asked for, or after that has succeeded. Seed
   * 1753 of the histories started a task twice so.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void machineLedByAnotherUnknownToReplicaIsNotExpired(boolean inFlight) {
    Simulation sim = new Simulation(78);
    sim.runUntil(8_000);
    SimulatedWorker worker = sim.workers.values().iterator().next();
    String name = sim.machineEntry(worker.id).node();
    SimulatedController node = sim.controllers.get(name);
    SimulatedController other = sim.controllers.get(name.equals("n1") ? "n2" : "n1");
    sim.workers.remove(worker.id).dead = true;
    // it is back in an outage and has its mirror only when that lease is over
    sim.stateService.outage = true;
    node.crash(200);
    while (!node.running || node.core.startedAtMs() == 0) {
      sim.runUntil(sim.nowMs + 20);
    }
    sim.runUntil(node.core.startedAtMs() + Simulation.LEASE_MS + 3_000);
    sim.stateService.endOutage();
    while (!node.core.store().synced()) {
      sim.runUntil(sim.nowMs + 1);
    }
    node.watchStalled = true;
    long revision = ++sim.stateService.revision;
    MachineGroupEntry group =
        new MachineGroupEntry(
            other.name,
            other.core.incarnation(),
            List.of(new MachineGroupMember(worker.id, "t8", worker.zone, worker.spot)));
    sim.stateService.applyChange(StateKeys.MACHINE_GROUP_PREFIX + "9-9", group, revision, 0);
    String key = StateKeys.machine(worker.id);
    SimulatedStateService.StoredValue before = sim.stateService.entries.get(key);
    if (inFlight) {
      node.machineWriteDelayMs = 600;
    }
    while (sim.nowMs < 40_000 && sim.stateService.entries.get(key) == before) {
      sim.runUntil(sim.nowMs + 1);
    }
    MachineEntry mine = (MachineEntry) sim.stateService.entries.get(key).value();
    assertEquals(node.core.incarnation(), mine.incarnation(), "kept from the former process");
    assertTrue(sim.stateService.entries.get(key).version() > revision);
    if (inFlight) {
      node.watchStalled = false;
    }
    sim.runUntil(sim.nowMs + 1_000);
    assertFalse(
        node.core.view().machine(worker.id).status().leaseExpired(), "nobody knows what is on it");
    node.watchStalled = false;
    sim.runUntil(sim.nowMs + 6_000);
    MachineView machineView = node.core.view().machine(worker.id);
    assertTrue(
        machineView == null || !machineView.status().leaseExpired(),
        "it must be confirmed, or returned, first");
  }

  /**
   * A machine kept from the former process is dead, and a late copy of one of its reports comes to
   * the new process: it is written off all the same. It once stood unconfirmed for good then, and
   * every job taken over waited for it.
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
    assertEquals(200, responses.get(0).status(), "taken for the worker's own");
    sim.runUntil(sim.nowMs + Simulation.LEASE_MS + 4_000);
    MachineView machineView = node.core.view().machine(worker.id);
    assertTrue(machineView == null || machineView.status().leaseExpired());
  }

  /**
   * A machine reaches no controller, direct commands reach it. Its next session is known from a
   * command's answer alone, and its lease counts from then: seeds 3745 and 3818 of the histories
   * started tasks twice, since it was written off as of the former session's last report.
   */
  @Test
  void sessionKnownOnlyFromCommandHasFullLease() {
    Simulation sim = new Simulation(79);
    sim.taskRunMs = 60_000;
    sim.runUntil(8_000);
    sim.submit(batchSpec(sim, "wk-000001", 16, "free"));
    sim.runUntil(12_000);
    SimulatedWorker worker = null;
    for (SimulatedWorker candidate : sim.workers.values()) {
      if (candidate.tasks.size() == 4) {
        worker = candidate;
      }
    }
    assertNotNull(worker);
    SimulatedWorker mute = worker;
    SimulatedController node = sim.controllers.get(sim.machineEntry(worker.id).node());
    List<StopRequest> stops = new ArrayList<>();
    for (SimulatedWorker.SimulatedTask task : worker.tasks.values()) {
      stops.add(new StopRequest(worker.id, task.job, task.task, task.attempt, 0));
    }
    worker.outboundBlocked = true;
    long from = worker.leaseStartMs;
    for (int i = 0; i < 4; i++) {
      // the last one comes in the next session, which the answer tells
      sim.runUntil(i < 3 ? from + 3_000 * (i + 1) : from + Simulation.LEASE_MS + 150);
      StopRequest stop = stops.get(i);
      node.enqueueEvent(() -> node.core.sendStop(node.name, stop));
      if (i == 1) {
        MachineView machineView = node.core.view().machine(mute.id);
        assertFalse(
            machineView.isSchedulable(), "it answers commands, but loses its tasks each lease");
        assertFalse(machineView.status().unresponsive());
      }
    }
    sim.runUntil(sim.nowMs + 400);
    assertEquals(2, worker.epoch);
    MachineView machineView = node.core.view().machine(worker.id);
    assertEquals(2, machineView.status().session(), "known from the answer");
    long known = sim.nowMs;
    while (sim.nowMs < known + Simulation.LEASE_MS - 600) {
      sim.runUntil(sim.nowMs + 200);
      assertFalse(
          node.core.view().machine(worker.id).status().leaseExpired(), "at " + (sim.nowMs - known));
    }
    sim.runUntil(known + Simulation.LEASE_MS + 4_000);
    machineView = node.core.view().machine(worker.id);
    assertTrue(machineView == null || machineView.status().leaseExpired(), "and not a longer one");
  }

  /**
   * Reports don't name images. Whoever owned a machine next took each for missing there, so tasks
   * went to machines that had to fetch theirs whenever a controller had ended.
   */
  @Test
  void imagesStayKnownAfterLeaderChange() {
    Simulation sim = new Simulation(93);
    sim.runUntil(6_000);
    sim.submit(batchSpec(sim, "wk-000001", 16, "free"));
    sim.runUntil(30_000);
    assertFinished(sim, "wk-000001");
    SimulatedController ends = sim.controllers.get("n0");
    SimulatedController stays = sim.controllers.get("n1");
    List<String> machines = new ArrayList<>();
    for (MachineView machineView : stays.core.view().machines()) {
      if ("n0".equals(machineView.leader())
          && machineView.status().images().contains("wk-000001")) {
        machines.add(machineView.id());
      }
    }
    assertFalse(machines.isEmpty(), "n0 owns machines that have the image");
    ends.crash(30_000);
    sim.runUntil(sim.nowMs + 15_000);
    for (String id : machines) {
      MachineView machineView = stays.core.view().machine(id);
      if (machineView == null) {
        continue; // it was idle and has been returned
      }
      assertFalse("n0".equals(machineView.leader()), id);
      assertTrue(machineView.status().images().contains("wk-000001"), id);
    }
  }
}
