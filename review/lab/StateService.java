import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The state service of the protocol's page, in memory. Each node has a port of its own, so that one
 * node can be refused alone.
 */
final class StateService {
  /** What one node meets. */
  static final class Gate {
    /** Every request of the node gets 503, and its open watches wait. */
    volatile boolean refuse;

    /** Milliseconds that each request of the node waits before it is carried out. */
    volatile long delayMs;
  }

  private record Item(String json, long version, long lease) {}

  private record Change(long revision, String key, String json) {}

  private static final class Lease {
    long lifeMs;
    long endsNanos;
  }

  private static final int CHANGES_KEPT = 10_000;
  private static final int PAGE_BYTES = 512 << 10;

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final int valueBytes;
  private final int txnOps;
  private long revision;
  private long droppedUpTo;
  private long lastLease;
  private volatile boolean outage;
  long largestWatch;

  StateService(int valueKb, int txnOps) {
    this.valueBytes = valueKb << 10;
    this.txnOps = txnOps;
    Web.THREADS.execute(this::expireLeases);
  }

  /** Starts or ends an outage for all nodes. */
  synchronized void outage(boolean on) {
    outage = on;
    if (!on) {
      for (Lease lease : leases.values()) {
        lease.endsNanos = System.nanoTime() + lease.lifeMs * 1_000_000;
      }
    }
    notifyAll();
  }

  /** Wakes the watches of a gate that has changed. */
  synchronized void gateChanged() {
    notifyAll();
  }

  private void expireLeases() {
    while (true) {
      try {
        Thread.sleep(20);
      } catch (InterruptedException end) {
        return;
      }
      synchronized (this) {
        if (outage) {
          continue;
        }
        long now = System.nanoTime();
        for (Long id : new ArrayList<>(leases.keySet())) {
          if (now - leases.get(id).endsNanos > 0) {
            endLease(id);
          }
        }
      }
    }
  }

  private void endLease(long id) {
    leases.remove(id);
    Set<String> keys = new LinkedHashSet<>();
    items.forEach(
        (key, item) -> {
          if (item.lease == id) {
            keys.add(key);
          }
        });
    if (!keys.isEmpty()) {
      revision++;
      for (String key : keys) {
        items.remove(key);
        record(key, null);
      }
      notifyAll();
    }
  }

  private void record(String key, String json) {
    changes.addLast(new Change(revision, key, json));
    while (changes.size() > CHANGES_KEPT) {
      droppedUpTo = changes.removeFirst().revision;
    }
  }

  /** Returns the stored JSON of a key, or null. */
  synchronized String get(String key) {
    Item item = items.get(key);
    return item == null ? null : item.json;
  }

  synchronized int count(String prefix) {
    return items.subMap(prefix, prefix + '\uffff').size();
  }

  synchronized List<String> keys(String prefix) {
    return new ArrayList<>(items.subMap(prefix, prefix + '\uffff').keySet());
  }

  /** Stores a key, as a transaction would. */
  synchronized void put(String key, String json) {
    revision++;
    items.put(key, new Item(json, revision, 0));
    record(key, json);
    notifyAll();
  }

  /** Serves a node on the port. */
  Gate serve(int port) throws Exception {
    Gate gate = new Gate();
    Web.serve(
        port,
        (method, path, query, body) -> {
          if (gate.delayMs > 0) {
            Thread.sleep(gate.delayMs);
          }
          if (outage || gate.refuse) {
            return new Web.Answer(503, "{\"error\":\"trouble\"}");
          }
          return handle(gate, method, path, query, body);
        });
    return gate;
  }

  private Web.Answer handle(
      Gate gate, String method, String path, Map<String, String> query, String body)
      throws Exception {
    if (path.equals("/multi") && method.equals("POST")) {
      return transact(Json.object(body));
    }
    if (path.equals("/keys") && method.equals("GET")) {
      return list(query);
    }
    if (path.startsWith("/keys/") && method.equals("GET")) {
      return read(path.substring("/keys/".length()));
    }
    if (path.equals("/changes") && method.equals("GET")) {
      return watch(gate, query);
    }
    if (path.equals("/leases") && method.equals("POST")) {
      return grant(Json.num(Json.object(body).get("life_ms")));
    }
    if (path.startsWith("/leases/")) {
      String rest = path.substring("/leases/".length());
      if (method.equals("POST") && rest.endsWith("/renew")) {
        return renew(Long.parseLong(rest.substring(0, rest.length() - "/renew".length())));
      }
      if (method.equals("DELETE")) {
        synchronized (this) {
          endLease(Long.parseLong(rest));
        }
        return new Web.Answer(200, "{}");
      }
    }
    return new Web.Answer(400, "{\"error\":\"no such call\"}");
  }

  private synchronized Web.Answer grant(long lifeMs) {
    if (lifeMs < 100 || lifeMs > 600_000) {
      return new Web.Answer(400, "{\"error\":\"life_ms\"}");
    }
    Lease lease = new Lease();
    lease.lifeMs = lifeMs;
    lease.endsNanos = System.nanoTime() + lifeMs * 1_000_000;
    leases.put(++lastLease, lease);
    return new Web.Answer(200, "{\"permiso\":" + lastLease + "}");
  }

