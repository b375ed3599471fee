package mallowstall.core;

import static mallowstall.core.SafetyTestSupport.assertAllFinished;
import static mallowstall.core.SafetyTestSupport.assertFinished;
import static mallowstall.core.SafetyTestSupport.leaderOf;
import static mallowstall.core.SafetyTestSupport.submitJobs;
import static mallowstall.core.SafetyTestSupport.sum;
import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mallowstall.core.kernel.Condition;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kernel.TransactionResult;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.TeamUsageEntry;
import org.junit.jupiter.api.Test;

/** Tests the safeguards that maintain the invariants, one case for each, on simulated time. */
class FaultSafetyTest {
  @Test
  void delayedCommandStartsNoTaskTwice() {
    Simulation sim = new Simulation(31);
    sim.runUntil(6_000);
    sim.delayAllCommands =
        true; // every direct command is executed up to 20 s late and its response is lost
    sim.users.submit(batchJob("wk-000001").tasks(12).build());
    sim.runUntil(25_000);
    sim.delayAllCommands = false;
    sim.runUntil(120_000);
    assertTrue(sim.delayedCommands > 0);
    assertFinished(sim, "wk-000001");
  }

  @Test
  void delayedTransactionConflicts() {
    Simulation sim = new Simulation(32);
    sim.runUntil(6_000);
    sim.users.submit(batchJob("wk-000001").tasks(6).team("tight").build());
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
      sim.users.submit(batchJob("wk-000001").tasks(10).build());
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
      sim.users.submit(
          batchJob("wk-00000" + i).tasks(6).team(i % 2 == 0 ? "free" : "tight").build());
    }
    for (int i = 0; i < 12; i++) {
      sim.runUntil(sim.nowMs + 900);
      sim.controllers.get(Simulation.NODES.get(i % 3)).crash(80);
    }
    sim.runUntil(200_000);
    assertAllFinished(sim, 8);
  }

  @Test
  void outageLongerThanLeaseKeepsTasksRunning() {
    Simulation sim = new Simulation(37);
    sim.runUntil(6_000);
    sim.users.submit(batchJob("wk-000001").tasks(8).build());
    sim.runUntil(8_000);
    sim.stateService.outage = true;
    sim.runUntil(48_000);
    long kept = sim.workers.values().stream().filter(worker -> worker.epoch == 1).count();
    assertEquals(
        sim.workers.size(), kept, "no worker's lease may expire: no cancellation was confirmed");
    sim.stateService.endOutage();
    sim.runUntil(120_000);
    assertFinished(sim, "wk-000001");
  }

  @Test
  void jobFinishesAfterAllControllersCrash() {
    Simulation sim = new Simulation(38);
    sim.runUntil(6_000);
    sim.users.submit(batchJob("wk-000001").tasks(20).team("tight").build());
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
      sim.users.submit(batchJob("wk-000001").tasks(12).team("tight").build());
      while (!sim.stateService.entries.containsKey(StateKeys.job("wk-000001"))) {
        sim.runUntil(sim.nowMs + 1);
      }
      sim.runUntil(sim.nowMs + after);
      sim.users.cancel("wk-000001");
      sim.runUntil(90_000);
      assertEquals(List.of(), sim.checker.violations);
      assertEquals("cancelled", sim.checker.lastState("wk-000001"));
      assertEquals(
          0, sim.jobEntry("wk-000001").quotaReservedTasks(), "the quota reservation is released");
      SimulatedStateService.StoredValue sum = sim.stateService.entries.get(StateKeys.team("tight"));
      assertEquals(0, sum == null ? 0 : ((TeamUsageEntry) sum.value()).reservedCpus(), 1e-9);
    }
  }

  @Test
  void quotaHoldsAcrossControllers() {
    Simulation sim = new Simulation(40);
    sim.runUntil(6_000);
    submitJobs(sim, 9, 9, "tight");
    sim.runUntil(250_000);
    assertAllFinished(sim, 9);
    assertEquals(
        0,
        ((TeamUsageEntry) sim.stateService.entries.get(StateKeys.team("tight")).value())
            .reservedCpus(),
        1e-9);
  }

  /**
   * All controllers crash while the state service is down. Every controller reports the jobs to
   * users after the outage, and the jobs run to their end.
   */
  @Test
  void jobsFinishAfterAllControllersCrashInOutage() {
    Simulation sim = new Simulation(66);
    sim.runUntil(8_000);
    submitJobs(sim, 6, 6, "tight");
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
    assertAllFinished(sim, 6);
  }
}
