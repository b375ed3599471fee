import java.io.File;
import java.io.PrintWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A deployment on loopback: the project's controllers as processes, started with the line {@code
 * run} of the deploy file, and stand-ins for the state service, the cloud, the workers and users.
 */
final class Lab implements AutoCloseable {
  /** A controller process with its addresses. */
  final class Node {
    final String name;
    final int port;
    final int peerPort;
    final int statePort;
    StateService.Gate gate;
    Process process;
    Path settings;

    /** Where the others reach this node's peer port: the port itself or a proxy. */
    int shownPeerPort;

    Node(String name) throws Exception {
      this.name = name;
      this.port = Web.freePort();
      this.peerPort = Web.freePort();
      this.statePort = Web.freePort();
      this.shownPeerPort = peerPort;
    }

    String address() {
      return "127.0.0.1:" + port;
    }

    void start() throws Exception {
      List<String> command = new ArrayList<>(runCommand());
      command.add(settings.toString());
      ProcessBuilder builder = new ProcessBuilder(command);
      builder.environment().put("LOG_LEVEL", logLevel);
      builder.directory(root.toFile());
      builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
      builder.redirectError(
          ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
      process = builder.start();
      record("start " + name + " pid " + process.pid());
    }

    void kill() throws Exception {
      record("kill " + name);
      process.destroyForcibly().waitFor();
    }

    void signal(String signal) throws Exception {
      record("signal " + signal + " to " + name);
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    boolean ready() {
      Reply reply = get(this, "/ready", 900);
      return reply.status == 200;
    }
  }

  /** An answer to a user; status 0: none. */
  record Reply(int status, String body, long tookMs) {
    String state() {
      if (status != 200 && status != 201) {
        return null;
      }
      return (String) Json.object(body).get("estado");
    }

    @Override
    public String toString() {
      return status + " " + (body.length() > 300 ? body.substring(0, 300) + "..." : body)
          + " in " + tookMs + " ms";
    }
  }

  final Path root;
  final Path folder;
  final boolean trouble;
  String logLevel = "info";
  double reportS = 1.0;
  double leaseS = 10.0;
  double cancelS = 35.0;
  double fetchGbPerS = 1.0;
  final Map<String, Object> state =
      Json.of("rps", 150.0, "write_rps", 60.0, "value_kb", 16.0, "txn_ops", 24);
  List<Object> teams =
      new ArrayList<>(
          List.of(Json.of("name", "patio", "cpus", 0.0, "cpus_max", 0.0, "gpus", 0.0, "gpus_max", 0.0)));
  List<Object> flavors =
      new ArrayList<>(
          List.of(
              Json.of(
                  "label", "tabla8", "vcpus", 8, "gpus", 0, "mem_gb", 32, "local_gb", 50,
                  "fetch_gb_per_s", 1.0, "rate", 0.55, "market_price", 0.18, "ready_s", 4,
                  "patios", List.of("pucallpa", "lima"))));
  List<String> zones = List.of("pucallpa", "lima");
  int fdLimit = 600;
  double ramMb = 148;
  int capacity = 6;
  final List<Node> nodes = new ArrayList<>();
  final StateService store;
  final Map<String, Worker> machines = new ConcurrentHashMap<>();

  private final PrintWriter out;
  private final long startNanos = System.nanoTime();
  private final Map<String, Map<String, Object>> jobs = new ConcurrentHashMap<>();
  private final Map<String, Double> runTimes = new ConcurrentHashMap<>();
  private final Set<String> mistakes = ConcurrentHashMap.newKeySet();
  private final Map<String, List<Object>> rentals = new HashMap<>();
  private final TreeMap<String, Long> rented = new TreeMap<>();
  private final Map<String, String> where = new HashMap<>();
  private final Map<String, Double> lastStartS = new ConcurrentHashMap<>();
  private final Set<String> done = ConcurrentHashMap.newKeySet();
  final AtomicInteger rentalRequests = new AtomicInteger();
  final AtomicInteger leasesOver = new AtomicInteger();
  final AtomicInteger tasksLost = new AtomicInteger();
  final AtomicInteger largestReport = new AtomicInteger();
  final List<String> broken = Collections.synchronizedList(new ArrayList<>());
  private final int cloudPort;
  private int lastMachine;
  private Path temporary;
  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(900))
          .executor(Web.THREADS)
          .build();

