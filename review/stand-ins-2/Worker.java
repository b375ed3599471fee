import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** A stand-in for the worker of one machine (protocol, "Workers -> controller nodes"). */
final class Worker {
  /** A task attempt on this machine. */
  static final class Task {
    String name;
    long attempt;
    String state;
    String reason;
    Lab.Job job;
    long endMs;
    boolean fails;
  }

  final String id;
  final String type;
  final String zone;
  final boolean spot;
  private final Lab lab;
  private final Lab.Type kind;
  private final Random random;
  private final Http.Server server;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Map<String, Long> imageReadyMs = new HashMap<>();
  private final Set<String> results = new HashSet<>();
  private volatile int node;

  /** When the last report was answered with 200, and how often that was. */
  volatile long answeredMs;

  volatile int answers;
  private volatile boolean stopped;
  private long session = 1;
  private long sequence;
  private long token;
  private long renewedMs = Lab.now();
  private boolean changed;

  /** While true, the machine hangs: nothing on it goes on, and requests to it wait. */
  volatile boolean hangs;

  /** While true, no message passes between this machine and any other; those to it wait. */
  volatile boolean cut;

  /** Whether messages that a cut has held are delivered after it; else they are lost. */
  volatile boolean deliversLate;

  /** While true, tasks that begin to run here fail soon. */
  volatile boolean faulty;

  private long hangsSinceMs;

  /** The port that is told as this worker's address; a relay may stand there. */
  volatile int toldPort;

  Worker(Lab lab, String id, String type, String zone, boolean spot) throws IOException {
    this.lab = lab;
    this.id = id;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.kind = lab.type(type);
    this.random = new Random(id.hashCode());
    server = new Http.Server(0, this::handle);
    toldPort = server.port;
    node = random.nextInt(lab.nodes.size());
  }

  int port() {
    return server.port;
  }

  void start() {
    Http.thread("worker-" + id, this::reportLoop);
    Http.thread("tasks-" + id, this::taskLoop);
  }

  synchronized void stop() {
    stopped = true;
    for (Task task : tasks.values()) {
      if (!task.state.equals("ended")) {
        lab.offMachine(task, this, "machine gone");
      }
    }
    tasks.clear();
    server.close();
  }

  /** Returns the index of the controller that this worker reports to. */
  int node() {
    return node;
  }

  /** Begins or ends a hang of the machine. Its tasks go on where they were. */
  synchronized void setHangs(boolean on) {
    if (on) {
      hangsSinceMs = Lab.now();
    } else {
      for (Task task : tasks.values()) {
        task.endMs += Lab.now() - hangsSinceMs;
      }
    }
    hangs = on;
  }

  synchronized boolean lists(String task) {
    return tasks.values().stream().anyMatch(t -> t.name.equals(task));
  }

  synchronized boolean runs(String task) {
    return tasks.values().stream().anyMatch(t -> t.name.equals(task) && t.state.equals("running"));
  }

  synchronized double freeCpus() {
    double free = kind.cpus();
    for (Task task : tasks.values()) {
      if (!task.state.equals("ended")) {
        free -= task.job.cpus;
      }
    }
    return free;
  }

  synchronized double freeMemoryGb() {
    double free = kind.memoryGb();
    for (Task task : tasks.values()) {
      if (!task.state.equals("ended")) {
        free -= task.job.memoryGb;
      }
    }
    return free;
  }

  synchronized long token() {
    return token;
  }

