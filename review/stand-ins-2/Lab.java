import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A small deployment on loopback: the project's controllers as processes, with stand-ins for the
 * state service, the cloud, the workers and the users. It writes what happens to record.txt and
 * watches the rules about tasks.
 */
class Lab {
  record Type(
      String name, double cpus, double memoryGb, double cacheGb, double fetchGbPerS, double price,
      double spotPrice, double bootS) {}

  /** A job as its user knows it. */
  static final class Job {
    String id;
    String jobClass;
    String team;
    String priority = "standard";
    int tasks;
    double cpus;
    double memoryGb;
    String image;
    double imageGb;
    double runS;

    /** Time by which the run time of the last task exceeds that of the first one. */
    double runMoreS;

    double estimateS;
    Double deadlineS;
    boolean spot = true;
    String zone;
    List<Object> types;
    final java.util.Set<String> doneTasks = new java.util.HashSet<>();
    long acceptedMs;
    long cancelledMs;
    boolean cancelAsked;
    String lastState;

    String body() {
      return Json.write(
          Json.of(
              "ref", id, "lote", jobClass, "cuadrilla", team, "oficio", "batch", "urgencia",
              priority, "piezas", tasks, "vcpus", cpus, "gpus", 0.0, "mem_gb", memoryGb, "molde",
              image, "image_gb", imageGb, "calibres", types, "patio", zone, "one_zone", false,
              "scatter", false, "prestados", spot, "aserrado_s", estimateS, "marca_s", 0.0,
              "apilado_s", 0.0, "despacho_s", deadlineS));
    }
  }

  /** A controller: its ports and its process. */
  final class Node {
    String name;
    int listenPort;
    int peerPort;
    int statePort;
    int cloudPort;

    /** The port at which workers reach it, and those at which peers do; relays may stand there. */
    int workersPort;

    int[] peerPortFor;
    Process process;
    int starts;
    volatile boolean stateRefused;

    void start() throws IOException {
      starts++;
      List<String> command = new ArrayList<>(List.of(runCommand.split(" +")));
      command.add(folder.resolve(name + ".json").toString());
      ProcessBuilder builder = new ProcessBuilder(command).directory(new File(root));
      builder.environment().put("LOG_LEVEL", logLevel);
      builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
      builder.redirectError(
          ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
      process = builder.start();
      record("start of " + name + ", process " + starts);
    }

    void kill() throws InterruptedException {
      record("kill of " + name);
      process.destroyForcibly();
      process.waitFor();
    }

    boolean ready() {
      Http.Reply reply = Http.call(listenPort, "GET", "/ready", null, 1_000);
      return reply != null && reply.status() == 200;
    }
  }

  /** Takes the settings of site huallaga-aserradero. */
  void huallaga() {
    types =
        List.of(
            new Type("tabla8", 8, 32, 50, 1.0, 0.55, 0.18, 40),
            new Type("viga32", 32, 128, 50, 0.4, 2.22, 0.76, 15));
    zones = List.of("pucallpa", "lima");
    nodeZones = List.of("pucallpa", "lima", "pucallpa");
    teams =
        List.of(
            Json.of("name", "patio", "cpus", 0.0, "cpus_max", 0.0, "gpus", 0.0, "gpus_max", 0.0));
    objectives =
        List.of(
            Json.of("kind", "deadline", "class", "conteo-diario", "share", 0.78, "times", 1.0),
            Json.of("kind", "wait", "class", "reconteo-horno", "within_s", 30.0, "share", 0.93));
    reportS = 1;
    leaseS = 10;
    cancelS = 35;
    stateRps = 150;
    stateWriteRps = 60;
    valueKb = 16;
    txnOps = 24;
    stateLatencyMs = 4;
    cloudRps = 1.5;
    listLagS = 10;
    coreShare = 0.136;
    ramMb = 148;
    fdLimit = 600;
    skewMs = 25;
  }

  static final long START_NS = System.nanoTime();

