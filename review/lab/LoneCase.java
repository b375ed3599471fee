import java.nio.file.Path;
import java.util.Map;

/**
 * Case 3: in a quiet hour one machine is up and runs one small job. The cloud takes the machine
 * back. The job was accepted and must run.
 */
final class LoneCase {
  private static final String JOB = "wk-000001";
  private static final double RUN_S = 40;

  /** Seconds after the job's start at which it is judged. */
  private static final double JUDGED_S = 100;

  private LoneCase() {}

  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(Path.of(args[0]), 3, 16, 24);
    lab.teams.add(
        Json.of(
            "name", "secado-lab", "cpus", 0.0, "cpus_max", 0.0, "gpus", 0.0, "gpus_max", 0.0));
    Json.map(lab.flavors.get(0)).put("ready_s", 40);
    Worker machine = lab.machine("tabla8", "pucallpa", true);
    lab.startAll();
    if (!lab.awaitReady(15)) {
      lab.cannotRun("the controllers are not ready");
    }
    // a job like those of the class lecturas-sensor
    Map<String, Object> job = lab.batch(JOB, 1, 0.25);
    job.put("lote", "lecturas-sensor");
    job.put("cuadrilla", "secado-lab");
    job.put("urgencia", "best_effort");
    job.put("mem_gb", 0.9);
    job.put("image_gb", 0.5);
    job.put("aserrado_s", 150.0);
    lab.runTime(JOB, RUN_S);
    Lab.Reply reply = lab.submit(lab.nodes.get(0), job);
    if (reply.status() != 201) {
      lab.cannotRun("the job was not accepted: " + reply);
    }
    for (int i = 0; i < 80 && lab.running().isEmpty(); i++) {
      Thread.sleep(100);
    }
    if (lab.running().isEmpty()) {
      lab.cannotRun("the job doesn't start");
    }
    Balancer balancer = new Balancer(lab);
    double beganS = lab.nowS();
    if (lab.trouble) {
      lab.take(machine);
    }
    Lab.Reply last = reply;
    while (lab.nowS() - beganS < JUDGED_S && !"done".equals(last.state())) {
      Thread.sleep(5_000);
      last = balancer.poll(JOB);
    }
    lab.record("requests to rent machines: " + lab.rentalRequests.get()
        + ", machines that the cloud could have rented out: "
        + (lab.capacity - lab.machines.size()));
    if (!"done".equals(last.state()) && !lab.startedAfter(JOB, beganS)) {
      lab.broken("accepted job doesn't run: " + JOB + " was not started again in "
          + Math.round(lab.nowS() - beganS) + " s after its machine was taken back; requests to rent"
          + " machines: " + lab.rentalRequests.get());
    }
    lab.finish();
  }
}
