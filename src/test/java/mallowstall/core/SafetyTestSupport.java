package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.MachineEntry;

/** What the tests of single cases share. */
final class SafetyTestSupport {
  private SafetyTestSupport() {}

  static SimulatedController leaderOf(Simulation sim, String id) {
    return sim.controllers.get(sim.jobEntry(id).leader());
  }

  /** Runs until the controller has the machine from its former process; its record of it. */
  static MachineEntry awaitRecovery(Simulation sim, SimulatedController node, String id) {
    MachineEntry entry = node.core.store().machine(id);
    while (sim.nowMs < 25_000
        && (entry == null || entry.incarnation() != node.core.incarnation())) {
      sim.runUntil(sim.nowMs + 50);
      entry = node.core.store().machine(id);
    }
    assertEquals(node.core.incarnation(), entry.incarnation(), "kept from the former process");
    return entry;
  }

  static void assertFinished(Simulation sim, String id) {
    assertEquals(List.of(), sim.checker.violations);
    assertEquals("done", sim.checker.lastState(id));
    JobEntry job = sim.jobEntry(id);
    assertEquals(job.spec().tasks(), job.completedTaskCount());
  }
}
