import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the cloud (protocol, "Controller nodes -> cloud"). */
final class Cloud {
  private static final class Machine {
    String name;
    String type;
    String zone;
    boolean spot;
    long rentedMs;
    long upMs;
    long goneMs;
    Worker worker;
  }

  private final Lab lab;
  private final TreeMap<String, Machine> machines = new TreeMap<>();
  private final Map<String, List<Object>> rentals = new LinkedHashMap<>();
  private int counter;

  /** Machines that may still be rented, whatever their zone and kind. */
  volatile int capacity;

  /** The only zone in which machines may be rented, or null for any. */
  volatile String rentableZone;

  /** The only type that may be rented, or null for any. */
  volatile String rentable;

  /** Whether what is given back can be rented again. */
  volatile boolean restocks;

  /** Time from the rental of a machine until its worker reports, in milliseconds. */
  volatile int bootMs = 2_000;

  Cloud(Lab lab) {
    this.lab = lab;
  }

  /** Adds a machine that is up already. */
  synchronized Worker add(String type, String zone, boolean spot) {
    Machine machine = create(type, zone, spot);
    machine.rentedMs = Lab.now() - 5_000;
    machine.upMs = Lab.now();
    machine.worker = lab.startWorker(machine.name, type, zone, spot);
    return machine.worker;
  }

  private Machine create(String type, String zone, boolean spot) {
    Machine machine = new Machine();
    machine.name = String.format("m-%06d", ++counter);
    machine.type = type;
    machine.zone = zone;
    machine.spot = spot;
    machines.put(machine.name, machine);
    return machine;
  }

  synchronized Http.Reply handle(Http.Request request) {
    String path = request.path();
    if (path.startsWith("/flavors")) {
      List<Object> types = new ArrayList<>();
      for (Lab.Type type : lab.types) {
        types.add(
            Json.of(
                "label", type.name(), "vcpus", type.cpus(), "gpus", 0, "mem_gb", type.memoryGb(),
                "local_gb", type.cacheGb(), "fetch_gb_per_s", type.fetchGbPerS(), "rate",
                type.price(), "market_price", type.spotPrice(), "ready_s", type.bootS(), "patios",
                lab.zones));
      }
      return new Http.Reply(200, Json.write(Json.of("calibres", types)));
    }
    if (path.equals("/machines") && request.method().equals("POST")) {
      return rent(Json.object(request.body()));
    }
    if (path.equals("/machines/return")) {
      return giveBack(Json.object(request.body()));
    }
    if (path.startsWith("/machines")) {
      return list(path);
    }
    return new Http.Reply(400, "{}");
  }

  private Http.Reply rent(Map<String, Object> body) {
    String name = (String) body.get("alquiler");
    List<Object> known = rentals.get(name);
    if (known != null) {
      return new Http.Reply(200, Json.write(Json.of("sierras", known)));
    }
    int count = Math.min(capacity, ((Number) body.get("how_many")).intValue());
    if (rentableZone != null && !rentableZone.equals(body.get("patio"))) {
      count = 0;
    }
    if (rentable != null && !rentable.equals(body.get("calibre"))) {
      count = 0;
    }
    if (count <= 0) {
      return new Http.Reply(503, "{\"error\":\"no capacity\"}");
    }
    List<Object> names = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      capacity--;
      Machine machine =
          create(
              (String) body.get("calibre"), (String) body.get("patio"),
              (Boolean) body.get("prestados"));
      machine.rentedMs = Lab.now();
      names.add(machine.name);
      Http.thread(
          "boot-" + machine.name,
          () -> {
            Lab.sleep(bootMs);
            synchronized (this) {
              if (machine.goneMs == 0) {
                machine.upMs = Lab.now();
                machine.worker =
                    lab.startWorker(machine.name, machine.type, machine.zone, machine.spot);
              }
            }
          });
    }
    rentals.put(name, names);
    lab.record("cloud rents " + names);
    return new Http.Reply(200, Json.write(Json.of("sierras", names)));
  }

  private Http.Reply giveBack(Map<String, Object> body) {
    for (Object name : (List<?>) body.get("sierras")) {
      Machine machine = machines.get((String) name);
      if (machine != null && machine.goneMs == 0) {
        machine.goneMs = Lab.now();
        if (restocks) {
          capacity++;
        }
        if (machine.worker != null) {
          machine.worker.stop();
        }
        lab.record("cloud takes back " + name);
      }
    }
    return new Http.Reply(200, "{}");
  }

  private Http.Reply list(String path) {
    String after = "";
    int page = 500;
    int mark = path.indexOf('?');
    if (mark >= 0) {
      for (String part : path.substring(mark + 1).split("&")) {
        if (part.startsWith("after=")) {
          after = part.substring(6);
        } else if (part.startsWith("page=")) {
          page = Math.min(500, Integer.parseInt(part.substring(5)));
        }
      }
    }
    long at = Lab.now() - (long) (lab.listLagS * 1000);
    List<Object> listed = new ArrayList<>();
    boolean more = false;
    for (Machine machine : machines.tailMap(after, false).values()) {
      if (machine.rentedMs > at || (machine.goneMs != 0 && machine.goneMs <= at)) {
        continue;
      }
      if (listed.size() == page) {
        more = true;
        break;
      }
      listed.add(
          Json.of(
              "ref", machine.name, "addr", "127.0.0.1:1", "calibre", machine.type, "patio",
              machine.zone, "prestados", machine.spot, "estado",
              machine.upMs != 0 && machine.upMs <= at ? "running" : "starting", "held_s",
              (at - machine.rentedMs) / 1000.0));
    }
    return new Http.Reply(200, Json.write(Json.of("sierras", listed, "has_next", more)));
  }
}
