package mallowstall.core;

import static mallowstall.core.SafetyTestSupport.assertAllFinished;
import static mallowstall.core.SafetyTestSupport.assertFinished;
import static mallowstall.core.SafetyTestSupport.leaderOf;
import static mallowstall.core.SafetyTestSupport.submitJobs;
import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.Priority;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests controllers that are partitioned from the state service or from each other, or pause. */
class PartitionSafetyTest {
  @Test
  void jobsFailOverFromControllerWithoutStateService() {
    Simulation sim = new Simulation(35);
    sim.runUntil(6_000);
    sim.users.submit(batchJob("wk-000001").tasks(30).build());
    sim.runUntil(8_000);
    SimulatedController node = leaderOf(sim, "wk-000001");
    node.stateServiceUnreachable = true;
    sim.runUntil(20_000);
    assertFalse(node.name.equals(sim.jobEntry("wk-000001").leader()));
    assertFalse(node.core.isReady());
    for (SimulatedWorker worker : sim.workers.values()) {
      assertFalse(
          worker.controllerName.equals(node.name),
          "its machines change to peers that reach the state service");
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
    sim.users.submit(batchJob("wk-000001").tasks(30).build());
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

  /**
   * While all connections between the controllers are refused, scheduling continues. It recovers as
   * soon as they are accepted again.
   */
  @Test
  void controllersWithoutPeerConnectionsKeepScheduling() {
    Simulation sim = new Simulation(65);
    sim.runUntil(8_000);
    submitJobs(sim, 6, 30, "free");
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
    assertTrue(
        after > before + 10,
        "tasks run on the machines that the job leaders lead: " + (after - before));
    sim.healPartitions();
    sim.runUntil(150_000);
    assertAllFinished(sim, 6);
  }

  /**
   * A controller pauses, also for longer than its session lease, after it has decided on messages
   * and before it sends them. Its starts, answers and writes leave when it resumes. Other
   * controllers lead its jobs and machines meanwhile, and no late message starts a task or undoes a
   * write.
   */
  @ParameterizedTest
  @ValueSource(longs = {4_000, 12_000, 28_000})
  void pausedControllerDoesNotActOnStaleState(long pauseMs) {
    Simulation sim = new Simulation(80 + pauseMs);
    sim.taskRunMs = 3_000;
    sim.runUntil(8_000);
    submitJobs(sim, 9, 8, "tight");
    sim.runUntil(9_500);
    SimulatedController node = leaderOf(sim, "wk-000004");
    node.pauseMs = pauseMs;
    sim.runUntil(9_500 + pauseMs);
    for (int i = 0; i < 9 && pauseMs > 20_000; i++) {
      assertTrue(leaderOf(sim, "wk-00000" + i) != node, "another controller leads wk-00000" + i);
    }
    sim.runUntil(200_000);
    assertAllFinished(sim, 9);
  }

  /**
   * A controller does not answer with a state that it read before it paused, or whose read took
   * long. Another controller may have answered since that the job is done or cancelled (seed 21124:
   * went_back).
   */
  @Test
  void staleReadsAreNotReported() {
    Simulation sim = new Simulation(93);
    sim.runUntil(8_000);
    sim.users.submit(batchJob("wk-000001").tasks(4).build());
    sim.runUntil(9_000);
    SimulatedController node = sim.controllers.get("n1");
    for (long delayMs : new long[] {200, 1_200, 2_500}) {
      node.stateDelayMs = delayMs;
      List<ApiResponse> responses = new ArrayList<>();
      node.enqueueEvent(() -> node.core.query("wk-000001", responses::add));
      sim.runUntil(sim.nowMs + 3_000);
      assertEquals(delayMs < 1_000 ? 200 : 503, responses.get(0).status());
    }
  }

  /**
   * A zone with its controller and workers is partitioned from the rest, and a controller outside
   * of it crashes. The zone's workers continue as long as their controller answers them, jobs that
   * are submitted meanwhile run outside of the zone, and messages that the partition delays break
   * no invariant when they arrive.
   */
  @Test
  void jobsFinishDespiteZonePartitionAndControllerCrash() {
    Simulation sim = new Simulation(90);
    sim.runUntil(8_000);
    submitJobs(sim, 4, 8, "tight");
    sim.runUntil(10_000);
    sim.partitionZone("b");
    sim.runUntil(20_000);
    sim.controllers.get("n2").crash(4_000);
    sim.runUntil(24_000);
    List<JobSpec> jobsOutside = new ArrayList<>();
    for (int i = 4; i < 8; i++) {
      jobsOutside.add(batchJob("wk-00000" + i).tasks(4).priority(Priority.HIGH).zone("a").build());
      sim.users.submit(jobsOutside.get(jobsOutside.size() - 1));
    }
    sim.runUntil(55_000);
    for (JobSpec spec : jobsOutside) {
      assertTrue(sim.jobEntry(spec.id()).completedTaskCount() > 0, spec.id() + " is served");
    }
    sim.healPartitions();
    sim.runUntil(200_000);
    assertAllFinished(sim, 8);
  }
}
