import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Case 1: three controllers with the ended jobs of some days of ordinary load crash together and
 * come back. Accepted jobs must stay known and must run.
 */
final class HistoryCase {
  /** Ended jobs in the state service: 7.1 a minute for six days. */
  private static final int ENDED_JOBS = 61_000;

  /** Ended jobs that become known per step of 20 ms. */
  private static final int STEP = 150;

  /** Seconds without an answered question after which a job counts as forgotten. */
  private static final double FORGOTTEN_S = 75;

  /** Seconds after all troubles for which the run goes on. */
  private static final double WAITING_S = 76;

  private static final double RESTART_DELAY_S = 5;
  private static final String LONG_JOB = "wk-000002";

  private HistoryCase() {}

  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(Path.of(args[0]), 3, 16, 24);
    for (int i = 0; i < 4; i++) {
      lab.machine("tabla8", lab.zones.get(i % 2), false);
    }
    lab.startAll();
    if (!lab.awaitReady(15)) {
      lab.cannotRun("the controllers are not ready");
    }
    Balancer balancer = new Balancer(lab);
    endFirstJob(lab);
    addHistory(lab);
    List<String> accepted = List.of("wk-000002", "wk-000003", "wk-000004");
    lab.runTime("wk-000002", 300);
    lab.runTime("wk-000003", 20);
    lab.runTime("wk-000004", 20);
    for (int i = 0; i < accepted.size(); i++) {
      Lab.Reply reply = lab.submit(lab.nodes.get(i), lab.batch(accepted.get(i), 4, 2.0));
      if (reply.status() != 201) {
        lab.cannotRun("a job was not accepted: " + reply);
      }
    }
    Thread.sleep(1_500);
    for (Lab.Node node : lab.nodes) {
      if (!node.ready() || lab.poll(node, "wk-000002").status() != 200) {
        lab.cannotRun("a controller doesn't serve before the crash");
      }
    }
    if (lab.trouble) {
      for (Lab.Node node : lab.nodes) {
        node.kill();
      }
      Thread.sleep((long) (RESTART_DELAY_S * 1_000));
      for (Lab.Node node : lab.nodes) {
        node.start();
      }
    }
    watch(lab, balancer, accepted);
    lab.finish();
  }

  /** Runs one job to its end, so that the controllers write the record of an ended job. */
  private static void endFirstJob(Lab lab) throws Exception {
    lab.runTime("wk-000001", 0.5);
    Lab.Reply reply = lab.submit(lab.nodes.get(0), lab.batch("wk-000001", 7, 2.0));
    for (int i = 0; i < 60 && !"done".equals(reply.state()); i++) {
      Thread.sleep(250);
      reply = lab.poll(lab.nodes.get(0), "wk-000001");
    }
    if (!"done".equals(reply.state())) {
      lab.cannotRun("the first job doesn't end");
    }
  }

  /** Adds the records of the ended jobs of the days before: the first job's under other ids. */
  private static void addHistory(Lab lab) throws Exception {
    String record = lab.store.get("c/j/wk-000001");
    lab.record("record of an ended job, as the controllers wrote it: " + record);
    for (int i = 0; i < ENDED_JOBS; i++) {
      String id = String.format("wk-%06d", 100_000 + i);
      lab.store.put("c/j/" + id, record.replace("wk-000001", id));
      if (i % STEP == STEP - 1) {
        Thread.sleep(20);
      }
    }
    lab.record("ended jobs in the state service: " + lab.store.count("c/j/"));
    Thread.sleep(1_000);
  }

  /** Asks about the accepted jobs through the load balancer, every 5 s, as their users do. */
  private static void watch(Lab lab, Balancer balancer, List<String> accepted) throws Exception {
    double beganS = lab.nowS();
    Map<String, Double> answeredS = new LinkedHashMap<>();
    for (String ref : accepted) {
      answeredS.put(ref, beganS);
    }
    double untilS = lab.trouble ? WAITING_S + 0.5 : 40;
    while (lab.nowS() - beganS < untilS) {
      for (String ref : accepted) {
        if (balancer.poll(ref).status() == 200) {
          answeredS.put(ref, lab.nowS());
        }
      }
      Thread.sleep((long) (1_000 * Math.max(0.01, Math.min(5, untilS - lab.nowS() + beganS))));
    }
    for (Lab.Node node : lab.nodes) {
      lab.record(node.name + " alive " + node.process.isAlive() + " ready " + node.ready());
    }
    for (String ref : accepted) {
      double silentS = lab.nowS() - answeredS.get(ref);
      lab.record(ref + ": no question answered for the last " + Math.round(silentS) + " s");
      if (silentS >= FORGOTTEN_S) {
        lab.broken("forgotten: " + ref + " was accepted; no question about it was answered for "
            + Math.round(silentS) + " s after all troubles");
      }
      if (!lab.startedAfter(ref, beganS) && !ref.equals(LONG_JOB)) {
        lab.record(ref + ": no task started in " + Math.round(lab.nowS() - beganS)
            + " s after all troubles");
      }
    }
    if (!lab.trouble) {
      for (String ref : List.of("wk-000003", "wk-000004")) {
        if (!"done".equals(lab.poll(lab.nodes.get(0), ref).state())) {
          lab.broken(ref + " didn't run");
        }
      }
    }
  }
}
