package mallowstall.core;

import static mallowstall.core.SafetyTestSupport.assertFinished;
import static mallowstall.core.SafetyTestSupport.batchSpec;
import static mallowstall.core.SafetyTestSupport.leaderOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mallowstall.core.cluster.PeerState;
import mallowstall.core.kernel.Condition;
import mallowstall.core.kernel.KeyValue;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kernel.TransactionResult;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.AutoscalerLeaderEntry;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobOutcome;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.MachineGroupEntry;
import mallowstall.core.model.MachineStatus;
import mallowstall.core.model.Priority;
import mallowstall.core.model.StatusUpdate;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.TaskStatus;
import mallowstall.core.model.TeamUsageEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** One case of what keeps the rules each, on simulated time. */
class FaultSafetyTest {
  @Test
  void delayedCommandStartsNothingTwice() {
    Simulation sim = new Simulation(31);
    sim.runUntil(6_000);
    sim.delayAllCommands =
        true; // every direct command is executed up to 20 s late, its answer is lost
    sim.submit(batchSpec(sim, "wk-000001", 12, "free"));
    sim.runUntil(25_000);
    sim.delayAllCommands = false;
    sim.runUntil(120_000);
    assertTrue(sim.delayedCommands > 0);
    assertFinished(sim, "wk-000001");
  }

  @Test
  void delayedTransactionUndoesNothing() {
    Simulation sim = new Simulation(32);
    sim.runUntil(6_000);
    sim.submit(batchSpec(sim, "wk-000001", 6, "tight"));
    sim.runUntil(7_000);
    JobEntry before = sim.jobEntry("wk-000001");
    long version = sim.stateService.entries.get(StateKeys.job("wk-000001")).version();
    sim.runUntil(60_000);
    assertFinished(sim, "wk-000001");
    TransactionResult late =
        sim.stateService.transact(
            new Transaction(
                List.of(new Condition(StateKeys.job("wk-000001"), version)),
                List.of(new PutOperation(StateKeys.job("wk-000001"), before, 0)),
                List.of()));
    assertEquals(ResultCode.CONFLICT, late.code());
    sim.runUntil(70_000);
    assertFinished(sim, "wk-000001");
  }

  @Test
  void leaderCrashBetweenStartAndResponseIsResolved() {
    for (int after = 1; after < 60; after += 7) {
      Simulation sim = new Simulation(33);
      sim.runUntil(6_000);
      sim.submit(batchSpec(sim, "wk-000001", 10, "free"));
      while (!sim.stateService.entries.containsKey(StateKeys.job("wk-000001"))) {
        sim.runUntil(sim.nowMs + 1);
      }
      sim.runUntil(sim.nowMs + after);
      leaderOf(sim, "wk-000001").crash(after % 2 == 0 ? 100 : 20_000);
      sim.runUntil(150_000);
      assertFinished(sim, "wk-000001");
    }
  }

  @Test
  void quickRestartKeepsInvariants() {
    Simulation sim = new Simulation(34);
    sim.runUntil(6_000);
    for (int i = 0; i < 8; i++) {
      sim.submit(batchSpec(sim, "wk-00000" + i, 6, i % 2 == 0 ? "free" : "tight"));
    }
    for (int i = 0; i < 12; i++) {
      sim.runUntil(sim.nowMs + 900);
      sim.controllers.get(Simulation.NODES.get(i % 3)).crash(80);
    }
    sim.runUntil(200_000);
    for (int i = 0; i < 8; i++) {
      assertFinished(sim, "wk-00000" + i);
    }
  }

  @Test
  void controllerWithoutStateServiceLosesJobsSafely() {
    Simulation sim = new Simulation(35);
    sim.runUntil(6_000);
    sim.submit(batchSpec(sim, "wk-000001", 30, "free"));
    sim.runUntil(8_000);
    SimulatedController node = leaderOf(sim, "wk-000001");
    node.stateServiceUnreachable = true;
    sim.runUntil(20_000);
    assertFalse(node.name.equals(sim.jobEntry("wk-000001").leader()));
    assertFalse(node.core.isReady());
    for (SimulatedWorker worker : sim.workers.values()) {
      assertFalse(worker.controllerName.equals(node.name), "its machines move to served peers");
    }
    sim.runUntil(60_000);
    node.stateServiceUnreachable = false;
    sim.runUntil(150_000);
    assertFinished(sim, "wk-000001");
  }

