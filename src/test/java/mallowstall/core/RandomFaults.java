package mallowstall.core;

import java.util.List;
import mallowstall.core.Model.Priority;

/** Random work and random troubles for seeded histories. */
final class RandomFaults {
  private RandomFaults() {}

  /** So many random batch jobs within 70 s, some of them cancelled. */
  static void work(Simulation sim, int jobs) {
    work(sim, jobs, 70_000);
  }

  /** So many random batch jobs within this time, some of them cancelled. */
  static void work(Simulation sim, int jobs, int forMs) {
    for (int i = 0; i < jobs; i++) {
      int n = i;
      sim.at(
          3_000 + sim.rnd.nextInt(forMs),
          () -> {
            String id = String.format("wk-%06d", n);
            Priority priority = Priority.values()[sim.rnd.nextInt(3)];
            boolean oneZone = sim.rnd.nextInt(5) == 0;
            boolean spread = !oneZone && sim.rnd.nextInt(5) == 0;
            String zone = sim.rnd.nextInt(8) == 0 ? "a" : null;
            sim.submit(
                sim.job(
                    id,
                    1 + sim.rnd.nextInt(9),
                    1 + sim.rnd.nextInt(4),
                    priority,
                    sim.rnd.nextBoolean() ? "free" : "tight",
                    oneZone,
                    spread && zone == null,
                    sim.rnd.nextInt(3) > 0,
                    zone));
            if (sim.rnd.nextInt(5) == 0) {
              sim.at(1_000 + sim.rnd.nextInt(15_000), () -> sim.cancel(id));
            }
          });
    }
    for (int i = 0; i < 20; i++) {
      sim.at(sim.rnd.nextInt(120_000), sim::askForNobody);
    }
  }

  /** One of the older troubles at random. */
  static void older(Simulation sim) {
    SimulatedController node = sim.nodes.get(Simulation.NODES.get(sim.rnd.nextInt(3)));
    switch (sim.rnd.nextInt(13)) {
      case 0 -> node.crash(sim.rnd.nextBoolean() ? 200 : 5_000);
      case 1 -> {
        for (SimulatedController x : sim.nodes.values()) {
          x.crash(300 + sim.rnd.nextInt(5_000));
        }
      }
      case 2 -> {
        sim.state.outage = true;
        sim.at(2_000 + sim.rnd.nextInt(15_000), sim.state::recover);
      }
      case 3 -> {
        node.noState = true;
        sim.at(3_000 + sim.rnd.nextInt(25_000), () -> node.noState = false);
      }
      case 4 -> {
        String other = Simulation.NODES.get(sim.rnd.nextInt(3));
        node.cut.put(other, true);
        node.drop(other);
        sim.at(3_000 + sim.rnd.nextInt(20_000), () -> node.cut.put(other, false));
      }
      case 5 -> {
        if (!sim.workers.isEmpty()) {
          sim.killMachine(sim.workers.keySet().iterator().next());
        }
      }
      case 6 -> {
        sim.refusePeers();
        sim.at(3_000 + sim.rnd.nextInt(25_000), sim::rejoin);
      }
      case 7 -> {
        sim.isolate(node);
        sim.at(
            3_000 + sim.rnd.nextInt(40_000),
            () -> {
              node.noState = false;
              sim.rejoin();
            });
      }
      case 11 -> node.freezeFor = 2_000 + sim.rnd.nextInt(28_000);
      case 12 -> {
        if (sim.cutZone != null) {
          return;
        }
        sim.cutOff(sim.rnd.nextBoolean() ? "a" : "b");
        sim.at(5_000 + sim.rnd.nextInt(40_000), sim::rejoin);
      }
      case 8, 9 -> {
        List<SimulatedWorker> ws = List.copyOf(sim.workers.values());
        if (ws.isEmpty()) {
          return;
        }
        SimulatedWorker worker = ws.get(sim.rnd.nextInt(ws.size()));
        worker.deaf = true;
        sim.at(2_000 + sim.rnd.nextInt(60_000), () -> worker.deaf = false);
      }
      default -> {
        List<SimulatedWorker> ws = List.copyOf(sim.workers.values());
        if (ws.isEmpty()) {
          return;
        }
        SimulatedWorker simWorker = ws.get(sim.rnd.nextInt(ws.size()));
        simWorker.cut = true;
        sim.at(2_000 + sim.rnd.nextInt(20_000), () -> simWorker.cut = false);
      }
    }
  }

  /** One of the newer troubles at random; none of them begins anything new later than then. */
  static void newer(Simulation sim, long until) {
    SimulatedController node = sim.nodes.get(Simulation.NODES.get(sim.rnd.nextInt(3)));
    List<SimulatedWorker> ws = List.copyOf(sim.workers.values());
    switch (sim.rnd.nextInt(9)) {
      case 0 -> {
        sim.slowState = 600 + sim.rnd.nextInt(1_900);
        sim.at(3_000 + sim.rnd.nextInt(20_000), () -> sim.slowState = 0);
      }
      case 1 -> {
        for (SimulatedWorker worker : ws) {
          if (sim.rnd.nextInt(3) > 0) {
            continue;
          }
          worker.mute = true;
          sim.at(2_000 + sim.rnd.nextInt(40_000), () -> worker.mute = false);
        }
      }
      case 2 -> {
        for (SimulatedWorker simWorker : ws) {
          if (sim.rnd.nextInt(3) == 0) {
            simWorker.hang(1_000 + sim.rnd.nextInt(sim.rnd.nextBoolean() ? 9_000 : 25_000));
          }
        }
      }
      case 3 -> sim.cancelNow(1 + sim.rnd.nextInt(6), 0);
      case 4 -> sim.cancelNow(1 + sim.rnd.nextInt(6), 1_000 + sim.rnd.nextInt(12_000));
      case 5 -> sim.oddRequests(10 + sim.rnd.nextInt(30));
      case 6 -> {
        // ten times in two minutes, or as many as there is time for
        long every = 12_000;
        for (long at = 0; at < 10 * every && sim.now + at < until; at += every) {
          sim.at(at, sim::changeLeaders);
        }
      }
      case 7 -> {
        sim.refusedThenOutage(
            node,
            3_000 + sim.rnd.nextInt(7_000),
            Simulation.CANCEL + 2_000 + sim.rnd.nextInt(8_000));
        if (sim.rnd.nextBoolean()) {
          sim.at(sim.rnd.nextInt(9_000), () -> sim.cancelNow(3, 0));
        }
        if (sim.rnd.nextBoolean()) {
          sim.at(12_000 + sim.rnd.nextInt(20_000), sim::changeLeaders);
        }
      }
      default -> {
        sim.strike("isolate");
        sim.isolate(node);
        sim.at(sim.rnd.nextInt(4_000), () -> sim.cancelNow(3, sim.rnd.nextBoolean() ? 0 : 6_000));
        sim.at(
            3_000 + sim.rnd.nextInt(45_000),
            () -> {
              node.noState = false;
              sim.rejoin();
            });
      }
    }
  }
}
