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

/**
 * Guards against lost jobs and tasks that start twice when faults occur while another controller
 * takes over the leadership of jobs.
 */
class FailoverSafetyTest {
  /**
   * The other machine leaders may read a failover from the state service before the new job leader
   * receives its own response. Their status updates from the time between must not count as
   * acknowledged, or a task starts twice.
   */
  @Test
  void newJobLeaderWithDelayedWatchStartsNoTaskTwice() {
    for (String name : Simulation.NODES) {
      Simulation sim = new Simulation(51);
      sim.taskRunMs = 25_000;
      sim.runUntil(8_000);
      sim.users.submit(batchJob("wk-000001").tasks(14).build());
      sim.runUntil(14_000);
      SimulatedController newLeader = sim.controllers.get(name);
      if (newLeader == leaderOf(sim, "wk-000001")) {
        continue;
      }
      newLeader.stateDelayMs = 900;
      // the state service executes the failover, the response is lost, and the watch is delayed
      String key = StateKeys.job("wk-000001");
      JobEntry failover = sim.jobEntry("wk-000001").withLeader(name, newLeader.core.incarnation());
      long version = sim.stateService.entries.get(key).version();
      assertEquals(
          ResultCode.OK,
          sim.stateService
              .transact(
                  new Transaction(
                      List.of(new Condition(key, version)),
                      List.of(new PutOperation(key, failover, 0)),
                      List.of()))
              .code());
      sim.runUntil(18_000);
      assertEquals(List.of(), sim.checker.violations);
      newLeader.stateDelayMs = 0;
      sim.runUntil(200_000);
      assertFinished(sim, "wk-000001");
    }
  }

  /** Runs until another controller leads the job, with a higher leader epoch, and returns it. */
  private static SimulatedController awaitFailover(
      Simulation sim, String id, SimulatedController before) {
    while (leaderOf(sim, id) == before) {
      sim.runUntil(sim.nowMs + 5);
    }
    return leaderOf(sim, id);
  }

  @Test
  void sessionExpiryBetweenFailoverAndRecoveryLosesNoJob() {
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
    boolean done = sim.jobEntry("wk-000001").outcome() == JobOutcome.DONE;
    assertTrue(
        done || leaderOf(sim, "wk-000001").core.mayPlace("wk-000001"),
        "the job is done or its leader has recovered it");
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
   * A controller that has just taken over the leadership of the autoscaler, a job or machines
   * crashes and restarts within 150 ms. Late copies of heartbeats and of requests of its former
   * incarnation follow.
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
        String newLeader = null;
        while (newLeader == null && sim.nowMs < 12_000 + (i + 1) * 15_000L) {
          sim.runUntil(sim.nowMs + 5);
          for (; from < sim.stateService.changes.size() && newLeader == null; from++) {
            KeyValue change = sim.stateService.changes.get(from);
            if (!change.key().startsWith(prefix)) {
              continue;
            }
            if (change.value() instanceof AutoscalerLeaderEntry entry) {
              newLeader = entry.node();
            } else if (change.value() instanceof JobEntry job && job.epoch() > 1) {
              newLeader = job.leader();
            } else if (change.value() instanceof MachineGroupEntry group) {
              newLeader = group.node();
            } else if (change.value() instanceof MachineEntry machineEntry) {
              newLeader = machineEntry.node();
            }
          }
        }
        if (newLeader != null
            && sim.controllers.containsKey(newLeader)
            && sim.controllers.get(newLeader).running) {
          sim.controllers.get(newLeader).crash(150);
        }
        sim.runUntil(12_000 + (i + 1) * 15_000L);
      }
      sim.stopRandomFaults();
      sim.runUntil(300_000);
      assertAllFinished(sim, 6);
    }
  }
}
