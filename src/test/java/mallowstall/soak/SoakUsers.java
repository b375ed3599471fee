package mallowstall.soak;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Users who submit jobs until a time, ask about them and cancel some, at all controllers. Some ask
 * all controllers at once and repeat the submission right after an answer.
 */
final class SoakUsers {
  private static final long SUBMISSION_TIMEOUT_MS = 5_000;
  private static final long QUERY_TIMEOUT_MS = 2_000;
  private static final long RETRY_MS = 1_000;
  private static final int CREATED = 201;

  /** Share of jobs that are cancelled at a random time. */
  private static final double CANCELLED_SHARE = 0.25;

  private final LabNetwork network;
  private final SoakPlan plan;
  private final SoakChecker checker;
  private final List<String> controllers;
  private final SplittableRandom random;
  private final List<String> accepted = new ArrayList<>();
  private int lastJob;

  SoakUsers(LabNetwork network, SoakPlan plan, SoakChecker checker, List<String> controllers) {
    this.network = network;
    this.plan = plan;
    this.checker = checker;
    this.controllers = controllers;
    this.random = new SplittableRandom(plan.seed() + 17);
  }

  /** Submits a job now and then until the time. */
  void submitUntil(long untilMs, int meanGapMs) {
    if (network.nowMs() >= untilMs) {
      return;
    }
    String job = String.format("wk-%06d", ++lastJob);
    checker.submitted(job);
    submit(job, network.nowMs() + 60_000);
    askAboutNobodysJob();
    network.schedule(random.nextInt(2 * meanGapMs), () -> submitUntil(untilMs, meanGapMs));
  }

  private String anyController() {
    return controllers.get(random.nextInt(controllers.size()));
  }

  private void submit(String job, long giveUpMs) {
    long sentMs = network.nowMs();
    network.send(
        anyController(),
        "POST",
        "/submissions",
        describe(job),
        SUBMISSION_TIMEOUT_MS,
        response -> {
          if (record(job, sentMs, response)) {
            follow(job, response.status() == CREATED);
          } else if (network.nowMs() < giveUpMs) {
            network.schedule(RETRY_MS, () -> submit(job, giveUpMs));
          }
        });
  }

  private ObjectNode describe(String job) {
    ObjectNode description =
        LabNetwork.object()
            .put("ref", job)
            .put("lote", "jobs")
            .put("cuadrilla", plan.team(job))
            .put("oficio", "batch")
            .put("urgencia", "standard")
            .put("piezas", plan.tasks(job))
            .put("vcpus", plan.cpus(job))
            .put("gpus", 0)
            .put("mem_gb", 1)
            .put("molde", plan.image(job))
            .put("image_gb", plan.imageGb())
            .put("one_zone", false)
            .put("scatter", false)
            .put("prestados", true)
            .put("aserrado_s", 4)
            .put("marca_s", 0)
            .put("apilado_s", 0);
    return description.putNull("calibres").putNull("patio").putNull("despacho_s");
  }

  /** Records the answer; returns whether it told a state. */
  private boolean record(String job, long sentMs, LabNetwork.Response response) {
    if (response == null || response.body() == null) {
      return false;
    }
    String state = response.body().path("estado").asText(null);
    checker.answered(job, sentMs, response.status(), state);
    return state != null;
  }

  private void follow(String job, boolean isNew) {
    if (isNew) {
      accepted.add(job);
    }
    if (random.nextInt(3) == 0) {
      askAll(job);
    }
    poll(job);
    if (random.nextDouble() < CANCELLED_SHARE) {
      network.schedule(random.nextInt(15_000), () -> cancel(job));
    }
  }

  private void poll(String job) {
    query(anyController(), job);
    int gapMs = checker.openJobs().contains(job) ? 2_000 + random.nextInt(6_000) : 20_000;
    network.schedule(gapMs, () -> poll(job));
  }

  private void query(String controller, String job) {
    long sentMs = network.nowMs();
    network.send(
        controller,
        "GET",
        "/submissions/" + job,
        null,
        QUERY_TIMEOUT_MS,
        response -> checker.polled(job, record(job, sentMs, response)));
  }

  private void askAll(String job) {
    for (String controller : controllers) {
      query(controller, job);
      long sentMs = network.nowMs();
      network.send(
          controller,
          "POST",
          "/submissions",
          describe(job),
          SUBMISSION_TIMEOUT_MS,
          response -> record(job, sentMs, response));
    }
  }

  private void askAboutNobodysJob() {
    query(anyController(), String.format("wk-%06d", 900_000 + random.nextInt(1_000)));
  }

  private void cancel(String job) {
    checker.cancelRequested(job);
    sendCancellation(job);
  }

  private void sendCancellation(String job) {
    long sentMs = network.nowMs();
    network.send(
        anyController(),
        "POST",
        "/submissions/" + job + "/cancel",
        null,
        SUBMISSION_TIMEOUT_MS,
        response -> {
          if (!record(job, sentMs, response)) {
            network.schedule(RETRY_MS, () -> sendCancellation(job));
          } else {
            askAll(job);
          }
        });
  }

  /** Cancels several open jobs within a fifth of a second. */
  void cancelNow(int count) {
    List<String> open = new ArrayList<>(accepted);
    open.retainAll(checker.openJobs());
    for (int i = 0; i < count && !open.isEmpty(); i++) {
      String job = open.remove(random.nextInt(open.size()));
      network.schedule(random.nextInt(200), () -> cancel(job));
    }
  }
}