  @Test
  void controllerWithoutPeersKeepsInvariants() {
    Simulation sim = new Simulation(36);
    sim.runUntil(6_000);
    sim.submit(batchSpec(sim, "wk-000001", 30, "free"));
    sim.runUntil(8_000);
    SimulatedController node = leaderOf(sim, "wk-000001");
    for (SimulatedController controller : sim.controllers.values()) {
      if (controller == node) {
        continue;
      }
      node.partitionedPeers.put(controller.name, true);
      controller.partitionedPeers.put(node.name, true);
    }
    sim.runUntil(30_000);
    sim.healPartitions();
    sim.runUntil(150_000);
    assertFinished(sim, "wk-000001");
  }

  @Test
  void outageLongerThanLeaseKeepsTasksRunning() {
    Simulation sim = new Simulation(37);
    sim.runUntil(6_000);
    sim.submit(batchSpec(sim, "wk-000001", 8, "free"));
    sim.runUntil(8_000);
    sim.stateService.outage = true;
    sim.runUntil(48_000);
    long kept = sim.workers.values().stream().filter(worker -> worker.epoch == 1).count();
    assertEquals(
        sim.workers.size(), kept, "no worker's lease may run out: no cancellation was told");
    sim.stateService.endOutage();
    sim.runUntil(120_000);
    assertFinished(sim, "wk-000001");
  }

  @Test
  void allControllersCrashTogether() {
    Simulation sim = new Simulation(38);
    sim.runUntil(6_000);
    sim.submit(batchSpec(sim, "wk-000001", 20, "tight"));
    sim.runUntil(9_000);
    sim.crashAll(4_000);
    sim.runUntil(150_000);
    assertFinished(sim, "wk-000001");
  }

  @Test
  void cancellationWithStartInFlightStopsAllTasks() {
    for (int after = 0; after < 40; after += 5) {
      Simulation sim = new Simulation(39);
      sim.runUntil(6_000);
      sim.submit(batchSpec(sim, "wk-000001", 12, "tight"));
      while (!sim.stateService.entries.containsKey(StateKeys.job("wk-000001"))) {
        sim.runUntil(sim.nowMs + 1);
      }
      sim.runUntil(sim.nowMs + after);
      sim.cancel("wk-000001");
      sim.runUntil(90_000);
      assertEquals(List.of(), sim.checker.violations);
      assertEquals("cancelled", sim.checker.lastState("wk-000001"));
      assertEquals(0, sim.jobEntry("wk-000001").quotaReservedTasks(), "the grant is given back");
      SimulatedStateService.StoredValue sum = sim.stateService.entries.get(StateKeys.team("tight"));
      assertEquals(0, sum == null ? 0 : ((TeamUsageEntry) sum.value()).reservedCpus(), 1e-9);
    }
  }

  @Test
  void theQuotaHoldsAcrossControllers() {
    Simulation sim = new Simulation(40);
    sim.runUntil(6_000);
    for (int i = 0; i < 9; i++) {
      sim.submit(batchSpec(sim, "wk-00000" + i, 9, "tight"));
    }
    sim.runUntil(250_000);
    for (int i = 0; i < 9; i++) {
      assertFinished(sim, "wk-00000" + i);
    }
    assertEquals(
        0,
        ((TeamUsageEntry) sim.stateService.entries.get(StateKeys.team("tight")).value())
            .reservedCpus(),
        1e-9);
  }