  private void reportLoop() {
    Http.Client client = null;
    int connected = -1;
    long lastMs = 0;
    long dueMs = 0;
    while (!stopped) {
      long now = Lab.now();
      if (hangs) {
        Lab.sleep(20);
        continue;
      }
      synchronized (this) {
        if (changed && now - lastMs >= 500) {
          dueMs = Math.min(dueMs, now);
        }
      }
      if (now < dueMs) {
        Lab.sleep(20);
        continue;
      }
      if (client == null || connected != node) {
        if (client != null) {
          client.close();
        }
        connected = node;
        client = new Http.Client(lab.nodes.get(connected).workersPort);
      }
      String body;
      long sentSession;
      synchronized (this) {
        changed = false;
        body = report();
        sentSession = session;
      }
      long sentMs = Lab.now();
      lastMs = sentMs;
      Http.Reply reply = cut ? null : client.call("POST", "/hello", body, 4_000);
      if (cut || hangs) {
        while (hangs && !stopped) {
          Lab.sleep(20);
        }
        if (cut) {
          Lab.sleep(Math.max(0, sentMs + 4_000 - Lab.now()));
        }
        reply = null;
      }
      double interval = lab.reportS * (0.75 + random.nextDouble() / 2);
      dueMs = sentMs + (long) (interval * 1000);
      if (reply != null && reply.status() == 200) {
        answered(Json.object(reply.body()), sentMs, sentSession);
      } else if (reply != null && reply.status() == 421) {
        client.close();
        String leader = (String) Json.object(reply.body()).get("capataz");
        int next = lab.nodeIndex(leader);
        if (next >= 0 && next != node) {
          node = next;
          dueMs = Lab.now() + random.nextInt(500);
        } else {
          node = (node + 1) % lab.nodes.size();
          dueMs = Lab.now() + 1_000;
        }
      } else {
        client.close();
        node = (node + 1) % lab.nodes.size();
        dueMs = Lab.now() + 1_000;
      }
    }
    if (client != null) {
      client.close();
    }
  }

  @SuppressWarnings("unchecked")
  private synchronized void answered(Map<String, Object> reply, long sentMs, long sentSession) {
    Number told = (Number) reply.get("baston");
    if (told == null || told.longValue() < token || sentSession != session || stopped) {
      return;
    }
    if (told.longValue() > token) {
      token = told.longValue();
      changed = true;
    }
    renewedMs = sentMs;
    answeredMs = Lab.now();
    answers++;
    List<Object> commands = (List<Object>) reply.get("ordenes");
    if (commands != null) {
      execute(commands, "answer");
    }
  }

  private String report() {
    List<Object> listed = new ArrayList<>();
    for (Task task : tasks.values()) {
      Map<String, Object> item =
          Json.of("pieza", task.name, "intento", task.attempt, "estado", task.state);
      if (task.reason != null) {
        item.put("motivo", task.reason);
      }
      listed.add(item);
    }
    return Json.write(
        Json.of(
            "sierra", id, "addr", "127.0.0.1:" + toldPort, "calibre", type, "patio", zone,
            "prestados", spot, "turno", session, "folio", ++sequence, "baston", token, "aviso_s",
            null, "piezas", listed));
  }

  private Http.Reply handle(Http.Request request) {
    boolean late = false;
    while ((hangs || cut) && !stopped) {
      late |= cut;
      if (late && !deliversLate) {
        Lab.sleep(3_000);
        return null;
      }
      Lab.sleep(10);
    }
    return handleNow(request);
  }

  @SuppressWarnings("unchecked")
  private synchronized Http.Reply handleNow(Http.Request request) {
    if (stopped) {
      return null;
    }
    checkLease();
    if (request.path().equals("/inspect")) {
      return new Http.Reply(200, report());
    }
    Map<String, Object> body = Json.object(request.body());
    Number told = (Number) body.get("baston");
    Number turn = (Number) body.get("turno");
    if (told == null || turn == null) {
      return new Http.Reply(400, "{}");
    }
    if (told.longValue() < token || turn.longValue() != session) {
      return new Http.Reply(409, report());
    }
    if (told.longValue() > token) {
      token = told.longValue();
      changed = true;
    }
    execute((List<Object>) body.getOrDefault("ordenes", List.of()), "orders");
    return new Http.Reply(200, report());
  }

