package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.service;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.Priority;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/**
 * Guards against a limit of fewer than 4,000 machines, in the recovery of machines and the removal
 * of lost ones. The test takes more than a minute and is therefore run by hand:
 *
 * <pre>mvn -q test -Dtest=FourThousandMachinesTest -Dmachines=4000</pre>
 */
@EnabledIfSystemProperty(named = "machines", matches = "4000")
class FourThousandMachinesTest {
  private static final int MACHINES = 4_000;
  private static final String SERVICE = "wk-000001";

  /** Runs a replica on every machine, so that no machine is idle and returned in a scale-in. */
  private static Simulation busyFleet(long seed) {
    Simulation sim = new Simulation(seed);
    sim.maxMachines = MACHINES;
    sim.addMachines(MACHINES - sim.workers.size());
    sim.runUntil(15_000);
    sim.users.submit(
        service(SERVICE).tasks(MACHINES).cpus(5).priority(Priority.PRODUCTION).build());
    long until = sim.nowMs + 120_000;
    while (sim.nowMs < until && sim.checker.runningReplicas(SERVICE) < MACHINES) {
      sim.runUntil(sim.nowMs + 1_000);
    }
    assertEquals(MACHINES, sim.checker.runningReplicas(SERVICE));
    return sim;
  }

  private static int countLedByLiveControllers(Simulation sim) {
    int led = 0;
    for (String machine : sim.workers.keySet()) {
      MachineEntry entry = sim.controllers.get("n0").core.store().machine(machine);
      if (entry != null
          && entry.incarnation() == sim.controllers.get(entry.node()).core.incarnation()) {
        led++;
      }
    }
    return led;
  }

  @Test
  void machinesAreRecoveredAfterAllControllersCrash() {
    Simulation sim = busyFleet(3_001);
    sim.crashAll(2_000);
    sim.runUntil(sim.nowMs + 30_000);
    assertEquals(sim.workers.size(), countLedByLiveControllers(sim));
    assertTrue(sim.checker.runningReplicas(SERVICE) > MACHINES * 9 / 10);
    assertEquals(List.of(), sim.checker.violations);
  }

  @Test
  void entriesAreRemovedAfterThirdOfMachinesIsLost() {
    Simulation sim = busyFleet(3_002);
    List<String> lost = new ArrayList<>(sim.workers.keySet()).subList(0, MACHINES / 3);
    for (String machine : List.copyOf(lost)) {
      sim.killMachine(machine);
    }
    sim.runUntil(sim.nowMs + 120_000);
    long entries =
        lost.stream()
            .filter(id -> sim.controllers.get("n0").core.store().machine(id) != null)
            .count();
    assertEquals(0, entries, "entries of lost machines");
    assertEquals(List.of(), sim.checker.violations);
  }
}