  /**
   * The other owners may follow the state service past a claim before the claimant has its own
   * answer: what their rosters told in between must not count as looked at. This once started a
   * task twice.
   */
  @Test
  void newLeaderWithDelayedWatchMissesNoTask() {
    for (String name : Simulation.NODES) {
      Simulation sim = new Simulation(51);
      sim.taskRunMs = 25_000;
      sim.runUntil(8_000);
      sim.submit(batchSpec(sim, "wk-000001", 14, "free"));
      sim.runUntil(14_000);
      SimulatedController claimant = sim.controllers.get(name);
      if (claimant == leaderOf(sim, "wk-000001")) {
        continue;
      }
      claimant.stateDelayMs = 900;
      // its claim is executed, the answer is lost, and its watch tells it late
      String key = StateKeys.job("wk-000001");
      JobEntry mine = sim.jobEntry("wk-000001").withLeader(name, claimant.core.incarnation());
      long version = sim.stateService.entries.get(key).version();
      assertEquals(
          ResultCode.OK,
          sim.stateService
              .transact(
                  new Transaction(
                      List.of(new Condition(key, version)),
                      List.of(new PutOperation(key, mine, 0)),
                      List.of()))
              .code());
      sim.runUntil(18_000);
      assertEquals(List.of(), sim.checker.violations);
      claimant.stateDelayMs = 0;
      sim.runUntil(200_000);
      assertFinished(sim, "wk-000001");
    }
  }

  /**
   * A roster that still acknowledges the former process's connections must not settle a start of
   * the new one: this once placed a task twice on a rough day.
   */
  @Test
  void acknowledgementsOfFormerIncarnationAreIgnored() {
    Simulation sim = new Simulation(41);
    sim.runUntil(6_000);
    SimulatedController node = sim.controllers.get("n0");
    long mine = node.core.incarnation();
    node.enqueueEvent(
        () ->
            node.core.handleMessage(
                new StatusUpdate(
                    "n1", 1_000, 1, 0, 0, 0, 1, mine - 1, 99, 99, 0, List.of(), List.of(),
                    List.of(), List.of())));
    assertEquals(0, node.core.view().peer("n1").acknowledgedConnection());
    node.enqueueEvent(
        () ->
            node.core.handleMessage(
                new StatusUpdate(
                    "n1", 1_000, 2, 0, 0, 0, 1, mine, 99, 99, 0, List.of(), List.of(), List.of(),
                    List.of())));
    assertEquals(99, node.core.view().peer("n1").acknowledgedConnection());
  }

  /** All connections between controllers are refused: work goes on and recovers at once. */
  @Test
  void controllersWithoutPeerConnectionsKeepScheduling() {
    Simulation sim = new Simulation(65);
    sim.runUntil(8_000);
    for (int i = 0; i < 6; i++) {
      sim.submit(batchSpec(sim, "wk-00000" + i, 30, "free"));
    }
    sim.runUntil(14_000);
    sim.partitionPeers();
    int before = 0;
    for (int i = 0; i < 6; i++) {
      before += sim.jobEntry("wk-00000" + i).completedTaskCount();
    }
    sim.runUntil(40_000);
    int after = 0;
    for (int i = 0; i < 6; i++) {
      after += sim.jobEntry("wk-00000" + i).completedTaskCount();
    }
    assertTrue(after > before + 10, "holders' own machines serve them: " + (after - before));
    sim.healPartitions();
    sim.runUntil(150_000);
    for (int i = 0; i < 6; i++) {
      assertFinished(sim, "wk-00000" + i);
    }
  }

  /** All controllers end while the state service is down: jobs stay known and run on. */
  @Test
  void allControllersCrashInOutage() {
    Simulation sim = new Simulation(66);
    sim.runUntil(8_000);
    for (int i = 0; i < 6; i++) {
      sim.submit(batchSpec(sim, "wk-00000" + i, 6, "tight"));
    }
    sim.runUntil(12_000);
    sim.stateService.outage = true;
    sim.runUntil(15_000);
    for (SimulatedController node : sim.controllers.values()) {
      node.crash(node.name.equals("n1") ? 200 : 4_000);
    }
    sim.runUntil(32_000);
    sim.stateService.endOutage();
    sim.runUntil(45_000);
    for (SimulatedController controller : sim.controllers.values()) {
      List<ApiResponse> responses = new ArrayList<>();
      controller.enqueueEvent(() -> controller.core.query("wk-000003", responses::add));
      sim.runUntil(sim.nowMs + 1_000);
      assertEquals(200, responses.get(0).status(), "known at " + controller.name);
    }
    sim.runUntil(200_000);
    for (int i = 0; i < 6; i++) {
      assertFinished(sim, "wk-00000" + i);
    }
  }