  @SuppressWarnings("unchecked")
  private void execute(List<Object> commands, String from) {
    for (Object element : commands) {
      Map<String, Object> command = (Map<String, Object>) element;
      String name = (String) command.get("pieza");
      long attempt = ((Number) command.get("intento")).longValue();
      String key = name + "#" + attempt;
      Task task = tasks.get(key);
      switch ((String) command.get("orden")) {
        case "run" -> {
          if (task == null) {
            run(name, attempt, from);
          }
        }
        case "kill" -> {
          if (task != null && !task.state.equals("ended")) {
            exit(task, "stopped");
          }
        }
        default -> {
          if (task != null && task.state.equals("ended")) {
            tasks.remove(key);
            changed = true;
            lab.recordTask(name, "reap " + key + " on " + id);
          }
        }
      }
    }
  }

  private void run(String name, long attempt, String from) {
    Task task = new Task();
    task.name = name;
    task.attempt = attempt;
    task.job = lab.jobs.get(name.substring(0, name.indexOf('/')));
    boolean busy = tasks.values().stream().anyMatch(t -> t.name.equals(name) && t.reason == null);
    boolean fits =
        task.job != null
            && freeCpus() + 1e-9 >= task.job.cpus
            && freeMemoryGb() + 1e-9 >= task.job.memoryGb;
    tasks.put(name + "#" + attempt, task);
    changed = true;
    lab.recordTask(name, "run " + name + "#" + attempt + " on " + id + " by " + from);
    if (task.job == null || busy || !fits) {
      task.state = "ended";
      task.reason = task.job == null ? "no_such" : busy ? "busy" : "full";
      lab.recordTask(name, "refused " + name + "#" + attempt + " on " + id + ": " + task.reason);
      return;
    }
    long now = Lab.now();
    imageReadyMs.computeIfAbsent(
        task.job.image, k -> now + (long) (task.job.imageGb / kind.fetchGbPerS() * 1000));
    task.state = "pulling";
    advance(task, now);
  }

  private void advance(Task task, long now) {
    if (task.state.equals("pulling") && imageReadyMs.get(task.job.image) <= now) {
      task.state = "running";
      task.endMs = now + (results.contains(task.name) ? 0 : runMs(task));
      task.fails = faulty && !results.contains(task.name);
      if (task.fails) {
        task.endMs = now + 300;
      }
      changed = true;
      lab.onMachine(task, this);
    }
    if (task.state.equals("running") && task.endMs <= now) {
      if (task.fails) {
        exit(task, "error");
      } else {
        results.add(task.name);
        lab.done(task);
        exit(task, "done");
      }
    }
  }

  private static long runMs(Task task) {
    int number = Integer.parseInt(task.name.substring(task.name.indexOf('/') + 1));
    return (long) ((task.job.runS + task.job.runMoreS * number / task.job.tasks) * 1000);
  }

  private void exit(Task task, String reason) {
    boolean wasOn = task.state.equals("running");
    task.state = "ended";
    task.reason = reason;
    changed = true;
    if (wasOn) {
      lab.offMachine(task, this, reason);
    } else {
      lab.recordTask(
          task.name, reason + " " + task.name + "#" + task.attempt + " on " + id + " before its image");
    }
  }

  private void checkLease() {
    if (Lab.now() - renewedMs <= lab.leaseS * 1000) {
      return;
    }
    lab.record("lease of " + id + " is over, session " + session);
    for (Task task : tasks.values()) {
      if (task.state.equals("running")) {
        lab.offMachine(task, this, "lease over");
      }
    }
    tasks.clear();
    session++;
    renewedMs = Lab.now();
    changed = true;
  }

  private void taskLoop() {
    while (!stopped) {
      Lab.sleep(20);
      synchronized (this) {
        if (stopped) {
          return;
        }
        if (hangs) {
          // A machine that hangs for longer than its lease doesn't go on with its tasks.
          if (Lab.now() - renewedMs > lab.leaseS * 1000) {
            checkLease();
          }
          continue;
        }
        checkLease();
        long now = Lab.now();
        for (Task task : new ArrayList<>(tasks.values())) {
          if (!task.state.equals("ended")) {
            advance(task, now);
          }
        }
      }
    }
  }
}