  final String root;
  final Path folder;
  final boolean trouble;
  final PrintWriter out;
  final List<Node> nodes = new ArrayList<>();
  final Map<String, Worker> workers = new ConcurrentHashMap<>();
  final Map<String, Job> jobs = new ConcurrentHashMap<>();
  final List<String> broken = new ArrayList<>();
  private final Map<String, Map<String, Long>> onMachines = new HashMap<>();
  String runCommand;
  String logLevel = "info";
  StateService state;
  Cloud cloud;

  interface StateFilter {
    Http.Reply handle(Node node, Http.Request request) throws Exception;
  }

  /** Handles requests to the state service in its place, if not null. */
  StateFilter onState;

  /** Called with each request to the cloud before it is carried out, if not null. */
  java.util.function.BiConsumer<Node, Http.Request> onCloud;

  /** Called with a new worker before it starts, if not null. */
  java.util.function.Consumer<Worker> onWorker;

  // The deployment of site volanut-hq.
  List<Type> types =
      List.of(new Type("kocsi16", 16, 128, 35, 0.1, 1.17, 0.31, 50));
  List<Object> zones = List.of("buda", "pest");
  List<Object> nodeZones = List.of("buda", "buda", "buda");
  List<Object> teams =
      List.of(
          Json.of("name", "jegyiroda", "cpus", 200.0, "cpus_max", 1500.0, "gpus", 0.0, "gpus_max",
              0.0),
          Json.of("name", "tarifa", "cpus", 128.0, "cpus_max", 500.0, "gpus", 0.0, "gpus_max",
              0.0));
  List<Object> objectives =
      List.of(
          Json.of("kind", "deadline", "class", "nightly-fares", "share", 0.92, "times", 1.0),
          Json.of("kind", "deadline", "class", "seat-recount", "share", 0.95, "times", 1.0),
          Json.of("kind", "wait", "class", "seat-recount", "within_s", 10.0, "share", 0.94));
  double reportS = 2.5;
  double leaseS = 16;
  double cancelS = 46;
  double stateRps = 200;
  double stateWriteRps = 40;
  int valueKb = 8;
  int txnOps = 32;
  int stateLatencyMs = 5;
  double cloudRps = 3;
  double listLagS = 6;
  double coreShare = 0.204;
  double ramMb = 263;
  long fdLimit = 1800;
  double skewMs = 100;

  Lab(String[] args) throws IOException {
    root = args[0];
    trouble = !"0".equals(System.getenv("TROUBLE"));
    out = new PrintWriter(Files.newBufferedWriter(Path.of(args[1], "record.txt")), true);
    folder = Files.createTempDirectory("review-");
    for (String line : Files.readAllLines(Path.of(root, "deploy", "service.toml"))) {
      if (line.startsWith("run = \"")) {
        runCommand = line.substring(7, line.length() - 1);
      }
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    // An error of the script itself says nothing about the rule.
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, failure) -> {
          failure.printStackTrace();
          if (thread.getName().equals("main")) {
            System.exit(2);
          }
        });
  }