  private synchronized Web.Answer renew(long id) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return new Web.Answer(404, "{\"error\":\"no such lease\"}");
    }
    lease.endsNanos = System.nanoTime() + lease.lifeMs * 1_000_000;
    return new Web.Answer(200, "{\"permiso\":" + id + "}");
  }

  private synchronized Web.Answer read(String key) {
    Item item = items.get(key);
    if (item == null) {
      return new Web.Answer(404, "{\"tirada\":" + revision + "}");
    }
    StringBuilder out = new StringBuilder("{");
    writeItem(out, key, item);
    return new Web.Answer(200, out.append('}').toString());
  }

  private static void writeItem(StringBuilder out, String key, Item item) {
    out.append("\"key\":\"").append(key).append("\",\"data\":").append(item.json);
    out.append(",\"sello\":").append(item.version);
    if (item.lease != 0) {
      out.append(",\"permiso\":").append(item.lease);
    }
  }

  private synchronized Web.Answer list(Map<String, String> query) {
    String prefix = query.getOrDefault("under", "");
    String after = query.get("after");
    int page = Math.min(1_000, Integer.parseInt(query.getOrDefault("page", "1000")));
    StringBuilder out = new StringBuilder("{\"entries\":[");
    int count = 0;
    boolean more = false;
    for (Map.Entry<String, Item> entry :
        items.tailMap(after == null ? prefix : after, after == null).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        if (entry.getKey().compareTo(prefix) < 0) {
          continue;
        }
        break;
      }
      if (count == page || out.length() + entry.getValue().json.length() > PAGE_BYTES) {
        more = true;
        break;
      }
      out.append(count++ == 0 ? "{" : ",{");
      writeItem(out, entry.getKey(), entry.getValue());
      out.append('}');
    }
    return new Web.Answer(
        200, out.append("],\"has_next\":" + more + ",\"tirada\":" + revision + "}").toString());
  }

  private synchronized Web.Answer watch(Gate gate, Map<String, String> query) throws Exception {
    String prefix = query.getOrDefault("under", "");
    long after = Long.parseLong(query.getOrDefault("after", "0"));
    long holdMs = Math.min(60_000, Long.parseLong(query.getOrDefault("hold_ms", "0")));
    long end = System.nanoTime() + holdMs * 1_000_000;
    while (true) {
      boolean silent = outage || gate.refuse;
      if (!silent) {
        if (after < droppedUpTo) {
          return new Web.Answer(410, "{\"error\":\"too old\",\"tirada\":" + revision + "}");
        }
        StringBuilder out = new StringBuilder();
        for (Change change : changes) {
          if (change.revision <= after || !change.key.startsWith(prefix)) {
            continue;
          }
          out.append(out.length() == 0 ? "{" : ",{");
          if (change.json == null) {
            out.append("\"drop\":\"").append(change.key).append('"');
          } else {
            out.append("\"set\":\"").append(change.key).append("\",\"data\":").append(change.json);
          }
          out.append(",\"sello\":").append(change.revision).append('}');
        }
        long leftMs = (end - System.nanoTime()) / 1_000_000;
        if (out.length() > 0 || leftMs <= 0) {
          largestWatch = Math.max(largestWatch, out.length());
          return new Web.Answer(
              200, "{\"tirada\":" + revision + ",\"events\":[" + out + "]}");
        }
        wait(Math.max(1, leftMs));
      } else {
        wait(50);
      }
    }
  }

  private synchronized Web.Answer transact(Map<String, Object> request) {
    List<Object> conditions = Json.list(request.get("when"));
    List<Object> operations = Json.list(request.get("then"));
    if (operations.size() > txnOps || conditions.size() > 4 * txnOps) {
      return new Web.Answer(400, "{\"error\":\"too many operations\"}");
    }
    Set<String> seen = new HashSet<>();
    for (Object operation : operations) {
      Map<String, Object> map = Json.map(operation);
      String key = (String) (map.containsKey("set") ? map.get("set") : map.get("drop"));
      if (key == null || key.isEmpty() || key.length() > 200 || !seen.add(key)) {
        return new Web.Answer(400, "{\"error\":\"key\"}");
      }
      if (map.containsKey("set") && Json.text(map.get("data")).length() > valueBytes) {
        return new Web.Answer(400, "{\"error\":\"the value is too large\"}");
      }
      long lease = Json.num(map.get("permiso"));
      if (lease != 0 && !leases.containsKey(lease)) {
        return new Web.Answer(400, "{\"error\":\"no such lease\"}");
      }
    }
    List<Object> failed = new ArrayList<>();
    for (Object condition : conditions) {
      Map<String, Object> map = Json.map(condition);
      Item item = items.get((String) map.get("key"));
      if ((item == null ? 0 : item.version) != Json.integer(map.get("sello"))) {
        failed.add(map.get("key"));
      }
    }
    if (!failed.isEmpty()) {
      return new Web.Answer(
          409, "{\"failed\":" + Json.text(failed) + ",\"tirada\":" + revision + "}");
    }
    if (!operations.isEmpty()) {
      revision++;
      for (Object operation : operations) {
        Map<String, Object> map = Json.map(operation);
        if (map.containsKey("set")) {
          String json = Json.text(map.get("data"));
          items.put(
              (String) map.get("set"), new Item(json, revision, Json.num(map.get("permiso"))));
          record((String) map.get("set"), json);
        } else if (items.remove((String) map.get("drop")) != null) {
          record((String) map.get("drop"), null);
        }
      }
      notifyAll();
    }
    return new Web.Answer(200, "{\"tirada\":" + revision + "}");
  }
}
