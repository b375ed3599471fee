import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** ran_twice: a repeat of a direct command that was carried out follows a controller's end. */
final class RepeatedOrders {
  private RepeatedOrders() {}

  private static Lab.Job fares(String id, int tasks, double runS, double estimateS) {
    Lab.Job job = new Lab.Job();
    job.id = id;
    job.jobClass = "nightly-fares";
    job.team = "tarifa";
    job.tasks = tasks;
    job.cpus = 8;
    job.memoryGb = 51;
    job.image = "img-fares";
    job.imageGb = 0.5;
    job.runS = runS;
    job.estimateS = estimateS;
    job.deadlineS = 1.5 * estimateS + 180;
    return job;
  }

  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(args);
    lab.prepare(3);
    Map<String, Relay> relays = new HashMap<>();
    lab.onWorker =
        worker -> {
          try {
            Relay relay = new Relay(worker.port());
            worker.toldPort = relay.port();
            relays.put(worker.id, relay);
          } catch (java.io.IOException e) {
            throw new IllegalStateException(e);
          }
        };
    for (int i = 0; i < 4; i++) {
      lab.cloud.add("kocsi16", i % 2 == 0 ? "buda" : "pest", false);
    }
    lab.startNodes();
    Lab.sleep(4_000);

    // Four machines hold eight of these tasks; the cloud has no more machines to give.
    Lab.Job fares = fares("wk-000001", 6, 110, 80);
    Lab.Job shorter = fares("wk-000003", 2, 25, 110);
    lab.submit(fares, 0);
    lab.submit(shorter, 0);
    Map<String, String> first = new HashMap<>();
    lab.await(
        25_000,
        "all eight tasks run",
        () -> {
          for (Lab.Job job : List.of(fares, shorter)) {
            for (int i = 0; i < job.tasks; i++) {
              String task = job.id + "/" + i;
              if (lab.placesOf(task).isEmpty()) {
                return false;
              }
              if (job == fares) {
                first.put(task, lab.placesOf(task).get(0));
              }
            }
          }
          return true;
        });

    // Urgent work takes the place of a routine task, which runs elsewhere once there is room.
    Lab.Job recount = new Lab.Job();
    recount.id = "wk-000002";
    recount.jobClass = "seat-recount";
    recount.team = "jegyiroda";
    recount.priority = "high";
    recount.tasks = 2;
    recount.cpus = 4;
    recount.memoryGb = 15;
    recount.image = "img-recount";
    recount.imageGb = 0.6;
    recount.runS = 22;
    recount.estimateS = 22;
    recount.deadlineS = 54.0;
    lab.submit(recount, 1);
    lab.await(
        20_000,
        "a routine task was stopped",
        () -> first.keySet().stream().anyMatch(task -> lab.placesOf(task).isEmpty()));

    String[] found = new String[1];
    lab.await(
        65_000,
        "a stopped task runs on another machine, and its first one has room for it",
        () -> {
          for (Map.Entry<String, String> entry : first.entrySet()) {
            var places = lab.placesOf(entry.getKey());
            Worker worker = lab.workers.get(entry.getValue());
            if (places.size() == 1
                && !places.contains(worker.id)
                && !worker.lists(entry.getKey())
                && worker.freeCpus() >= fares.cpus
                && worker.freeMemoryGb() >= fares.memoryGb
                && relays.get(worker.id).startOf(entry.getKey()) != null) {
              found[0] = entry.getKey();
              return true;
            }
          }
          return false;
        });
    Worker worker = lab.workers.get(first.get(found[0]));
    Lab.Node leader = lab.nodes.get(worker.node());
    Relay relay = relays.get(worker.id);
    Http.Request orders = relay.startOf(found[0]);
    lab.record(
        found[0] + " ran first on " + worker.id + ", which reports to " + leader.name
            + "; it is now on " + lab.placesOf(found[0]));
    if (lab.trouble) {
      leader.kill();
      lab.record("a copy of this request arrives at " + worker.id + ": " + orders.body());
      Http.Reply reply = relay.repeat(orders);
      lab.record("the worker answers " + (reply == null ? "nothing" : reply.status()));
      Lab.sleep(400);
      leader.start();
    }
    Lab.sleep(8_000);
    if (lab.broken.isEmpty()) {
      lab.finish(0, "no task was on two machines");
    }
    lab.finish(1, lab.broken.get(0));
  }
}