  static long now() {
    return (System.nanoTime() - START_NS) / 1_000_000;
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Counts what is recorded of the tasks of these jobs, and leaves it out of record.txt. */
  final java.util.Set<String> counted = ConcurrentHashMap.newKeySet();

  final java.util.concurrent.atomic.AtomicInteger starts =
      new java.util.concurrent.atomic.AtomicInteger();

  /** Records what happened to a task, unless the tasks of its job are only counted. */
  void recordTask(String task, String text) {
    if (counted.contains(task.substring(0, task.indexOf('/')))) {
      if (text.startsWith("on machine")) {
        starts.incrementAndGet();
      }
    } else {
      record(text);
    }
  }

  void record(String text) {
    synchronized (out) {
      out.printf("%8.3f %s%n", now() / 1000.0, text);
    }
  }

  void end() {
    for (Node node : nodes) {
      if (node.process != null) {
        node.process.destroyForcibly();
      }
    }
    out.flush();
    if (System.getenv("KEEP_LOGS") == null) {
      try (var files = Files.walk(folder)) {
        files.sorted(java.util.Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
      } catch (IOException e) {
        // the folder stays
      }
    } else {
      System.err.println("logs in " + folder);
    }
  }

  /** Ends the run with this exit code. */
  void finish(int code, String text) {
    record("result " + code + ": " + text);
    System.out.println((code == 1 ? "BROKEN: " : code == 0 ? "HELD: " : "COULD NOT RUN: ") + text);
    System.exit(code);
  }

  Type type(String name) {
    return types.stream().filter(t -> t.name().equals(name)).findFirst().orElseThrow();
  }

  int nodeIndex(String name) {
    for (int i = 0; i < nodes.size(); i++) {
      if (nodes.get(i).name.equals(name)) {
        return i;
      }
    }
    return -1;
  }

  /** Prepares the state service, the cloud and the settings of the controllers. */
  void prepare(int count) throws IOException {
    state = new StateService(this);
    cloud = new Cloud(this);
    for (int i = 0; i < count; i++) {
      Node node = new Node();
      node.name = "tocon-" + i;
      node.listenPort = Http.freePort();
      node.workersPort = node.listenPort;
      node.peerPort = Http.freePort();
      node.peerPortFor = new int[count];
      java.util.Arrays.fill(node.peerPortFor, node.peerPort);
      node.statePort =
          new Http.Server(
                  0,
                  request ->
                      node.stateRefused
                          ? new Http.Reply(503, "{\"error\":\"trouble\"}")
                          : onState == null ? state.handle(request) : onState.handle(node, request))
              .port;
      node.cloudPort =
          new Http.Server(
                  0,
                  request -> {
                    sleep(50);
                    if (onCloud != null) {
                      onCloud.accept(node, request);
                    }
                    return cloud.handle(request);
                  })
              .port;
      nodes.add(node);
    }
  }

  void writeSettings() throws IOException {
    for (int i = 0; i < nodes.size(); i++) {
      Node node = nodes.get(i);
      List<Object> known = new ArrayList<>();
      for (int j = 0; j < nodes.size(); j++) {
        if (j != i) {
          known.add(
              Json.of(
                  "node", nodes.get(j).name, "location", nodeZones.get(j), "addr",
                  "127.0.0.1:" + nodes.get(j).peerPortFor[i]));
        }
      }
      Map<String, Object> facts =
          Json.of(
              "size", nodes.size(), "zones", zones, "teams", teams, "objectives", objectives,
              "workers",
              Json.of(
                  "report_s", reportS, "lease_s", leaseS, "gang_wait_s", 35.0, "gang_peer_s", 4.0,
                  "cancel_s", cancelS),
              "state",
              Json.of(
                  "rps", stateRps, "write_rps", stateWriteRps, "value_kb", (double) valueKb,
                  "txn_ops", txnOps),
              "cloud", Json.of("rps", cloudRps, "list_lag_s", listLagS), "machine_limits",
              Json.of("core_share", coreShare, "ram_mb", ramMb, "fd_limit", fdLimit), "skew_ms",
              skewMs);
      Map<String, Object> settings =
          Json.of(
              "node", node.name, "location", nodeZones.get(i), "listen",
              "127.0.0.1:" + node.listenPort, "peer_bind", "127.0.0.1:" + node.peerPort, "known",
              known, "endpoints",
              Json.of(
                  "cloud", "127.0.0.1:" + node.cloudPort, "state", "127.0.0.1:" + node.statePort),
              "facts", facts);
      Files.writeString(folder.resolve(node.name + ".json"), Json.write(settings));
    }
  }

  /** Starts all controllers and waits until they are ready. */
  void startNodes() throws IOException {
    writeSettings();
    for (Node node : nodes) {
      node.start();
    }
    await(20_000, "the controllers are ready", () -> nodes.stream().allMatch(Node::ready));
  }

  Worker startWorker(String id, String type, String zone, boolean spot) {
    try {
      Worker worker = new Worker(this, id, type, zone, spot);
      workers.put(id, worker);
      if (onWorker != null) {
        onWorker.accept(worker);
      }
      record("machine " + id + " is up, " + type + " in " + zone + (spot ? ", spot" : ""));
      worker.start();
      return worker;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  interface Check {
    boolean holds() throws IOException;
  }

  /** Waits until the check holds, or ends the run as one that couldn't run. */
  void await(long ms, String what, Check check) throws IOException {
    if (!waitFor(ms, check)) {
      finish(2, "not within " + ms + " ms: " + what);
    }
    record("seen: " + what);
  }

  boolean waitFor(long ms, Check check) throws IOException {
    long end = now() + ms;
    while (!check.holds()) {
      if (now() > end) {
        return false;
      }
      sleep(20);
    }
    return true;
  }

  // Users.

  Http.Reply ask(int node, String method, String path, String body, int timeoutMs) {
    Http.Reply reply = Http.call(nodes.get(node).listenPort, method, path, body, timeoutMs);
    record(
        "user " + method + " " + path + " at " + nodes.get(node).name + ": "
            + (reply == null ? "no answer" : reply.status() + " " + reply.body()));
    return reply;
  }

  /** Submits the job, with retries for up to a minute. */
  void submit(Job job, int node) {
    jobs.put(job.id, job);
    for (int i = 0; i < 60; i++) {
      Http.Reply reply =
          ask((node + i) % nodes.size(), "POST", "/submissions", job.body(), 5_000);
      if (reply != null && (reply.status() == 201 || reply.status() == 200)) {
        job.acceptedMs = now();
        return;
      }
      sleep(1_000);
    }
    finish(2, "job " + job.id + " was not accepted");
  }

  Http.Reply poll(String job, int node) {
    return ask(node, "GET", "/submissions/" + job, null, 2_000);
  }

  /** Cancels the job, with retries, and returns the state that was told. */
  String cancel(Job job, int node) {
    for (int i = 0; i < 60; i++) {
      Http.Reply reply =
          ask((node + i) % nodes.size(), "POST", "/submissions/" + job.id + "/cancel", "", 5_000);
      if (reply != null && reply.status() == 200) {
        String told = (String) Json.object(reply.body()).get("estado");
        if (told.equals("cancelled")) {
          job.cancelledMs = now();
        }
        return told;
      }
      sleep(1_000);
    }
    return null;
  }

  // Rules about tasks.

  void onMachine(Worker.Task task, Worker worker) {
    recordTask(task.name, "on machine " + task.name + "#" + task.attempt + " on " + worker.id);
    synchronized (onMachines) {
      Map<String, Long> places = onMachines.computeIfAbsent(task.name, k -> new HashMap<>());
      for (String other : places.keySet()) {
        if (!other.equals(worker.id)) {
          breaks(
              "ran_twice: " + task.name + "#" + task.attempt + " starts on " + worker.id
                  + " while it is on " + other);
        }
      }
      places.put(worker.id, now());
    }
    if (task.job.cancelledMs > 0 && now() - task.job.cancelledMs > cancelS * 1000) {
      breaks(
          "ran_cancelled: " + task.name + " starts on " + worker.id + " "
              + (now() - task.job.cancelledMs) / 1000.0 + " s after its user was told");
    }
  }

  /** Records that a task has completed. */
  void done(Worker.Task task) {
    synchronized (task.job.doneTasks) {
      task.job.doneTasks.add(task.name);
    }
  }

  void offMachine(Worker.Task task, Worker worker, String reason) {
    recordTask(task.name, "off machine " + task.name + "#" + task.attempt + " on " + worker.id + ": " + reason);
    synchronized (onMachines) {
      Map<String, Long> places = onMachines.get(task.name);
      if (places != null) {
        places.remove(worker.id);
      }
    }
  }

  /** Returns the machines that the task is on. */
  List<String> placesOf(String task) {
    synchronized (onMachines) {
      return new ArrayList<>(onMachines.getOrDefault(task, Map.of()).keySet());
    }
  }

  void breaks(String text) {
    record("BROKEN " + text);
    synchronized (broken) {
      broken.add(text);
    }
  }
}