  /**
   * Statements between controllers are lost, late and repeated: one that builds on a statement that
   * never came is not taken in, and the next says again all that isn't known to have been heard.
   */
  @Test
  void statusUpdateWithSequenceGapIsRejected() {
    Simulation sim = new Simulation(67);
    sim.runUntil(6_000);
    SimulatedController node = sim.controllers.get("n0");
    PeerState peer = node.core.view().peer("n9");
    MachineStatus state = machineStatus("m-900001", 1);
    node.enqueueEvent(() -> node.core.handleMessage(statusUpdate(1, 0, List.of(state), List.of())));
    assertEquals(1, peer.serial());
    assertTrue(peer.leads("m-900001"));
    node.enqueueEvent(
        () -> node.core.handleMessage(statusUpdate(4, 3, List.of(), List.of("m-900001"))));
    assertEquals(1, peer.serial(), "builds on the third, which never came");
    assertTrue(peer.leads("m-900001"));
    node.enqueueEvent(
        () ->
            node.core.handleMessage(
                statusUpdate(5, 1, List.of(machineStatus("m-900002", 1)), List.of())));
    assertEquals(5, peer.serial());
    node.enqueueEvent(
        () -> node.core.handleMessage(statusUpdate(4, 1, List.of(), List.of("m-900002"))));
    assertTrue(peer.leads("m-900002"), "an older one comes late");
    node.enqueueEvent(
        () -> node.core.handleMessage(statusUpdate(6, 5, List.of(), List.of("m-900001"))));
    assertFalse(peer.leads("m-900001"));
    assertTrue(peer.leads("m-900002"), "what isn't said anew still holds");
  }

  private static MachineStatus machineStatus(String id, long token) {
    return machineStatus(id, token, List.of());
  }

  private static MachineStatus machineStatus(String id, long token, List<TaskStatus> tasks) {
    return new MachineStatus(
        id, id, token, 1L << 40, 1, 1, true, true, false, false, false, false, "t8", "a", false, -1,
        8, 0, 32, 1, List.of(), tasks);
  }

  private static StatusUpdate statusUpdate(
      long serial, long baseSerial, List<MachineStatus> machines, List<String> removed) {
    return new StatusUpdate(
        "n9",
        900,
        serial,
        baseSerial,
        0,
        0,
        1,
        0,
        0,
        0,
        0,
        List.of(),
        machines,
        removed,
        List.of());
  }

  /**
   * A controller stands still for longer than its session, between deciding and sending: its
   * starts, answers and changes leave when it wakes. The others serve its jobs and machines
   * meanwhile, and nothing that comes late starts a task or undoes a change.
   */
  @ParameterizedTest
  @ValueSource(longs = {4_000, 12_000, 28_000})
  void pausedControllerActsOnNoStaleState(long ms) {
    Simulation sim = new Simulation(80 + ms);
    sim.taskRunMs = 3_000;
    sim.runUntil(8_000);
    for (int i = 0; i < 9; i++) {
      sim.submit(batchSpec(sim, "wk-00000" + i, 8, "tight"));
    }
    sim.runUntil(9_500);
    SimulatedController node = leaderOf(sim, "wk-000004");
    node.pauseMs = ms;
    sim.runUntil(9_500 + ms);
    for (int i = 0; i < 9 && ms > 20_000; i++) {
      assertTrue(leaderOf(sim, "wk-00000" + i) != node, "others hold wk-00000" + i);
    }
    sim.runUntil(200_000);
    for (int i = 0; i < 9; i++) {
      assertFinished(sim, "wk-00000" + i);
    }
  }