  Lab(Path folder, int size, int valueKb, int txnOps) throws Exception {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    this.folder = folder.toAbsolutePath();
    this.root = this.folder.getParent().getParent();
    this.trouble = !"0".equals(System.getenv("TROUBLE"));
    this.out = new PrintWriter(this.folder.resolve("record.txt").toFile());
    this.temporary = Files.createTempDirectory("case");
    this.store = new StateService(valueKb, txnOps);
    state.put("value_kb", (double) valueKb);
    state.put("txn_ops", txnOps);
    this.cloudPort = Web.freePort();
    Web.serve(cloudPort, this::cloud);
    for (int i = 0; i < size; i++) {
      Node node = new Node("tocon-" + i);
      node.gate = store.serve(node.statePort);
      nodes.add(node);
      Files.deleteIfExists(this.folder.resolve(node.name + ".log"));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    Thread limit = new Thread(this::endLate);
    limit.setDaemon(true);
    limit.start();
    record("trouble " + (trouble ? 1 : 0));
  }

  /** Writes the settings of every controller. */
  void writeSettings() throws Exception {
    for (Node node : nodes) {
      List<Object> known = new ArrayList<>();
      for (Node other : nodes) {
        if (other != node) {
          known.add(
              Json.of(
                  "node", other.name, "location", zones.get(0),
                  "addr", "127.0.0.1:" + other.shownPeerPort));
        }
      }
      Map<String, Object> facts =
          Json.of(
              "size", nodes.size(), "zones", zones, "teams", teams, "objectives", List.of(),
              "workers",
              Json.of(
                  "report_s", reportS, "lease_s", leaseS, "gang_wait_s", 40.0, "gang_peer_s", 4.0,
                  "cancel_s", cancelS),
              "state", state, "cloud", Json.of("rps", 1.5, "list_lag_s", 2.0),
              "machine_limits",
              Json.of("core_share", 1.0, "ram_mb", ramMb, "fd_limit", fdLimit),
              "skew_ms", 25.0);
      Map<String, Object> settings =
          Json.of(
              "node", node.name, "location", zones.get(0), "listen", node.address(),
              "peer_bind", "127.0.0.1:" + node.peerPort, "known", known,
              "endpoints",
              Json.of("cloud", "127.0.0.1:" + cloudPort, "state", "127.0.0.1:" + node.statePort),
              "facts", facts);
      node.settings = temporary.resolve(node.name + ".json");
      Files.writeString(node.settings, Json.text(settings));
    }
  }

  private List<String> runCommand() throws Exception {
    for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
      if (line.startsWith("run = \"")) {
        return Arrays.asList(line.substring(7, line.lastIndexOf('"')).split(" "));
      }
    }
    throw new IllegalStateException("no line run in the deploy file");
  }

  void startAll() throws Exception {
    writeSettings();
    for (Node node : nodes) {
      node.start();
    }
  }

  /** Waits until all nodes are ready; returns false if they aren't in time. */
  boolean awaitReady(double seconds) throws Exception {
    return awaitReady(nodes, seconds);
  }

  boolean awaitReady(List<Node> which, double seconds) throws Exception {
    long end = System.nanoTime() + (long) (seconds * 1e9);
    while (System.nanoTime() < end) {
      boolean all = true;
      for (Node node : which) {
        all &= node.ready();
      }
      if (all) {
        record("ready");
        return true;
      }
      Thread.sleep(200);
    }
    record("not ready within " + seconds + " s");
    return false;
  }

  void record(String line) {
    synchronized (out) {
      out.printf("%9.3f %s%n", (System.nanoTime() - startNanos) / 1e9, line);
      out.flush();
    }
  }

  double nowS() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  /** Records a broken rule. */
  void broken(String what) {
    broken.add(what);
    record("BROKEN " + what);
    System.out.println("BROKEN " + what);
  }

  /** Ends the run with the exit code that says whether the rule was broken. */
  void finish() {
    int code = broken.isEmpty() ? 0 : 1;
    record(code == 0 ? "held" : "broken");
    System.out.println(code == 0 ? "held" : "broken: " + broken.size());
    end(code);
  }

  void cannotRun(String why) {
    record("could not run: " + why);
    System.out.println("could not run: " + why);
    end(2);
  }

