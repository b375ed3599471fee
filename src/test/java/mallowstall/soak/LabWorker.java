package mallowstall.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.Channel;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import mallowstall.soak.LabNetwork.Request;
import mallowstall.soak.LabNetwork.Response;

/** A worker as the protocol describes it, whose machine can hang, and lose its messages. */
final class LabWorker {
  private static final long RESPONSE_TIMEOUT_MS = 4_000;
  private static final long RETRY_MS = 1_000;
  private static final long REPORT_GAP_MIN_MS = 500;
  private static final long LOOP_MS = 50;

  private final LabNetwork network;
  private final SplittableRandom random;
  private final SoakPlan plan;
  private final SoakChecker checker;
  private final List<String> controllers;
  private final String machine;
  private final String zone;
  private final boolean spot;
  private final long rentedMs;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Set<String> keptResults = new HashSet<>();
  private final Set<String> images = new HashSet<>();
  private Channel server;
  private boolean ended;
  private long session = 1;
  private long sequence;
  private long token;
  private long leaseStartMs;
  private int controller;
  private boolean reportInFlight;
  private boolean changed;
  private long nextReportMs;
  private long lastReportMs;

  /** Until when the machine hangs: its tasks stand still, and nothing is sent or handled. */
  long hangsUntilMs;

  /** Until when no report leaves. */
  long muteUntilMs;

  /** Until when no response and no command arrives. */
  long deafUntilMs;

  /** One attempt of a task. */
  private static final class Task {
    private final String task;
    private final long attempt;
    private final String job;
    private String state = "pulling";
    private String reason;
    private long dueMs;

    Task(String task, long attempt, long dueMs) {
      this.task = task;
      this.attempt = attempt;
      this.job = task.substring(0, task.indexOf('/'));
      this.dueMs = dueMs;
    }
  }

  LabWorker(
      LabNetwork network,
      SoakPlan plan,
      SoakChecker checker,
      List<String> controllers,
      String machine,
      String zone,
      boolean spot) {
    this.network = network;
    this.plan = plan;
    this.checker = checker;
    this.controllers = controllers;
    this.machine = machine;
    this.zone = zone;
    this.spot = spot;
    this.random = new SplittableRandom(plan.seed() ^ machine.hashCode());
    this.rentedMs = network.nowMs();
    this.controller = random.nextInt(controllers.size());
  }

  /** Begins to report, unless the machine was returned meanwhile. */
  void start() {
    network.listen(
        this::handle,
        listening -> {
          server = listening;
          if (ended) {
            server.close();
            return;
          }
          leaseStartMs = network.nowMs();
          loop();
        });
  }

  void end() {
    ended = true;
    clearTasks();
    if (server != null) {
      server.close();
    }
  }

  ObjectNode describeForInventory() {
    return LabNetwork.object()
        .put("ref", machine)
        .put("addr", server == null ? "127.0.0.1:1" : LabNetwork.addressOf(server))
        .put("calibre", "t8")
        .put("patio", zone)
        .put("prestados", spot)
        .put("estado", server == null ? "starting" : "running")
        .put("held_s", (network.nowMs() - rentedMs) / 1000.0);
  }

  private boolean hangs() {
    return network.nowMs() < hangsUntilMs;
  }

  private void loop() {
    if (ended) {
      return;
    }
    if (!hangs()) {
      checkLease();
      tasks.values().forEach(this::advance);
      reportIfDue();
    } else if (isLeaseOver()) {
      // The tasks can't go on any more; the next session begins when the machine does.
      clearTasks();
    } else {
      tasks.values().forEach(task -> task.dueMs += LOOP_MS);
    }
    network.schedule(LOOP_MS, this::loop);
  }

  private boolean isLeaseOver() {
    return network.nowMs() - leaseStartMs > plan.leaseMs();
  }

  private void checkLease() {
    if (isLeaseOver()) {
      clearTasks();
      session++;
      leaseStartMs = network.nowMs();
      changed = true;
    }
  }

  private void clearTasks() {
    for (Task task : tasks.values()) {
      if (task.state.equals("running")) {
        checker.taskStopped(task.task, machine, false);
      }
    }
    tasks.clear();
  }

  private void advance(Task task) {
    if (network.nowMs() < task.dueMs || task.state.equals("ended")) {
      return;
    }
    if (task.state.equals("running")) {
      exit(task, "done");
      return;
    }
    images.add(plan.image(task.job));
    if (keptResults.contains(task.task)) {
      exit(task, "done");
      return;
    }
    task.state = "running";
    task.dueMs = network.nowMs() + plan.runMs(task.task);
    changed = true;
    checker.taskStarted(task.task, machine);
  }

  private void exit(Task task, String reason) {
    boolean isDone = reason.equals("done");
    if (task.state.equals("running")) {
      checker.taskStopped(task.task, machine, isDone);
    }
    if (isDone) {
      keptResults.add(task.task);
    }
    task.state = "ended";
    task.reason = reason;
    changed = true;
  }