  /**
   * What a controller read before it stood still, or waited for long, is not told: another may have
   * called the job done or cancelled since. Seed 21124 of the histories once broke went_back so.
   */
  @Test
  void staleReadsAreNotReported() {
    Simulation sim = new Simulation(93);
    sim.runUntil(8_000);
    sim.submit(batchSpec(sim, "wk-000001", 4, "free"));
    sim.runUntil(9_000);
    SimulatedController node = sim.controllers.get("n1");
    for (long lag : new long[] {200, 1_200, 2_500}) {
      node.stateDelayMs = lag;
      List<ApiResponse> responses = new ArrayList<>();
      node.enqueueEvent(() -> node.core.query("wk-000001", responses::add));
      sim.runUntil(sim.nowMs + 3_000);
      assertEquals(lag < 1_000 ? 200 : 503, responses.get(0).status());
    }
  }

  /**
   * A holder whose session is gone knows old things: it once called tasks doubled, and asked for
   * stops, on a machine that had been returned meanwhile. With its session it must do so.
   */
  @Test
  void leaderWithoutSessionReportsNoDuplicateTask() {
    for (boolean session : new boolean[] {true, false}) {
      Simulation sim = new Simulation(92);
      sim.taskRunMs = 60_000;
      sim.runUntil(8_000);
      sim.submit(batchSpec(sim, "wk-000001", 1, "tight"));
      sim.runUntil(13_000);
      SimulatedController node = leaderOf(sim, "wk-000001");
      long attempt = 0;
      for (SimulatedWorker worker : sim.workers.values()) {
        for (SimulatedWorker.SimulatedTask task : worker.tasks.values()) {
          attempt = task.attempt;
        }
      }
      node.stateServiceUnreachable = !session;
      sim.runUntil(20_000);
      TaskStatus older = new TaskStatus("wk-000001", 0, attempt - 1, TaskState.RUNNING, null);
      MachineStatus state = machineStatus("m-900001", 1, List.of(older));
      node.stopBatchesSent = 0;
      node.enqueueEvent(
          () -> node.core.handleMessage(statusUpdate(1, 0, List.of(state), List.of())));
      assertEquals(session ? 1 : 0, node.stopBatchesSent);
    }
  }

  /**
   * A zone is cut off with all in it while a controller outside ends. Its workers go on as long as
   * its controller answers them, jobs submitted meanwhile are done outside, and what was held back
   * by the cut breaks no rule when it comes.
   */
  @Test
  void zonePartitionDuringControllerCrash() {
    Simulation sim = new Simulation(90);
    sim.runUntil(8_000);
    for (int i = 0; i < 4; i++) {
      sim.submit(batchSpec(sim, "wk-00000" + i, 8, "tight"));
    }
    sim.runUntil(10_000);
    sim.partitionZone("b");
    sim.runUntil(20_000);
    sim.controllers.get("n2").crash(4_000);
    sim.runUntil(24_000);
    List<JobSpec> outside = new ArrayList<>();
    for (int i = 4; i < 8; i++) {
      outside.add(
          sim.batchSpec("wk-00000" + i, 4, 2, Priority.HIGH, "free", false, false, true, "a"));
      sim.submit(outside.get(outside.size() - 1));
    }
    sim.runUntil(55_000);
    for (JobSpec spec : outside) {
      assertTrue(sim.jobEntry(spec.id()).completedTaskCount() > 0, spec.id() + " is served");
    }
    sim.healPartitions();
    sim.runUntil(200_000);
    for (int i = 0; i < 8; i++) {
      assertFinished(sim, "wk-00000" + i);
    }
  }

  /** Runs until the job has another holder than this one; its epoch has been raised then. */
  private static SimulatedController awaitFailover(
      Simulation sim, String id, SimulatedController before) {
    while (leaderOf(sim, id) == before) {
      sim.runUntil(sim.nowMs + 5);
    }
    return leaderOf(sim, id);
  }