  /** Ends a run that takes longer than allowed. */
  private void endLate() {
    try {
      Thread.sleep(117_000);
      cannotRun("longer than 117 s");
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  private void end(int code) {
    endAll();
    System.out.flush();
    Runtime.getRuntime().halt(code);
  }

  private void endAll() {
    for (Node node : nodes) {
      if (node.process != null) {
        node.process.destroyForcibly();
        try {
          node.process.waitFor();
        } catch (InterruptedException interrupted) {
          Thread.currentThread().interrupt();
        }
      }
    }
    try {
      if (temporary != null) {
        for (File file : temporary.toFile().listFiles()) {
          file.delete();
        }
        Files.deleteIfExists(temporary);
      }
    } catch (Exception left) {
      // the system clears its folder of temporary files
    }
  }

  @Override
  public void close() {
    endAll();
  }

  List<String> addresses() {
    List<String> list = new ArrayList<>();
    for (Node node : nodes) {
      list.add(node.address());
    }
    return list;
  }

  int nodeIndex(String name) {
    for (int i = 0; i < nodes.size(); i++) {
      if (nodes.get(i).name.equals(name)) {
        return i;
      }
    }
    return -1;
  }

  // Users

  /** A batch job of small tasks. */
  Map<String, Object> batch(String ref, int tasks, double cpus) {
    return Json.of(
        "ref", ref, "lote", "reconteo-horno", "cuadrilla", "patio", "oficio", "batch",
        "urgencia", "high", "piezas", tasks, "vcpus", cpus, "gpus", 0.0, "mem_gb", 2.0 * cpus,
        "molde", "img-01", "image_gb", 0.4, "calibres", null, "patio", null, "one_zone", false,
        "scatter", false, "prestados", true, "aserrado_s", 30.0, "marca_s", 0.0,
        "apilado_s", 0.0, "despacho_s", null);
  }

  void runTime(String ref, double seconds) {
    runTimes.put(ref, seconds);
  }

  void mistake(String ref) {
    mistakes.add(ref);
  }

  Map<String, Object> job(String ref) {
    return jobs.get(ref);
  }

  double runS(String task) {
    return runTimes.getOrDefault(task.substring(0, task.indexOf('/')), 5.0);
  }

  boolean failing(String task) {
    return mistakes.contains(task.substring(0, task.indexOf('/')));
  }

  Reply submit(Node node, Map<String, Object> job) {
    jobs.put((String) job.get("ref"), job);
    Reply reply = call(node, "POST", "/submissions", Json.text(job), 5_000);
    record("submit " + job.get("ref") + " at " + node.name + ": " + reply);
    return reply;
  }

  Reply poll(Node node, String ref) {
    Reply reply = get(node, "/submissions/" + ref, 2_000);
    record("poll " + ref + " at " + node.name + ": " + reply);
    return reply;
  }

  Reply cancel(Node node, String ref) {
    Reply reply = call(node, "POST", "/submissions/" + ref + "/cancel", "", 5_000);
    record("cancel " + ref + " at " + node.name + ": " + reply);
    return reply;
  }

  Reply get(Node node, String path, long timeoutMs) {
    return call(node, "GET", path, null, timeoutMs);
  }

  Reply call(Node node, String method, String path, String body, long timeoutMs) {
    long began = System.nanoTime();
    try {
      HttpResponse<String> response =
          http.send(
              HttpRequest.newBuilder(URI.create("http://" + node.address() + path))
                  .timeout(Duration.ofMillis(timeoutMs))
                  .method(
                      method,
                      body == null
                          ? HttpRequest.BodyPublishers.noBody()
                          : HttpRequest.BodyPublishers.ofString(body))
                  .build(),
              HttpResponse.BodyHandlers.ofString());
      return new Reply(
          response.statusCode(), response.body(), (System.nanoTime() - began) / 1_000_000);
    } catch (java.io.IOException failed) {
      return new Reply(0, failed.toString(), (System.nanoTime() - began) / 1_000_000);
    } catch (InterruptedException end) {
      Thread.currentThread().interrupt();
      return new Reply(0, "interrupted", 0);
    }
  }

  // What runs

  void on(String machine, String task, long attempt) {
    synchronized (where) {
      record("on " + machine + " " + task + " attempt " + attempt);
      lastStartS.put(task.substring(0, task.indexOf('/')), nowS());
      String other = where.put(task + "@" + machine, machine);
      for (String each : where.keySet()) {
        if (each.startsWith(task + "@") && !each.equals(task + "@" + machine)) {
          broken("ran_twice: " + task + " starts on " + machine + " and is on "
              + each.substring(each.indexOf('@') + 1));
        }
      }
      if (other != null) {
        broken("ran_twice: " + task + " is on " + machine + " twice");
      }
    }
  }

  void off(String machine, String task, long attempt, String why) {
    synchronized (where) {
      record("off " + machine + " " + task + " attempt " + attempt + " " + why);
      where.remove(task + "@" + machine);
    }
  }

  /** Returns the tasks on machines, as task@machine. */
  Set<String> running() {
    synchronized (where) {
      return new LinkedHashSet<>(where.keySet());
    }
  }

  /** Returns whether a task of the job has started after this time. */
  boolean startedAfter(String ref, double seconds) {
    return lastStartS.getOrDefault(ref, 0.0) > seconds;
  }

  void done(String task) {
    done.add(task);
  }

  /** Returns how many tasks of the job have completed on a machine. */
  long completed(String ref) {
    return done.stream().filter(task -> task.startsWith(ref + "/")).count();
  }

  // The cloud

  private synchronized Web.Answer cloud(
      String method, String path, Map<String, String> query, String body) throws Exception {
    switch (method + " " + path) {
      case "GET /flavors":
        return new Web.Answer(200, Json.text(Json.of("calibres", flavors)));
      case "POST /machines": {
        Map<String, Object> request = Json.object(body);
        String name = (String) request.get("alquiler");
        rentalRequests.incrementAndGet();
        if (rentals.containsKey(name)) {
          return new Web.Answer(200, Json.text(Json.of("sierras", rentals.get(name))));
        }
        int want = (int) Math.min(50, Json.num(request.get("how_many")));
        int free = capacity - machines.size();
        if (free <= 0) {
          return new Web.Answer(503, "{\"error\":\"no capacity\"}");
        }
        List<Object> names = new ArrayList<>();
        for (int i = 0; i < Math.min(free, want); i++) {
          names.add(
              machine(
                  (String) request.get("calibre"), (String) request.get("patio"),
                  Boolean.TRUE.equals(request.get("prestados"))).id);
        }
        rentals.put(name, names);
        record("rented " + names);
        return new Web.Answer(200, Json.text(Json.of("sierras", names)));
      }
      case "POST /machines/return": {
        for (Object name : Json.list(Json.object(body).get("sierras"))) {
          Worker worker = machines.remove((String) name);
          if (worker != null) {
            worker.end();
            rented.remove(name);
            record("returned " + name);
          }
        }
        return new Web.Answer(200, "{}");
      }
      case "GET /machines": {
        String after = query.getOrDefault("after", "");
        int page = Math.min(500, Integer.parseInt(query.getOrDefault("page", "500")));
        List<Object> list = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, Long> entry : rented.tailMap(after, false).entrySet()) {
          if (list.size() == page) {
            more = true;
            break;
          }
          Worker worker = machines.get(entry.getKey());
          list.add(
              Json.of(
                  "ref", worker.id, "addr", worker.address, "calibre", worker.type,
                  "patio", worker.zone, "prestados", worker.spot, "estado", "running",
                  "held_s", (System.nanoTime() - entry.getValue()) / 1e9));
        }
        return new Web.Answer(200, Json.text(Json.of("sierras", list, "has_next", more)));
      }
      default:
        return new Web.Answer(400, "{\"error\":\"no such call\"}");
    }
  }

  /** The cloud takes a spot machine back, without notice. It isn't listed any more. */
  void take(Worker worker) {
    record("the cloud takes " + worker.id + " back");
    synchronized (this) {
      machines.remove(worker.id);
      rented.remove(worker.id);
    }
    worker.end();
  }

  /** Rents one machine, which is up at once. */
  synchronized Worker machine(String type, String zone, boolean spot) throws Exception {
    Map<String, Object> flavor = null;
    for (Object each : flavors) {
      if (Json.map(each).get("label").equals(type)) {
        flavor = Json.map(each);
      }
    }
    String id = String.format("m-%06d", ++lastMachine);
    Worker worker = new Worker(this, id, flavor, zone, spot);
    machines.put(id, worker);
    rented.put(id, System.nanoTime());
    return worker;
  }
}