  private void reportIfDue() {
    long now = network.nowMs();
    boolean isDue = now >= nextReportMs || (changed && now - lastReportMs >= REPORT_GAP_MIN_MS);
    if (reportInFlight || !isDue) {
      return;
    }
    reportInFlight = true;
    changed = false;
    lastReportMs = now;
    nextReportMs = now + plan.reportMs() * 3 / 4 + random.nextLong(plan.reportMs() / 2);
    ObjectNode report = report();
    long sentSession = session;
    if (now < muteUntilMs) {
      network.schedule(RESPONSE_TIMEOUT_MS, () -> receive(null, sentSession, now));
      return;
    }
    if (random.nextDouble() < plan.lateReportShare()) {
      network.schedule(
          2_000 + random.nextInt(20_000),
          () ->
              network.send(
                  controllers.get(random.nextInt(controllers.size())),
                  "POST",
                  "/hello",
                  report,
                  RESPONSE_TIMEOUT_MS,
                  ignored -> {}));
    }
    network.send(
        controllers.get(controller),
        "POST",
        "/hello",
        report,
        RESPONSE_TIMEOUT_MS,
        response -> receive(response, sentSession, now));
  }

  private ObjectNode report() {
    ObjectNode report =
        LabNetwork.object()
            .put("sierra", machine)
            .put("addr", LabNetwork.addressOf(server))
            .put("calibre", "t8")
            .put("patio", zone)
            .put("prestados", spot)
            .put("turno", session)
            .put("folio", ++sequence)
            .put("baston", token);
    report.putNull("aviso_s");
    ArrayNode listed = report.putArray("piezas");
    for (Task task : tasks.values()) {
      ObjectNode described =
          listed
              .addObject()
              .put("pieza", task.task)
              .put("intento", task.attempt)
              .put("estado", task.state);
      if (task.reason != null) {
        described.put("motivo", task.reason);
      }
    }
    return report;
  }

  private void receive(Response response, long sentSession, long sentMs) {
    if (ended) {
      return;
    }
    if (hangs()) {
      network.schedule(LOOP_MS, () -> receive(null, sentSession, sentMs));
      return;
    }
    reportInFlight = false;
    boolean isHeard = response != null && network.nowMs() >= deafUntilMs;
    if (isHeard && response.status() == 200) {
      applyResponse(response.body(), sentSession, sentMs);
    } else if (isHeard && response.status() == 421) {
      followRedirect(response.body().path("capataz").asText(""));
    } else {
      turnToNextController();
    }
  }

  private void applyResponse(JsonNode body, long sentSession, long sentMs) {
    long responseToken = body.path("baston").asLong(0);
    if (sentSession != session || responseToken < token || !body.has("baston")) {
      return;
    }
    changed |= responseToken > token;
    token = responseToken;
    leaseStartMs = sentMs;
    body.path("ordenes").forEach(this::execute);
  }

  private void followRedirect(String node) {
    int named = plan.nodes().indexOf(node);
    if (named < 0 || named == controller) {
      turnToNextController();
    } else {
      controller = named;
      nextReportMs = network.nowMs();
    }
  }

  private void turnToNextController() {
    controller = (controller + 1) % controllers.size();
    nextReportMs = network.nowMs() + RETRY_MS;
  }

  private void execute(JsonNode command) {
    String name = command.get("pieza").asText();
    long attempt = command.get("intento").asLong();
    Task task = tasks.get(name + "#" + attempt);
    switch (command.get("orden").asText()) {
      case "run" -> {
        if (task == null) {
          begin(name, attempt);
        }
      }
      case "kill" -> {
        if (task != null && !task.state.equals("ended")) {
          exit(task, "stopped");
        }
      }
      default -> {
        if (task != null && task.state.equals("ended")) {
          tasks.remove(name + "#" + attempt);
        }
      }
    }
  }

  private void begin(String name, long attempt) {
    Task task = new Task(name, attempt, 0);
    task.dueMs =
        network.nowMs() + (images.contains(plan.image(task.job)) ? 0 : plan.fetchMs(machine));
    boolean isBusy = false;
    double usedCpus = 0;
    for (Task other : tasks.values()) {
      if (!other.state.equals("ended")) {
        isBusy |= other.task.equals(name);
        usedCpus += plan.cpus(other.job);
      }
    }
    tasks.put(name + "#" + attempt, task);
    changed = true;
    if (!checker.isSubmitted(task.job)) {
      exit(task, "no_such");
    } else if (isBusy) {
      exit(task, "busy");
    } else if (usedCpus + plan.cpus(task.job) > LabCloud.MACHINE_CPUS) {
      exit(task, "full");
    }
  }

  private void handle(Request request, Consumer<Response> reply) {
    if (ended || network.nowMs() < deafUntilMs) {
      return;
    }
    if (hangs()) {
      network.schedule(hangsUntilMs - network.nowMs() + 1, () -> handle(request, reply));
      return;
    }
    checkLease();
    if (request.path().equals("/inspect")) {
      reply.accept(new Response(200, report()));
      return;
    }
    JsonNode body = request.body();
    if (body == null || !body.has("baston") || !body.has("turno")) {
      reply.accept(Response.of(400));
    } else if (body.get("baston").asLong() < token || body.get("turno").asLong() != session) {
      reply.accept(new Response(409, report()));
    } else {
      changed |= body.get("baston").asLong() > token;
      token = body.get("baston").asLong();
      body.path("ordenes").forEach(this::execute);
      reply.accept(new Response(200, report()));
    }
  }
}
