package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.MachineRec;
import mallowstall.core.Model.Priority;

/** What the tests of single cases share. */
final class SafetyCases {
  private SafetyCases() {}

  static JobSpec plain(Simulation sim, String id, int tasks, String team) {
    return sim.job(id, tasks, 2, Priority.NORMAL, team, false, false, true, null);
  }

  static SimulatedController holder(Simulation sim, String id) {
    return sim.nodes.get(sim.entry(id).holder());
  }

  /** Runs until the controller has the machine from its former process; its record of it. */
  static MachineRec kept(Simulation sim, SimulatedController node, String id) {
    MachineRec mine = node.core.store().machine(id);
    while (sim.now < 25_000 && (mine == null || mine.incarnation() != node.core.incarnation())) {
      sim.run(sim.now + 50);
      mine = node.core.store().machine(id);
    }
    assertEquals(node.core.incarnation(), mine.incarnation(), "kept from the former process");
    return mine;
  }

  static void finished(Simulation sim, String id) {
    assertEquals(List.of(), sim.rules.broken);
    assertEquals("done", sim.rules.lastTold(id));
    JobRec job = sim.entry(id);
    assertEquals(job.spec().tasks(), job.doneCount());
  }
}
