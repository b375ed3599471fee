import java.util.ArrayList;
import java.util.List;

/** A controller that a cut parts from the other zone answers with a state that is long over. */
final class CutZone {
  private CutZone() {}

  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(args);
    lab.huallaga();
    lab.prepare(3);
    // tocon-1 stands in lima, the others and all machines in pucallpa.
    List<Proxy> between = new ArrayList<>();
    for (int to = 0; to < 3; to++) {
      for (int from = 0; from < 3; from++) {
        if (from != to && (from == 1 || to == 1)) {
          Proxy proxy = new Proxy(lab.nodes.get(to).peerPort);
          lab.nodes.get(to).peerPortFor[from] = proxy.port;
          between.add(proxy);
        }
      }
    }
    Proxy toLima = new Proxy(lab.nodes.get(1).listenPort);
    lab.nodes.get(1).workersPort = toLima.port;
    between.add(toLima);
    for (int i = 0; i < 4; i++) {
      lab.cloud.add("tabla8", "pucallpa", false);
    }
    lab.startNodes();
    lab.await(
        20_000,
        "all machines report to controllers in pucallpa",
        () -> lab.workers.values().stream().allMatch(w -> w.node() != 1 && w.token() > 0));
    Lab.sleep(3_000);
    if (lab.trouble) {
      lab.record("the zones can't reach each other from now on");
      between.forEach(proxy -> proxy.cut(false));
    }
    long cutMs = Lab.now();
    Lab.sleep(1_000);

    Lab.Job job = new Lab.Job();
    job.id = "wk-000001";
    job.jobClass = "reconteo-horno";
    job.team = "patio";
    job.priority = "high";
    job.tasks = 7;
    job.cpus = 4;
    job.memoryGb = 7.4;
    job.image = "img-horno";
    job.imageGb = 0.4;
    job.runS = 30;
    job.estimateS = 30;
    lab.submit(job, 0);
    lab.await(
        15_000,
        "all tasks run",
        () -> {
          for (int i = 0; i < job.tasks; i++) {
            if (lab.placesOf(job.id + "/" + i).isEmpty()) {
              return false;
            }
          }
          return true;
        });
    long runningMs = Lab.now();
    while (Lab.now() < cutMs + 19_500) {
      Lab.sleep(500);
      long askedMs = Lab.now();
      lab.poll(job.id, 0);
      Http.Reply reply = lab.poll(job.id, 1);
      if (reply != null && reply.status() == 200 && askedMs > runningMs + 3_000) {
        String told = (String) Json.object(reply.body()).get("estado");
        if (told.equals("pending")) {
          lab.breaks(
              "tocon-1 says pending " + (askedMs - runningMs) / 1000.0
                  + " s after all tasks of the job began to run");
        }
      }
    }
    between.forEach(Proxy::heal);
    lab.record("the cut is over");
    Lab.sleep(5_000);
    lab.poll(job.id, 1);
    if (lab.broken.isEmpty()) {
      lab.finish(0, "no answer was older than 3 s");
    }
    lab.finish(1, lab.broken.get(lab.broken.size() - 1));
  }
}
