package mallowstall.core;

import static mallowstall.core.SafetyTestSupport.leaderOf;
import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static mallowstall.core.model.MachineStatusBuilder.statusOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mallowstall.core.cluster.PeerState;
import mallowstall.core.model.MachineStatus;
import mallowstall.core.model.StatusUpdate;
import mallowstall.core.model.TaskState;
import mallowstall.core.model.TaskStatus;
import org.junit.jupiter.api.Test;

/** Status updates that are late, repeated, out of order, or of a former incarnation. */
class StatusUpdateSafetyTest {
  /**
   * A status update that still acknowledges the former incarnation's connections must not settle a
   * start of the new one, or a task is placed twice.
   */
  @Test
  void acknowledgementsOfFormerIncarnationAreIgnored() {
    Simulation sim = new Simulation(41);
    sim.runUntil(6_000);
    SimulatedController node = sim.controllers.get("n0");
    long mine = node.core.incarnation();
    node.enqueueEvent(() -> node.core.handleMessage(acknowledgement(1, mine - 1)));
    assertEquals(0, node.core.view().peer("n1").acknowledgedConnection());
    node.enqueueEvent(() -> node.core.handleMessage(acknowledgement(2, mine)));
    assertEquals(99, node.core.view().peer("n1").acknowledgedConnection());
  }

  /**
   * Status updates are lost, late and repeated: one that builds on an update that never came is
   * rejected, and the next contains all that has not been acknowledged.
   */
  @Test
  void statusUpdateWithSequenceGapIsRejected() {
    Simulation sim = new Simulation(67);
    sim.runUntil(6_000);
    SimulatedController node = sim.controllers.get("n0");
    PeerState peer = node.core.view().peer("n9");
    MachineStatus state = statusOf("m-900001").build();
    node.enqueueEvent(() -> node.core.handleMessage(statusUpdate(1, 0, List.of(state), List.of())));
    assertEquals(1, peer.serial());
    assertTrue(peer.leads("m-900001"));
    node.enqueueEvent(
        () -> node.core.handleMessage(statusUpdate(4, 3, List.of(), List.of("m-900001"))));
    assertEquals(1, peer.serial(), "builds on the third, which was lost");
    assertTrue(peer.leads("m-900001"));
    node.enqueueEvent(
        () ->
            node.core.handleMessage(
                statusUpdate(5, 1, List.of(statusOf("m-900002").build()), List.of())));
    assertEquals(5, peer.serial());
    node.enqueueEvent(
        () -> node.core.handleMessage(statusUpdate(4, 1, List.of(), List.of("m-900002"))));
    assertTrue(peer.leads("m-900002"), "an older one comes late");
    node.enqueueEvent(
        () -> node.core.handleMessage(statusUpdate(6, 5, List.of(), List.of("m-900001"))));
    assertFalse(peer.leads("m-900001"));
    assertTrue(peer.leads("m-900002"), "what isn't repeated still holds");
  }

  /**
   * A job leader without a session has a stale view: it must not take tasks for duplicates, and
   * stop them, on a machine that was scaled in meanwhile. With its session it must do so.
   */
  @Test
  void leaderWithoutSessionReportsNoDuplicateTask() {
    for (boolean session : new boolean[] {true, false}) {
      Simulation sim = new Simulation(92);
      sim.taskRunMs = 60_000;
      sim.runUntil(8_000);
      sim.users.submit(batchJob("wk-000001").tasks(1).team("tight").build());
      sim.runUntil(13_000);
      SimulatedController node = leaderOf(sim, "wk-000001");
      long attempt = 0;
      for (SimulatedWorker worker : sim.workers.values()) {
        for (SimulatedTask task : worker.tasks.values()) {
          attempt = task.attempt;
        }
      }
      node.stateServiceUnreachable = !session;
      sim.runUntil(20_000);
      TaskStatus older = new TaskStatus("wk-000001", 0, attempt - 1, TaskState.RUNNING, null);
      MachineStatus state = statusOf("m-900001").tasks(List.of(older)).build();
      node.stopBatchesSent = 0;
      node.enqueueEvent(
          () -> node.core.handleMessage(statusUpdate(1, 0, List.of(state), List.of())));
      assertEquals(session ? 1 : 0, node.stopBatchesSent);
    }
  }

  /** Of the starts sent on the connection 99 of this incarnation of the receiver. */
  private static StatusUpdate acknowledgement(long serial, long incarnation) {
    return new StatusUpdate(
        "n1",
        1_000,
        serial,
        0,
        0,
        0,
        1,
        incarnation,
        99,
        99,
        0,
        List.of(),
        List.of(),
        List.of(),
        List.of());
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
}
