package mallowstall.core;

import static mallowstall.core.SafetyTestSupport.assertAllFinished;
import static mallowstall.core.SafetyTestSupport.assertFinished;
import static mallowstall.core.SafetyTestSupport.leaderOf;
import static mallowstall.core.SafetyTestSupport.submitJobs;
import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mallowstall.core.kernel.Condition;
import mallowstall.core.kernel.KeyValue;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.model.AutoscalerLeaderEntry;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobOutcome;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.MachineGroupEntry;
import org.junit.jupiter.api.Test;

/** Faults that strike while another controller takes the leadership of jobs. */
class FailoverSafetyTest {
  /**
   * The other machine leaders may read a failover from the state service before the new job leader
   * has its own answer: their status updates from in between must not count as acknowledged, or a
   * task starts twice.
   */
  @Test
  void newLeaderWithDelayedWatchMissesNoTask() {
    for (String name : Simulation.NODES) {
      Simulation sim = new Simulation(51);
      sim.taskRunMs = 25_000;
      sim.runUntil(8_000);
      sim.users.submit(batchJob("wk-000001").tasks(14).build());
      sim.runUntil(14_000);
      SimulatedController claimant = sim.controllers.get(name);
      if (claimant == leaderOf(sim, "wk-000001")) {
        continue;
      }
      claimant.stateDelayMs = 900;
      // its failover is executed, the answer is lost, and its watch is late
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

  /** Runs until the job has another leader than this one; its leader epoch has been raised then. */
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
    sim.users.submit(batchJob("wk-000001").tasks(40).build());
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
    submitJobs(sim, 8, 8, "tight");
    sim.runUntil(12_000);
    SimulatedController node = leaderOf(sim, "wk-000001");
    node.crash(60_000);
    awaitFailover(sim, "wk-000001", node);
    for (SimulatedController controller : sim.controllers.values()) {
      controller.compactNextWatch = true;
    }
    sim.runUntil(250_000);
    assertAllFinished(sim, 8);
  }

  /**
   * A controller that has just taken the autoscaler's leadership, a job or machines is restarted
   * within 150 ms; late copies of heartbeats and of its former incarnation's requests follow.
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
      submitJobs(sim, 6, 8, "tight");
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
            if (change.value() instanceof AutoscalerLeaderEntry entry) {
              claimant = entry.node();
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
      assertAllFinished(sim, 6);
    }
  }
}