  @Test
  void sessionExpiryBetweenFailoverAndRebuildLosesNoJob() {
    Simulation sim = new Simulation(72);
    sim.runUntil(8_000);
    sim.submit(batchSpec(sim, "wk-000001", 40, "free"));
    sim.runUntil(12_000);
    SimulatedController node = leaderOf(sim, "wk-000001");
    node.crash(60_000);
    SimulatedController next = awaitFailover(sim, "wk-000001", node);
    assertFalse(next.core.mayPlace("wk-000001"));
    long lease = sim.stateService.entries.get(StateKeys.session(next.name)).leaseId();
    sim.stateService.revokeLease(lease);
    sim.runUntil(sim.nowMs + 75_000);
    boolean over = sim.jobEntry("wk-000001").outcome() == JobOutcome.DONE;
    assertTrue(
        over || leaderOf(sim, "wk-000001").core.mayPlace("wk-000001"), "known and looked after");
    sim.runUntil(250_000);
    assertFinished(sim, "wk-000001");
  }

  @Test
  void replicaResetDuringFailoverLosesNoJob() {
    Simulation sim = new Simulation(73);
    sim.runUntil(8_000);
    for (int i = 0; i < 8; i++) {
      sim.submit(batchSpec(sim, "wk-00000" + i, 8, "tight"));
    }
    sim.runUntil(12_000);
    SimulatedController node = leaderOf(sim, "wk-000001");
    node.crash(60_000);
    awaitFailover(sim, "wk-000001", node);
    for (SimulatedController controller : sim.controllers.values()) {
      controller.compactNextWatch = true;
    }
    sim.runUntil(250_000);
    for (int i = 0; i < 8; i++) {
      assertFinished(sim, "wk-00000" + i);
    }
  }

  /**
   * A process is back after 150 ms, ended just when it has claimed the duty, a job or machines,
   * with late copies of reports and of what its former process asked for following.
   */
  @Test
  void quickRestartDuringFailoverKeepsInvariants() {
    for (String prefix :
        List.of(
            StateKeys.AUTOSCALER_LEADER_KEY,
            StateKeys.JOB_PREFIX,
            StateKeys.MACHINE_GROUP_PREFIX,
            StateKeys.MACHINE_PREFIX)) {
      Simulation sim = new Simulation(74);
      sim.duplicateHeartbeatRate = 0.2;
      sim.messageLossRate = 0.03;
      sim.runUntil(8_000);
      for (int i = 0; i < 6; i++) {
        sim.submit(batchSpec(sim, "wk-00000" + i, 8, "tight"));
      }
      sim.runUntil(12_000);
      for (int i = 0; i < 5; i++) {
        sim.controllers.get(Simulation.NODES.get(i % 3)).crash(4_000);
        int from = sim.stateService.changes.size();
        String claimant = null;
        while (claimant == null && sim.nowMs < 12_000 + (i + 1) * 15_000L) {
          sim.runUntil(sim.nowMs + 5);
          for (; from < sim.stateService.changes.size() && claimant == null; from++) {
            KeyValue change = sim.stateService.changes.get(from);
            if (!change.key().startsWith(prefix)) {
              continue;
            }
            if (change.value() instanceof AutoscalerLeaderEntry duty) {
              claimant = duty.node();
            } else if (change.value() instanceof JobEntry job && job.epoch() > 1) {
              claimant = job.leader();
            } else if (change.value() instanceof MachineGroupEntry group) {
              claimant = group.node();
            } else if (change.value() instanceof MachineEntry machineEntry) {
              claimant = machineEntry.node();
            }
          }
        }
        if (claimant != null
            && sim.controllers.containsKey(claimant)
            && sim.controllers.get(claimant).running) {
          sim.controllers.get(claimant).crash(150);
        }
        sim.runUntil(12_000 + (i + 1) * 15_000L);
      }
      sim.stopRandomFaults();
      sim.runUntil(300_000);
      for (int i = 0; i < 6; i++) {
        assertFinished(sim, "wk-00000" + i);
      }
    }
  }
}
