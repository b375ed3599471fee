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

/** Guards against effects of late, repeated, reordered or outdated status updates. */
class StatusUpdateSafetyTest {
  /**
   * A status update that still acknowledges connections of the receiver's former incarnation must
   * not decide the outcome of a start that its new incarnation requested. Otherwise a task is
   * placed twice.
   */
  @Test
  void acknowledgementsOfFormerIncarnationAreIgnored() {
    Simulation sim = new Simulation(41);
    sim.runUntil(6_000);
    SimulatedController node = sim.controllers.get("n0");
    long incarnation = node.core.incarnation();
    node.enqueueEvent(() -> node.core.handleMessage(acknowledgement(1, incarnation - 1)));
    assertEquals(0, node.core.view().peer("n1").acknowledgedConnection());
    node.enqueueEvent(() -> node.core.handleMessage(acknowledgement(2, incarnation)));
    assertEquals(99, node.core.view().peer("n1").acknowledgedConnection());
  }

  /**
   * Status updates are lost, late and repeated. An update that builds on a lost one is rejected,
   * and the next update contains every change that has not been acknowledged.
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
    assertEquals(1, peer.serial(), "the update builds on the third, which was lost");
    assertTrue(peer.leads("m-900001"));
    node.enqueueEvent(
        () ->
            node.core.handleMessage(
                statusUpdate(5, 1, List.of(statusOf("m-900002").build()), List.of())));
    assertEquals(5, peer.serial());
    node.enqueueEvent(
        () -> node.core.handleMessage(statusUpdate(4, 1, List.of(), List.of("m-900002"))));
    assertTrue(peer.leads("m-900002"), "an older update that arrives late is ignored");
    node.enqueueEvent(
        () -> node.core.handleMessage(statusUpdate(6, 5, List.of(), List.of("m-900001"))));
    assertFalse(peer.leads("m-900001"));
    assertTrue(peer.leads("m-900002"), "a machine that the update doesn't mention remains");
  }

  /**
   * A job leader without a session has a stale view. It must not treat tasks on a machine that was
   * scaled in meanwhile as duplicates and stop them. A job leader with a session must stop them.
   */
  @Test
  void leaderWithoutSessionStopsNoDuplicateTask() {
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

  /** Returns an update that acknowledges the starts sent on connection 99 of the incarnation. */
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
