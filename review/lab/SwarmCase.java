import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Case 2: a guest team hands in a job of thousands of tiny tasks while another team's work runs on
 * the same machines. Accepted jobs must run.
 */
final class SwarmCase {
  /** The other team's job, accepted before. */
  private static final String FARES = "wk-000001";

  private static final String PINGS = "wk-000002";
  private static final double FARES_RUN_S = 45;
  private static final double PING_RUN_S = 25;

  /** Seconds after the swarm's submission at which both jobs are judged. */
  private static final double JUDGED_S = 100;

  private SwarmCase() {}

  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(Path.of(args[0]), 3, 8, 32);
    lab.state.put("rps", 200.0);
    lab.state.put("write_rps", 40.0);
    lab.reportS = 2.5;
    lab.leaseS = 16;
    lab.cancelS = 46;
    lab.fdLimit = 1_800;
    lab.ramMb = 263;
    lab.zones = List.of("buda", "pest");
    lab.flavors =
        new ArrayList<>(
            List.of(
                Json.of(
                    "label", "kocsi16", "vcpus", 16, "gpus", 0, "mem_gb", 128, "local_gb", 35,
                    "fetch_gb_per_s", 0.1, "rate", 1.17, "market_price", 0.31, "ready_s", 50,
                    "patios", lab.zones)));
    lab.teams = new ArrayList<>(List.of(team("tarifa", 128, 500), team("menetrend-lab", 0, 0)));
    lab.capacity = 2;
    for (int i = 0; i < lab.capacity; i++) {
      lab.machine("kocsi16", lab.zones.get(i), false);
    }
    lab.startAll();
    if (!lab.awaitReady(15)) {
      lab.cannotRun("the controllers are not ready");
    }
    Map<String, Object> fares = lab.batch(FARES, 4, 2.0);
    fares.put("lote", "nightly-fares");
    fares.put("cuadrilla", "tarifa");
    fares.put("urgencia", "standard");
    fares.put("mem_gb", 51.0);
    fares.put("aserrado_s", 50.0);
    lab.runTime(FARES, FARES_RUN_S);
    accept(lab, lab.nodes.get(0), fares);
    Thread.sleep(6_000);
    if (lab.running().size() < 4) {
      lab.cannotRun("the first job doesn't run");
    }
    if (lab.trouble) {
      Map<String, Object> pings = lab.batch(PINGS, 4_000, 0.01);
      pings.put("lote", "stop-pings");
      pings.put("cuadrilla", "menetrend-lab");
      pings.put("urgencia", "best_effort");
      pings.put("mem_gb", 0.01);
      pings.put("molde", "img-02");
      lab.runTime(PINGS, PING_RUN_S);
      accept(lab, lab.nodes.get(1), pings);
    }
    judge(lab);
  }

  private static Map<String, Object> team(String name, double cpus, double cpusMax) {
    return Json.of("name", name, "cpus", cpus, "cpus_max", cpusMax, "gpus", 0.0, "gpus_max", 0.0);
  }

  private static void accept(Lab lab, Lab.Node node, Map<String, Object> job) {
    Lab.Reply reply = lab.submit(node, job);
    if (reply.status() != 201) {
      lab.cannotRun("a job was not accepted: " + reply);
    }
  }

  private static void judge(Lab lab) throws Exception {
    Balancer balancer = new Balancer(lab);
    double beganS = lab.nowS();
    Lab.Reply fares = null;
    Lab.Reply pings = null;
    while (lab.nowS() - beganS < JUDGED_S) {
      Thread.sleep(5_000);
      fares = balancer.poll(FARES);
      pings = lab.trouble ? balancer.poll(PINGS) : null;
      boolean ended = "done".equals(fares.state());
      if (ended && (pings == null || "done".equals(pings.state()))) {
        break;
      }
    }
    lab.record("leases that ran out: " + lab.leasesOver.get()
        + ", tasks that ended with them: " + lab.tasksLost.get()
        + ", largest report: " + lab.largestReport.get() + " bytes");
    double tookS = Math.round(lab.nowS() - beganS);
    if (!"done".equals(fares.state())) {
      lab.broken("accepted job doesn't run to its end: " + FARES + " isn't done " + tookS
          + " s later, though its tasks take " + FARES_RUN_S + " s");
    }
    if (pings != null && pings.status() == 200 && lab.completed(PINGS) == 0) {
      lab.broken("accepted job doesn't run to its end: no task of " + PINGS + " has completed in "
          + tookS + " s, though each takes " + PING_RUN_S + " s");
    }
    lab.finish();
  }
}
