import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the state service (protocol, "Controller nodes -> state service"). */
final class StateService {
  private record Entry(Object data, long revision, long lease) {}

  private record Change(long revision, String key, Object data) {}

  private static final class Lease {
    long lifeMs;
    long endMs;
  }

  private final Lab lab;
  private final double requestsPerS;
  private final double writesPerS;
  private final int valueBytes;
  private final int maxOps;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final LinkedList<Change> changes = new LinkedList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long revision = 1;
  private long firstKept = 1;
  private long nextLease = 1;
  private double requestTokens;
  private double writeTokens;
  private long refilledNs = System.nanoTime();

  StateService(Lab lab) {
    this.lab = lab;
    requestsPerS = lab.stateRps;
    writesPerS = lab.stateWriteRps;
    valueBytes = lab.valueKb * 1024;
    maxOps = lab.txnOps;
    requestTokens = requestsPerS;
    writeTokens = writesPerS;
    Http.thread(
        "leases",
        () -> {
          while (true) {
            Lab.sleep(20);
            expire();
          }
        });
  }

  private synchronized void expire() {
    long now = Lab.now();
    for (Long id : new ArrayList<>(leases.keySet())) {
      if (leases.get(id).endMs + 20 < now) {
        end(id);
      }
    }
  }

  private void end(long id) {
    leases.remove(id);
    List<String> gone = new ArrayList<>();
    entries.forEach(
        (key, entry) -> {
          if (entry.lease == id) {
            gone.add(key);
          }
        });
    if (!gone.isEmpty()) {
      revision++;
      for (String key : gone) {
        entries.remove(key);
        addChange(key, null);
      }
      notifyAll();
    }
  }

  private void addChange(String key, Object data) {
    changes.add(new Change(revision, key, data));
    while (changes.size() > 10_000) {
      firstKept = changes.removeFirst().revision + 1;
    }
  }

  private boolean spend(double writes) {
    long now = System.nanoTime();
    double seconds = (now - refilledNs) / 1e9;
    refilledNs = now;
    requestTokens = Math.min(requestsPerS, requestTokens + seconds * requestsPerS);
    writeTokens = Math.min(writesPerS, writeTokens + seconds * writesPerS);
    if (writes < 0) {
      if (requestTokens < 1) {
        return false;
      }
      requestTokens--;
      return true;
    }
    if (writeTokens < writes) {
      return false;
    }
    writeTokens -= writes;
    return true;
  }

  synchronized Object get(String key) {
    Entry entry = entries.get(key);
    return entry == null ? null : entry.data;
  }

  synchronized List<String> keys(String prefix) {
    List<String> found = new ArrayList<>();
    for (String key : entries.tailMap(prefix).keySet()) {
      if (!key.startsWith(prefix)) {
        break;
      }
      found.add(key);
    }
    return found;
  }

  Http.Reply handle(Http.Request request) throws InterruptedException {
    Lab.sleep(lab.stateLatencyMs);
    String path = request.path();
    String query = "";
    int mark = path.indexOf('?');
    if (mark >= 0) {
      query = path.substring(mark + 1);
      path = path.substring(0, mark);
    }
    Map<String, String> arguments = new HashMap<>();
    for (String part : query.split("&")) {
      int equals = part.indexOf('=');
      if (equals > 0) {
        arguments.put(
            part.substring(0, equals),
            java.net.URLDecoder.decode(
                part.substring(equals + 1), java.nio.charset.StandardCharsets.UTF_8));
      }
    }
    synchronized (this) {
      if (!spend(-1)) {
        return new Http.Reply(429, "{\"error\":\"rate\"}");
      }
      if (path.startsWith("/keys/")) {
        return read(path.substring(6));
      }
      if (path.equals("/keys")) {
        return list(arguments);
      }
      if (path.equals("/multi")) {
        if (request.body().getBytes(java.nio.charset.StandardCharsets.UTF_8).length > 64 * 1024) {
          lab.record("state service: transaction of " + request.body().length() + " bytes refused");
          return new Http.Reply(400, "{\"error\":\"too large\"}");
        }
        return transact(Json.object(request.body()));
      }
      if (path.equals("/changes")) {
        return watch(arguments);
      }
      if (path.equals("/leases")) {
        Lease lease = new Lease();
        lease.lifeMs = ((Number) Json.object(request.body()).get("life_ms")).longValue();
        lease.endMs = Lab.now() + lease.lifeMs;
        leases.put(++nextLease, lease);
        return new Http.Reply(200, "{\"permiso\":" + nextLease + "}");
      }
      if (path.startsWith("/leases/")) {
        String rest = path.substring(8);
        boolean renew = rest.endsWith("/renew");
        long id = Long.parseLong(renew ? rest.substring(0, rest.length() - 6) : rest);
        Lease lease = leases.get(id);
        if (lease == null || lease.endMs < Lab.now()) {
          return new Http.Reply(404, "{}");
        }
        if (renew) {
          lease.endMs = Lab.now() + lease.lifeMs;
        } else {
          end(id);
        }
        return new Http.Reply(200, "{\"permiso\":" + id + "}");
      }
      return new Http.Reply(400, "{}");
    }
  }

