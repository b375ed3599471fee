import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * A machine with its worker, after the protocol's page. What it runs is written to the record. One
 * lock guards a worker.
 */
final class Worker {
  /** A task on the machine. */
  private static final class Task {
    final String name;
    final long attempt;
    final Map<String, Object> job;
    String state;
    String why;
    boolean hasImage;
    long nextNanos;

    Task(String name, long attempt, Map<String, Object> job) {
      this.name = name;
      this.attempt = attempt;
      this.job = job;
    }
  }

  final String id;
  final String type;
  final String zone;
  final boolean spot;
  final String address;

  /** The worker's reports don't reach this node (by address), as behind a cut. Null: all do. */
  volatile String cutFrom;

  /** No report leaves the machine and no command reaches it, as when it has lost the network. */
  volatile boolean cut;

  private final Lab lab;
  private final double cpus;
  private final double memory;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Map<String, Boolean> images = new LinkedHashMap<>();
  private final Map<String, Boolean> results = new LinkedHashMap<>();
  private final Random random;
  private final HttpClient http;
  private final List<String> nodes;
  private volatile boolean gone;
  private long turno = 1;
  private long folio;
  private long token;
  private long leaseFromNanos = System.nanoTime();
  private int node;
  private boolean changed = true;

  Worker(Lab lab, String id, Map<String, Object> flavor, String zone, boolean spot)
      throws Exception {
    this.lab = lab;
    this.id = id;
    this.type = (String) flavor.get("label");
    this.cpus = Json.dbl(flavor.get("vcpus"));
    this.memory = Json.dbl(flavor.get("mem_gb"));
    this.zone = zone;
    this.spot = spot;
    this.random = new Random(id.hashCode());
    this.nodes = lab.addresses();
    this.node = random.nextInt(nodes.size());
    int port = Web.freePort();
    this.address = "127.0.0.1:" + port;
    this.http =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(4))
            .executor(Web.THREADS)
            .build();
    Web.serve(port, this::direct);
    Web.THREADS.execute(this::work);
    Web.THREADS.execute(this::reports);
  }

  /** Ends the machine and all that is on it. */
  void end() {
    synchronized (this) {
      gone = true;
      for (Task task : tasks.values()) {
        off(task, "machine gone");
      }
      tasks.clear();
      notifyAll();
    }
    // what has lost power is silent: its port stays open and answers nothing
  }

  /** Returns the tasks that are on the machine with their image. */
  synchronized List<String> onMachine() {
    List<String> names = new ArrayList<>();
    for (Task task : tasks.values()) {
      if (task.state.equals("running") || task.state.equals("flushing")) {
        names.add(task.name);
      }
    }
    return names;
  }

  private void off(Task task, String why) {
    if (task.hasImage) {
      task.hasImage = false;
      lab.off(id, task.name, task.attempt, why);
    }
  }

  private void work() {
    try {
      while (!gone) {
        Thread.sleep(20);
        synchronized (this) {
          long now = System.nanoTime();
          if (now - leaseFromNanos > (long) (lab.leaseS * 1e9)) {
            for (Task task : tasks.values()) {
              off(task, "lease over");
            }
            lab.leasesOver.incrementAndGet();
            lab.tasksLost.addAndGet(tasks.size());
            lab.record("worker " + id + " lease over, session " + (turno + 1) + ", tasks "
                + tasks.size());
            tasks.clear();
            turno++;
            leaseFromNanos = now;
            changed = true;
          }
          for (Task task : tasks.values()) {
            if (task.state.equals("ended") || now - task.nextNanos < 0) {
              continue;
            }
            if (task.state.equals("pulling")) {
              images.put((String) task.job.get("molde"), true);
              task.state = "running";
              task.hasImage = true;
              lab.on(id, task.name, task.attempt);
              double runS = results.containsKey(task.name) ? 0 : lab.runS(task.name);
              task.nextNanos = now + (long) (runS * 1e9);
            } else if (task.state.equals("running")) {
              task.state = "ended";
              boolean mistake = lab.failing(task.name);
              task.why = mistake ? "error" : "done";
              if (!mistake) {
                results.put(task.name, true);
                lab.done(task.name);
              }
              off(task, task.why);
            }
            changed = true;
          }
          if (changed) {
            notifyAll();
          }
        }
      }
    } catch (InterruptedException end) {
      Thread.currentThread().interrupt();
    }
  }

  private void reports() {
    try {
      long lastNanos = 0;
      while (!gone) {
        String body;
        String to;
        long sentTurno;
        long sentNanos;
        synchronized (this) {
          double gap = lab.reportS * (0.75 + 0.5 * random.nextDouble());
          while (!gone) {
            long sinceMs = (System.nanoTime() - lastNanos) / 1_000_000;
            long leftMs = (long) (changed ? 500 : gap * 1000) - sinceMs;
            if (leftMs <= 0) {
              break;
            }
            wait(leftMs);
          }
          if (gone) {
            return;
          }
          changed = false;
          body = Json.text(report());
          lab.largestReport.accumulateAndGet(body.length(), Math::max);
          to = nodes.get(node);
          sentTurno = turno;
          sentNanos = System.nanoTime();
          lastNanos = sentNanos;
        }
        HttpResponse<String> response = null;
        if (cut || to.equals(cutFrom)) {
          Thread.sleep(4_000);
        } else {
          try {
            response =
                http.send(
                    HttpRequest.newBuilder(URI.create("http://" + to + "/hello"))
                        .timeout(Duration.ofSeconds(4))
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                    HttpResponse.BodyHandlers.ofString());
          } catch (java.io.IOException failed) {
            response = null;
          }
          if (cut || to.equals(cutFrom)) {
            response = null;
          }
        }
        long waitMs = 0;
        if (response != null && response.statusCode() != 200 && response.statusCode() != 421
            && response.statusCode() != 503) {
          lab.record("worker " + id + " report of " + body.length() + " bytes at " + to + ": "
              + response.statusCode() + " " + response.body());
        }
        synchronized (this) {
          if (response != null && response.statusCode() == 200) {
            Map<String, Object> map = Json.object(response.body());
            if (sentTurno == turno
                && map.get("baston") != null
                && Json.integer(map.get("baston")) >= token) {
              if (Json.integer(map.get("baston")) > token) {
                token = Json.integer(map.get("baston"));
                changed = true;
              }
              leaseFromNanos = sentNanos;
              execute(Json.list(map.get("ordenes")));
            }
          } else {
            int next = -1;
            if (response != null && response.statusCode() == 421) {
              Object name = Json.object(response.body()).get("capataz");
              next = name == null ? -1 : lab.nodeIndex((String) name);
            }
            if (next >= 0 && next != node) {
              node = next;
              waitMs = random.nextInt(300);
            } else {
              node = (node + 1) % nodes.size();
              waitMs = 1_000;
            }
            changed = true;
            lastNanos = 0;
          }
        }
        Thread.sleep(waitMs);
      }
    } catch (InterruptedException end) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException failure) {
      lab.record("worker " + id + " stand-in failed: " + failure);
    }
  }

  private Map<String, Object> report() {
    List<Object> list = new ArrayList<>();
    for (Task task : tasks.values()) {
      Map<String, Object> map =
          Json.of("pieza", task.name, "intento", task.attempt, "estado", task.state);
      if (task.why != null) {
        map.put("motivo", task.why);
      }
      list.add(map);
    }
    return Json.of(
        "sierra", id, "addr", address, "calibre", type, "patio", zone, "prestados", spot,
        "turno", turno, "folio", ++folio, "baston", token, "aviso_s", null, "piezas", list);
  }

  private Web.Answer direct(String method, String path, Map<String, String> query, String body)
      throws Exception {
    if (cut || gone) {
      Thread.sleep(60_000);
      return new Web.Answer(0, "");
    }
    synchronized (this) {
      if (path.equals("/inspect")) {
        return new Web.Answer(200, Json.text(report()));
      }
      Map<String, Object> map = Json.object(body);
      if (map.get("baston") == null || map.get("turno") == null) {
        return new Web.Answer(400, "{\"error\":\"baston or turno\"}");
      }
      long sent = Json.integer(map.get("baston"));
      if (sent < token || Json.integer(map.get("turno")) != turno) {
        return new Web.Answer(409, Json.text(report()));
      }
      if (sent > token) {
        token = sent;
        changed = true;
      }
      execute(Json.list(map.get("ordenes")));
      return new Web.Answer(200, Json.text(report()));
    }
  }

  private void execute(List<Object> orders) {
    for (Object each : orders) {
      Map<String, Object> order = Json.map(each);
      String name = (String) order.get("pieza");
      long attempt = Json.integer(order.get("intento"));
      switch ((String) order.get("orden")) {
        case "run" -> run(name, attempt);
        case "kill" -> {
          Task task = tasks.get(name + "#" + attempt);
          if (task != null && !task.state.equals("ended")) {
            task.state = "ended";
            task.why = "stopped";
            off(task, "stopped");
            changed = true;
          }
        }
        case "reap" -> {
          Task task = tasks.get(name + "#" + attempt);
          if (task != null && task.state.equals("ended")) {
            tasks.remove(name + "#" + attempt);
            changed = true;
          }
        }
        default -> lab.record("worker " + id + " unknown order " + order);
      }
    }
    notifyAll();
  }

  private void run(String name, long attempt) {
    if (tasks.containsKey(name + "#" + attempt)) {
      return;
    }
    changed = true;
    String jobId = name.substring(0, name.indexOf('/'));
    int index = Integer.parseInt(name.substring(name.indexOf('/') + 1));
    Map<String, Object> job = lab.job(jobId);
    Task task = new Task(name, attempt, job);
    tasks.put(name + "#" + attempt, task);
    task.state = "ended";
    if (job == null || index >= Json.num(job.get("piezas"))) {
      task.why = "no_such";
      lab.record("worker " + id + " was told to run " + name + ", which nobody sent");
      return;
    }
    double usedCpus = Json.dbl(job.get("vcpus"));
    double usedMemory = Json.dbl(job.get("mem_gb"));
    for (Iterator<Task> all = tasks.values().iterator(); all.hasNext(); ) {
      Task other = all.next();
      if (other != task && !other.state.equals("ended")) {
        if (other.name.equals(name)) {
          task.why = "busy";
          return;
        }
        usedCpus += Json.dbl(other.job.get("vcpus"));
        usedMemory += Json.dbl(other.job.get("mem_gb"));
      }
    }
    if (usedCpus > cpus + 1e-6 || usedMemory > memory + 1e-6) {
      task.why = "full";
      return;
    }
    task.state = "pulling";
    double fetchS =
        images.containsKey((String) job.get("molde"))
            ? 0
            : Json.dbl(job.get("image_gb")) / lab.fetchGbPerS;
    task.nextNanos = System.nanoTime() + (long) (fetchS * 1e9);
  }
}
