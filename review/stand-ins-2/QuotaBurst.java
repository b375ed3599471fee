import java.util.ArrayList;
import java.util.List;

/** Jobs of a team at its limit that wait together never get their share of the limit. */
final class QuotaBurst {
  private QuotaBurst() {}

  private static Lab.Job job(
      String id, String jobClass, int tasks, double cpus, double memoryGb, double runS) {
    Lab.Job job = new Lab.Job();
    job.id = id;
    job.jobClass = jobClass;
    job.team = "tarifa";
    job.priority = jobClass.equals("seat-recount") ? "high" : "standard";
    job.tasks = tasks;
    job.cpus = cpus;
    job.memoryGb = memoryGb;
    job.image = "img-" + jobClass;
    job.imageGb = 0.3;
    job.runS = runS;
    job.estimateS = runS;
    job.deadlineS = jobClass.equals("seat-recount") ? 2 * runS + 10 : 1.5 * runS + 180;
    return job;
  }

  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(args);
    List<Lab.Type> types = new ArrayList<>(lab.types);
    List<Object> all = new ArrayList<>(List.of("kocsi16"));
    for (int i = 0; i < 220; i++) {
      String name = String.format("kocsi96-serie-2026-lote-%04d", i);
      types.add(new Lab.Type(name, 96, 768, 35, 0.1, 9, 4, 60));
      all.add(name);
    }
    lab.types = types;
    lab.prepare(3);
    for (int i = 0; i < 32; i++) {
      lab.cloud.add("kocsi16", i % 2 == 0 ? "buda" : "pest", false);
    }
    lab.startNodes();
    Lab.sleep(3_000);

    // Takes 496 of the 500 processors that the team may use.
    Lab.Job large = job("wk-000001", "nightly-fares", 62, 8, 51, 60);
    lab.counted.add(large.id);
    lab.submit(large, 1);
    lab.await(30_000, "the team is at its limit", () -> lab.starts.get() >= large.tasks);

    // Jobs that must wait for it: 5 at the start, then 5.4 a minute, or 2.5 times as many.
    List<Lab.Job> waiting = new ArrayList<>();
    long beganMs = Lab.now();
    int count = lab.trouble ? 18 : 10;
    double perMinute = lab.trouble ? 13.5 : 5.4;
    for (int i = 0; i < count; i++) {
      long dueMs = beganMs + (i < 5 ? i * 300 : (long) ((i - 4) * 60_000 / perMinute));
      Lab.sleep(Math.max(0, dueMs - Lab.now()));
      Lab.Job job = job(String.format("wk-0001%02d", i), "seat-recount", 2, 5, 15, 5);
      job.types = all;
      lab.submit(job, i % 2 == 0 ? 0 : 1 + i / 2 % 2);
      waiting.add(job);
    }
    lab.record("entry: " + Json.write(lab.state.get("c/j/wk-000100")).length() + " bytes");
    lab.await(40_000, "the large job's tasks are done", () -> large.doneTasks.size() == large.tasks);
    long freeMs = Lab.now();
    boolean ran =
        lab.waitFor(
            112_000 - Lab.now(),
            () -> waiting.stream().allMatch(job -> job.doneTasks.size() == job.tasks));
    int open = 0;
    for (Lab.Job job : waiting) {
      if (job.doneTasks.isEmpty() && lab.placesOf(job.id + "/0").isEmpty()) {
        open++;
        lab.poll(job.id, 0);
      }
    }
    double free = lab.workers.values().stream().mapToDouble(Worker::freeCpus).sum();
    if (ran || open == 0) {
      lab.finish(0, "all jobs ran");
    }
    lab.finish(
        1,
        open + " of " + count + " accepted jobs have not begun " + (Lab.now() - freeMs) / 1000
            + " s after the team had its limit free, with " + free + " processors idle");
  }
}