  private Http.Reply read(String key) {
    Entry entry = entries.get(key);
    if (entry == null) {
      return new Http.Reply(404, "{\"tirada\":" + revision + "}");
    }
    return new Http.Reply(200, Json.write(item(key, entry)));
  }

  private static Map<String, Object> item(String key, Entry entry) {
    Map<String, Object> item = Json.of("key", key, "data", entry.data, "sello", entry.revision);
    if (entry.lease != 0) {
      item.put("permiso", entry.lease);
    }
    return item;
  }

  private Http.Reply list(Map<String, String> arguments) {
    String under = arguments.getOrDefault("under", "");
    String after = arguments.get("after");
    int page = Math.min(1_000, Integer.parseInt(arguments.getOrDefault("page", "1000")));
    StringBuilder out = new StringBuilder("{\"entries\":[");
    int count = 0;
    boolean more = false;
    Map<String, Entry> tail =
        after == null || after.compareTo(under) < 0
            ? entries.tailMap(under, true)
            : entries.tailMap(after, false);
    for (Map.Entry<String, Entry> entry : tail.entrySet()) {
      if (!entry.getKey().startsWith(under)) {
        break;
      }
      if (count >= page || out.length() > 480 * 1024) {
        more = true;
        break;
      }
      out.append(count++ == 0 ? "" : ",").append(Json.write(item(entry.getKey(), entry.getValue())));
    }
    out.append("],\"has_next\":").append(more).append(",\"tirada\":").append(revision).append('}');
    return new Http.Reply(200, out.toString());
  }

  @SuppressWarnings("unchecked")
  private Http.Reply transact(Map<String, Object> body) {
    List<Object> when = (List<Object>) body.getOrDefault("when", List.of());
    List<Object> then = (List<Object>) body.getOrDefault("then", List.of());
    if (then.size() > maxOps || when.size() > 4 * maxOps) {
      return new Http.Reply(400, "{\"error\":\"too many\"}");
    }
    if (!spend(then.size())) {
      return new Http.Reply(429, "{\"error\":\"rate\"}");
    }
    for (Object element : then) {
      Map<String, Object> op = (Map<String, Object>) element;
      if (op.containsKey("set")) {
        if (Json.write(op.get("data")).length() > valueBytes) {
          return new Http.Reply(400, "{\"error\":\"too large\"}");
        }
        Number lease = (Number) op.get("permiso");
        if (lease != null) {
          Lease found = leases.get(lease.longValue());
          if (found == null || found.endMs < Lab.now()) {
            return new Http.Reply(400, "{\"error\":\"no such lease\"}");
          }
        }
      }
    }
    List<Object> failed = new ArrayList<>();
    for (Object element : when) {
      Map<String, Object> condition = (Map<String, Object>) element;
      Entry entry = entries.get((String) condition.get("key"));
      long expected = ((Number) condition.get("sello")).longValue();
      if ((entry == null ? 0 : entry.revision) != expected) {
        failed.add(condition.get("key"));
      }
    }
    if (!failed.isEmpty()) {
      return new Http.Reply(409, Json.write(Json.of("failed", failed, "tirada", revision)));
    }
    if (!then.isEmpty()) {
      revision++;
      for (Object element : then) {
        Map<String, Object> op = (Map<String, Object>) element;
        if (op.containsKey("set")) {
          Number lease = (Number) op.get("permiso");
          String key = (String) op.get("set");
          entries.put(
              key, new Entry(op.get("data"), revision, lease == null ? 0 : lease.longValue()));
          addChange(key, op.get("data"));
        } else if (entries.remove((String) op.get("drop")) != null) {
          addChange((String) op.get("drop"), null);
        }
      }
      notifyAll();
    }
    return new Http.Reply(200, "{\"tirada\":" + revision + "}");
  }

  private Http.Reply watch(Map<String, String> arguments) throws InterruptedException {
    String under = arguments.getOrDefault("under", "");
    long after = Long.parseLong(arguments.getOrDefault("after", "0"));
    long end =
        Lab.now() + Math.min(60_000, Long.parseLong(arguments.getOrDefault("hold_ms", "0")));
    while (true) {
      if (after + 1 < firstKept) {
        return new Http.Reply(410, "{}");
      }
      List<Object> events = new ArrayList<>();
      for (Change change : changes) {
        if (change.revision > after && change.key.startsWith(under)) {
          Map<String, Object> event = new LinkedHashMap<>();
          if (change.data == null) {
            event.put("drop", change.key);
          } else {
            event.put("set", change.key);
            event.put("data", change.data);
          }
          event.put("sello", change.revision);
          events.add(event);
        }
      }
      long left = end - Lab.now();
      if (!events.isEmpty() || left <= 0) {
        return new Http.Reply(200, Json.write(Json.of("tirada", revision, "events", events)));
      }
      wait(left);
    }
  }
}
