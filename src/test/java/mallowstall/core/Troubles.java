package mallowstall.core;

import java.util.List;
import mallowstall.core.Model.Priority;

/** Random work and random troubles for seeded histories. */
final class Troubles {
  private Troubles() {}

  /** So many random batch jobs within 70 s, some of them cancelled. */
  static void work(Sim s, int jobs) {
    work(s, jobs, 70_000);
  }

  /** So many random batch jobs within this time, some of them cancelled. */
  static void work(Sim s, int jobs, int forMs) {
    for (int i = 0; i < jobs; i++) {
      int n = i;
      s.at(
          3_000 + s.rnd.nextInt(forMs),
          () -> {
            String id = String.format("wk-%06d", n);
            Priority p = Priority.values()[s.rnd.nextInt(3)];
            boolean oneZone = s.rnd.nextInt(5) == 0;
            boolean spread = !oneZone && s.rnd.nextInt(5) == 0;
            String zone = s.rnd.nextInt(8) == 0 ? "a" : null;
            s.submit(
                s.job(
                    id,
                    1 + s.rnd.nextInt(9),
                    1 + s.rnd.nextInt(4),
                    p,
                    s.rnd.nextBoolean() ? "free" : "tight",
                    oneZone,
                    spread && zone == null,
                    s.rnd.nextInt(3) > 0,
                    zone));
            if (s.rnd.nextInt(5) == 0) {
              s.at(1_000 + s.rnd.nextInt(15_000), () -> s.cancel(id));
            }
          });
    }
    for (int i = 0; i < 20; i++) {
      s.at(s.rnd.nextInt(120_000), s::askForNobody);
    }
  }

  /** One of the older troubles at random. */
  static void older(Sim s) {
    Sim.Node n = s.nodes.get(Sim.NODES.get(s.rnd.nextInt(3)));
    switch (s.rnd.nextInt(13)) {
      case 0 -> n.crash(s.rnd.nextBoolean() ? 200 : 5_000);
      case 1 -> {
        for (Sim.Node x : s.nodes.values()) x.crash(300 + s.rnd.nextInt(5_000));
      }
      case 2 -> {
        s.state.outage = true;
        s.at(2_000 + s.rnd.nextInt(15_000), s.state::recover);
      }
      case 3 -> {
        n.noState = true;
        s.at(3_000 + s.rnd.nextInt(25_000), () -> n.noState = false);
      }
      case 4 -> {
        String other = Sim.NODES.get(s.rnd.nextInt(3));
        n.cut.put(other, true);
        n.drop(other);
        s.at(3_000 + s.rnd.nextInt(20_000), () -> n.cut.put(other, false));
      }
      case 5 -> {
        if (!s.workers.isEmpty()) {
          s.killMachine(s.workers.keySet().iterator().next());
        }
      }
      case 6 -> {
        s.refusePeers();
        s.at(3_000 + s.rnd.nextInt(25_000), s::rejoin);
      }
      case 7 -> {
        s.isolate(n);
        s.at(
            3_000 + s.rnd.nextInt(40_000),
            () -> {
              n.noState = false;
              s.rejoin();
            });
      }
      case 11 -> n.freezeFor = 2_000 + s.rnd.nextInt(28_000);
      case 12 -> {
        if (s.cutZone != null) {
          return;
        }
        s.cutOff(s.rnd.nextBoolean() ? "a" : "b");
        s.at(5_000 + s.rnd.nextInt(40_000), s::rejoin);
      }
      case 8, 9 -> {
        List<Sim.Worker> ws = List.copyOf(s.workers.values());
        if (ws.isEmpty()) {
          return;
        }
        Sim.Worker w = ws.get(s.rnd.nextInt(ws.size()));
        w.deaf = true;
        s.at(2_000 + s.rnd.nextInt(60_000), () -> w.deaf = false);
      }
      default -> {
        List<Sim.Worker> ws = List.copyOf(s.workers.values());
        if (ws.isEmpty()) {
          return;
        }
        Sim.Worker w = ws.get(s.rnd.nextInt(ws.size()));
        w.cut = true;
        s.at(2_000 + s.rnd.nextInt(20_000), () -> w.cut = false);
      }
    }
  }

  /** One of the newer troubles at random; none of them begins anything new later than then. */
  static void newer(Sim s, long until) {
    Sim.Node n = s.nodes.get(Sim.NODES.get(s.rnd.nextInt(3)));
    List<Sim.Worker> ws = List.copyOf(s.workers.values());
    switch (s.rnd.nextInt(9)) {
      case 0 -> {
        s.slowState = 600 + s.rnd.nextInt(1_900);
        s.at(3_000 + s.rnd.nextInt(20_000), () -> s.slowState = 0);
      }
      case 1 -> {
        for (Sim.Worker w : ws) {
          if (s.rnd.nextInt(3) > 0) {
            continue;
          }
          w.mute = true;
          s.at(2_000 + s.rnd.nextInt(40_000), () -> w.mute = false);
        }
      }
      case 2 -> {
        for (Sim.Worker w : ws)
          if (s.rnd.nextInt(3) == 0) {
            w.hang(1_000 + s.rnd.nextInt(s.rnd.nextBoolean() ? 9_000 : 25_000));
          }
      }
      case 3 -> s.cancelNow(1 + s.rnd.nextInt(6), 0);
      case 4 -> s.cancelNow(1 + s.rnd.nextInt(6), 1_000 + s.rnd.nextInt(12_000));
      case 5 -> s.oddRequests(10 + s.rnd.nextInt(30));
      case 6 -> {
        // ten times in two minutes, or as many as there is time for
        long every = 12_000;
        for (long at = 0; at < 10 * every && s.now + at < until; at += every) {
          s.at(at, s::changeLeaders);
        }
      }
      case 7 -> {
        s.refusedThenOutage(
            n, 3_000 + s.rnd.nextInt(7_000), Sim.CANCEL + 2_000 + s.rnd.nextInt(8_000));
        if (s.rnd.nextBoolean()) {
          s.at(s.rnd.nextInt(9_000), () -> s.cancelNow(3, 0));
        }
        if (s.rnd.nextBoolean()) {
          s.at(12_000 + s.rnd.nextInt(20_000), s::changeLeaders);
        }
      }
      default -> {
        s.strike("isolate");
        s.isolate(n);
        s.at(s.rnd.nextInt(4_000), () -> s.cancelNow(3, s.rnd.nextBoolean() ? 0 : 6_000));
        s.at(
            3_000 + s.rnd.nextInt(45_000),
            () -> {
              n.noState = false;
              s.rejoin();
            });
      }
    }
  }
}
