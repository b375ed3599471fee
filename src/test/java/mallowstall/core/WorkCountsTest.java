package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.ToIntFunction;
import mallowstall.Constants;
import org.junit.jupiter.api.Test;

/**
 * Work that must follow what changes, not how much there is: counted, since the machines that
 * controllers run on have a few hundredths of a processor.
 */
class WorkCountsTest {
  private static final int MACHINES = 40;
  private static final int QUIET_S = 10;

  private static Simulation quiet(long seed, int machines) {
    Simulation sim = new Simulation(seed);
    sim.addMachines(machines);
    sim.run(12_000);
    return sim;
  }

  private static int sum(Simulation sim, ToIntFunction<SimulatedController> count) {
    return sim.nodes.values().stream().mapToInt(count).sum();
  }

  private static int whileQuiet(Simulation sim, ToIntFunction<SimulatedController> count) {
    int before = sum(sim, count);
    sim.run(sim.now + QUIET_S * 1_000);
    return sum(sim, count) - before;
  }

  /** Reports without news once made five statements a second to every peer. */
  @Test
  void reportsWithoutNewsMakeNoStatements() {
    int few = whileQuiet(quiet(701, 0), node -> node.statementsSent);
    int many = whileQuiet(quiet(701, MACHINES), node -> node.statementsSent);
    int links = Simulation.NODES.size() * (Simulation.NODES.size() - 1);
    assertTrue(many <= links * QUIET_S * 2, "statements: " + many);
    assertTrue(many <= few * 5 / 4, "statements: " + many + " instead of " + few);
  }

  /** An unchanged machine is told again every few seconds, to each peer, and no more often. */
  @Test
  void unchangedMachinesAreToldSeldom() {
    Simulation sim = quiet(702, MACHINES);
    int machines = sim.workers.size();
    int told = whileQuiet(sim, node -> node.machinesTold);
    int peers = Simulation.NODES.size() - 1;
    long restatements = 1 + QUIET_S * 1_000 / Constants.RESTATE_MS;
    // each is told in two statements at most before the peer has acknowledged it
    assertTrue(told <= 2 * peers * machines * restatements, told + " of " + machines);
  }

  /**
   * A restarted controller claims what its former process owned a few at a time: all at once they
   * used up the state service's rate, and no machine that came back could be taken over.
   */
  @Test
  void formerMachinesAreClaimedAFewAtATime() {
    Simulation sim = quiet(703, MACHINES);
    List.copyOf(sim.workers.values()).forEach(worker -> worker.mute = true);
    sim.crashAll(1_000);
    for (SimulatedController node : sim.nodes.values()) {
      node.mostRecordsOpen = 0;
      node.recordsLate = 400;
    }
    sim.run(sim.now + 30_000);
    int most = sim.nodes.values().stream().mapToInt(node -> node.mostRecordsOpen).max().orElse(0);
    assertEquals(Constants.RECLAIMED_AT_ONCE, most);
  }
}
