import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** A controller that has lost the duty of renting and returning machines acts in it again. */
final class StaleHolder {
  private StaleHolder() {}

  /** A request to the cloud that only the holder of the duty sends. */
  private record Act(long atMs, Lab.Node node, Http.Request request) {}

  private static Lab.Job job(
      String id, String jobClass, int tasks, double cpus, double memoryGb, double runS) {
    Lab.Job job = new Lab.Job();
    job.id = id;
    job.jobClass = jobClass;
    job.team = "patio";
    job.priority = jobClass.equals("conteo-diario") ? "standard" : "high";
    job.tasks = tasks;
    job.cpus = cpus;
    job.memoryGb = memoryGb;
    job.image = "img-" + jobClass;
    job.imageGb = 1;
    job.runS = runS;
    job.estimateS = runS;
    job.deadlineS = jobClass.equals("conteo-diario") ? 2 * runS + 18 : null;
    return job;
  }

  public static void main(String[] args) throws Exception {
    int watchMs = 300;
    Lab lab = new Lab(args);
    lab.huallaga();
    lab.prepare(3);
    lab.cloud.bootMs = 15_000;
    lab.cloud.rentable = "viga32";
    lab.cloud.capacity = 1;
    List<Act> acts = new CopyOnWriteArrayList<>();
    lab.onCloud =
        (node, request) -> {
          if (!request.path().startsWith("/flavors")) {
            acts.add(new Act(Lab.now(), node, request));
            lab.record(
                "cloud: " + node.name + " " + request.method() + " " + request.path() + " "
                    + request.body());
          }
        };
    Map<Lab.Node, Long> healedMs = new HashMap<>();
    lab.onState =
        (node, request) -> {
          Http.Reply reply = lab.state.handle(request);
          if (request.path().startsWith("/changes")) {
            boolean waited = node.stateRefused;
            while (node.stateRefused) {
              Lab.sleep(5); // an open watch waits as in an outage
            }
            if (!waited && healedMs.remove(node) != null) {
              Lab.sleep(watchMs);
              lab.record("state service: " + node.name + " gets all changes that it missed");
            }
          } else if (request.path().equals("/multi") && request.body().contains("c/n/")) {
            lab.record("state service: session of " + node.name + " " + reply.status());
          }
          return reply;
        };
    for (int i = 0; i < 4; i++) {
      lab.cloud.add("tabla8", i % 2 == 0 ? "pucallpa" : "lima", false);
    }
    lab.startNodes();
    Lab.sleep(3_000);

    // Keeps the smaller machines in use.
    lab.submit(job("wk-000001", "reconteo-horno", 7, 4, 7.4, 110), 0);
    // Only the larger type can run this one, so that a machine is rented for it.
    Lab.Job first = job("wk-000002", "conteo-diario", 2, 16, 34, 80);
    lab.submit(first, 1);
    lab.await(20_000, "a machine is rented", () -> lab.cloud.capacity == 0);
    long rentedMs = Lab.now();
    Lab.Node holder =
        acts.stream()
            .filter(a -> a.request.path().equals("/machines") && a.request.method().equals("POST"))
            .reduce((a, b) -> b)
            .orElseThrow()
            .node;
    lab.cancel(first, 2);
    Lab.sleep(11_500 - (Lab.now() - rentedMs));
    if (lab.trouble) {
      lab.record("the state service refuses " + holder.name + " from now on");
      holder.stateRefused = true;
    }
    long refusedMs = Lab.now();
    Lab.sleep(4_500);
    Lab.Job second = job("wk-000003", "conteo-diario", 2, 16, 34, 80);
    lab.submit(second, (lab.nodes.indexOf(holder) + 1) % 3);
    lab.await(
        35_000,
        "the rented machine runs both tasks",
        () -> !lab.placesOf("wk-000003/0").isEmpty() && !lab.placesOf("wk-000003/1").isEmpty());
    String machine = lab.placesOf("wk-000003/0").get(0);
    Lab.sleep(50_000 - (Lab.now() - refusedMs));
    lab.record("the state service serves " + holder.name + " again");
    long servedMs = Lab.now();
    if (lab.trouble) {
      healedMs.put(holder, servedMs);
    }
    holder.stateRefused = false;
    Lab.sleep(6_000);

    List<String> others = new ArrayList<>();
    for (Act act : acts) {
      if (act.atMs > refusedMs + 6_000 && act.atMs < servedMs && act.node != holder) {
        others.add(act.node.name);
      }
    }
    lab.record("calls of other holders while " + holder.name + " was refused: " + others);
    if (lab.trouble && others.isEmpty()) {
      lab.finish(2, "no other controller took the duty");
    }
    for (Act act : acts) {
      if (lab.trouble && act.atMs >= servedMs && act.node == holder
          && act.request.method().equals("POST")) {
        lab.breaks(
            holder.name + ", replaced as the holder by " + others.get(others.size() - 1)
                + ", sends " + act.request.path() + " " + act.request.body()
                + (act.request.body().contains(machine) ? " while tasks run on " + machine : ""));
      }
    }
    if (lab.broken.isEmpty()) {
      lab.finish(0, "no replaced holder acted");
    }
    lab.finish(1, lab.broken.get(0));
  }
}
