import java.util.ArrayList;
import java.util.List;

/** The watch's answer after a controller was refused by the state service alone is a long one. */
final class LongAnswer {
  private LongAnswer() {}

  public static void main(String[] args) throws Exception {
    int names = 300;
    Lab lab = new Lab(args);
    lab.huallaga();
    List<Lab.Type> types = new ArrayList<>(lab.types);
    List<Object> all = new ArrayList<>(List.of("tabla8", "viga32"));
    for (int i = 0; i < names; i++) {
      String name = String.format("viga96-serie-2026-lote-%04d", i);
      types.add(new Lab.Type(name, 96, 384, 50, 0.4, 7, 3, 60));
      all.add(name);
    }
    lab.types = types;
    lab.prepare(3);
    Lab.Node lima = lab.nodes.get(1);
    int[] changes = new int[1];
    lab.onState =
        (node, request) -> {
          Http.Reply reply = lab.state.handle(request);
          if (request.path().startsWith("/changes")) {
            boolean waited = node.stateRefused;
            while (node.stateRefused) {
              Lab.sleep(5); // an open watch waits as in an outage
            }
            if (!waited && reply.body().length() > 300_000) {
              lab.record(
                  "state service: answer of the watch to " + node.name + ": "
                      + reply.body().length() + " bytes");
            }
          } else if (request.path().equals("/multi") && reply.status() == 200) {
            changes[0]++;
          }
          return reply;
        };
    for (int i = 0; i < 14; i++) {
      lab.cloud.add("tabla8", "pucallpa", false);
    }
    lab.cloud.rentable = "viga32";
    lab.cloud.bootMs = 9_000;
    lab.startNodes();
    Lab.sleep(3_000);

    // Arrays of tasks that end one after the other, which allow any of the cloud's types by name.
    List<Lab.Job> arrays = new ArrayList<>();
    for (int i = 0; i < 36; i++) {
      Lab.Job job = new Lab.Job();
      job.id = "wk-00010" + (char) ('0' + i / 10) + i % 10;
      job.jobClass = "conteo-diario";
      job.team = "patio";
      job.tasks = 34;
      job.cpus = 0.1;
      job.memoryGb = 0.1;
      job.image = "img-conteo";
      job.imageGb = 0.3;
      job.runS = 8;
      job.runMoreS = 52;
      job.estimateS = 30;
      job.types = all;
      lab.counted.add(job.id);
      arrays.add(job);
    }
    for (Lab.Job job : arrays) {
      lab.submit(job, arrays.indexOf(job) % 3);
    }
    lab.record("entry: " + Json.write(lab.state.get("c/j/" + arrays.get(0).id)).length() + " bytes");
    Lab.sleep(4_000);
    if (lab.trouble) {
      lab.record("the state service refuses " + lima.name + " from now on");
      lima.stateRefused = true;
    }
    for (int i = 0; i < 10; i++) {
      Lab.sleep(5_000);
      lab.record(
          "in all: " + changes[0] + " transactions, " + lab.starts.get() + " starts of tasks");
    }
    if (lab.trouble) {
      lab.record("the state service serves " + lima.name + " again");
      lima.stateRefused = false;
    }
    Lab.sleep(4_000);

    // A job that only a larger machine in lima can run; one is rented for it.
    lab.cloud.capacity = 1;
    Lab.Job job = new Lab.Job();
    job.id = "wk-000002";
    job.jobClass = "conteo-diario";
    job.team = "patio";
    job.tasks = 2;
    job.cpus = 16;
    job.memoryGb = 34;
    job.image = "img-diario";
    job.imageGb = 0.4;
    job.runS = 15;
    job.estimateS = 15;
    job.deadlineS = 48.0;
    job.zone = "lima";
    lab.submit(job, 0);
    lab.await(
        30_000,
        "the rented machine is up and was answered",
        () -> lab.workers.values().stream().anyMatch(w -> w.zone.equals("lima") && w.answers > 0));
    Worker rented =
        lab.workers.values().stream().filter(w -> w.zone.equals("lima")).findFirst().orElseThrow();
    long answeredMs = Lab.now();
    boolean ran =
        lab.waitFor(111_000 - Lab.now(), () -> !lab.placesOf(job.id + "/0").isEmpty());
    lab.poll(job.id, 2);
    String seen =
        rented.id + " reports to " + lab.nodes.get(rented.node()).name + ", has " + rented.answers
            + " reports answered with 200, free processors " + rented.freeCpus();
    lab.record(seen);
    if (ran) {
      lab.finish(0, "the accepted job ran " + (Lab.now() - answeredMs) / 1000 + " s later");
    }
    lab.finish(
        1,
        "the job accepted " + (Lab.now() - job.acceptedMs) / 1000 + " s ago doesn't run, though "
            + seen + " for " + (Lab.now() - answeredMs) / 1000 + " s");
  }
}
