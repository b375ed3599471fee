package mallowstall.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mallowstall.Constants;
import mallowstall.core.Effects.RentReply;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.RentRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents machines of one type, zone and kind at a time, and knows those that are rented but not up.
 * One request is under way at most. Mutable.
 */
final class MachineRentals {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.fleet");

  private static final int OK = 200;
  private static final int NO_CAPACITY = 503;

  /** A machine that was rented and isn't up. */
  record Rented(String type, String zone, boolean spot, long at) {}

  private final EventClock clock;
  private final Effects effects;
  private final View view;
  private final MachineTypeCatalog types;
  private final OpenJobs openJobs;
  private final Store store;
  private final Budget calls;
  private final MachineDemand demand;
  private final StrandedJobs stranded;

  /** Called when a request is answered. */
  private final Runnable answered;

  private final Map<String, Rented> coming = new LinkedHashMap<>();

  /** Types, zones and kinds of which there are none, and how long they aren't asked for. */
  private final Map<String, Long> refusedUntil = new HashMap<>();

  private boolean asking;
  private int counter;

  MachineRentals(
      EventClock clock,
      Effects effects,
      Store store,
      View view,
      MachineTypeCatalog types,
      OpenJobs openJobs,
      MachineDemand demand,
      StrandedJobs stranded,
      Budget calls,
      Runnable answered) {
    this.clock = clock;
    this.effects = effects;
    this.view = view;
    this.types = types;
    this.openJobs = openJobs;
    this.store = store;
    this.calls = calls;
    this.demand = demand;
    this.stranded = stranded;
    this.answered = answered;
  }

  /** Machines that are rented and not up, by name. */
  Map<String, Rented> coming() {
    return coming;
  }

  /** Whether a request may be sent now. */
  boolean ready(long now) {
    return !asking && calls.has(now, 1, 0);
  }

  /** Rents for the type's demand where the machines that are there can't serve it; whether so. */
  boolean rentConstrained(String type, TypeDemand wanted, List<View.Seen> up, long now) {
    Map<String, Integer> perZone = new HashMap<>();
    Map<String, Integer> ordinaryIn = new HashMap<>();
    for (View.Seen machine : up) {
      if (machine.state.type().equals(type)) {
        count(machine.state.zone(), machine.state.spot(), perZone, ordinaryIn);
      }
    }
    for (Rented rented : coming.values()) {
      if (rented.type.equals(type)) {
        count(rented.zone, rented.spot, perZone, ordinaryIn);
      }
    }
    return rentPinned(type, wanted, perZone, ordinaryIn, now)
        || rentOrdinary(type, wanted, ordinaryIn, now);
  }

  private static void count(
      String zone, boolean spot, Map<String, Integer> perZone, Map<String, Integer> ordinaryIn) {
    perZone.merge(zone, 1, Integer::sum);
    if (!spot) {
      ordinaryIn.merge(zone, 1, Integer::sum);
    }
  }

  /**
   * Rents for jobs that only one zone can serve: enough machines elsewhere are of no use to them.
   * Counting them by type alone once left such a job waiting for good.
   */
  private boolean rentPinned(
      String type,
      TypeDemand wanted,
      Map<String, Integer> perZone,
      Map<String, Integer> ordinaryIn,
      long now) {
    for (Map.Entry<String, Double> pinned : wanted.pinned.entrySet()) {
      String zone = pinned.getKey();
      int missing = (int) Math.ceil(pinned.getValue()) - perZone.getOrDefault(zone, 0);
      if (missing > 0 && rentEither(type, zone, missing, now)) {
        return true;
      }
    }
    // A spot machine in the zone and an ordinary one elsewhere once passed for what such a job
    // needs.
    for (Map.Entry<String, Double> pinned : wanted.pinnedOrdinary.entrySet()) {
      String zone = pinned.getKey();
      int missing = (int) Math.ceil(pinned.getValue()) - ordinaryIn.getOrDefault(zone, 0);
      if (missing > 0 && rentIn(type, zone, false, missing, now)) {
        return true;
      }
    }
    return false;
  }

  /** Rents for jobs that spot machines can't serve. */
  private boolean rentOrdinary(
      String type, TypeDemand wanted, Map<String, Integer> ordinaryIn, long now) {
    int ordinary = ordinaryIn.values().stream().mapToInt(Integer::intValue).sum();
    int missing = (int) Math.ceil(wanted.ordinary) - ordinary;
    if (missing <= 0) {
      return false;
    }
    for (String zone : types.find(type).zones()) {
      if (rentIn(type, zone, false, missing, now)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Rents one machine for a job that has room on none, though there are enough by their number: a
   * replica that the others of its zone left no room for once waited for good, and so did a batch.
   */
  boolean rentForStranded(String type, List<View.Seen> up, long now) {
    if (openJobs.all().stream().noneMatch(job -> job.spec().service() && !job.over())) {
      return false;
    }
    stranded.retain(openJobs.all());
    for (JobRec job : openJobs.all()) {
      JobSpec spec = job.spec();
      if (job.over() || !type.equals(demand.minimalType(spec))) {
        continue;
      }
      for (String zone : stranded.zonesMissing(job, types.find(type), up, now)) {
        if (rentOne(type, zone, spec.spot(), now)) {
          LOG.info("job {} has room on no machine in {}", spec.id(), zone);
          return true;
        }
      }
    }
    return false;
  }

  /** Whether one has been asked for; not while a machine that may serve is coming. */
  private boolean rentOne(String type, String zone, boolean spotAllowed, long now) {
    for (Rented rented : coming.values()) {
      if (rented.type.equals(type) && rented.zone.equals(zone) && (spotAllowed || !rented.spot)) {
        return false;
      }
    }
    return spotAllowed ? rentEither(type, zone, 1, now) : rentIn(type, zone, false, 1, now);
  }

  /**
   * Rents some of the missing machines: spot ones before ordinary ones, and first in the zone that
   * has the fewest.
   */
  void rent(String type, int missing, int wanted, boolean spotAllowed, long now) {
    List<String> zones = zonesByFewest(type);
    int count = zones.size() > 1 ? (missing + 1) / 2 : missing;
    if (spotAllowed) {
      for (String zone : zones) {
        if (rentIn(type, zone, true, count, now)) {
          return;
        }
      }
      if (missing < Constants.ORDINARY_INSTEAD_SHARE * wanted) {
        return;
      }
    }
    for (String zone : zones) {
      if (rentIn(type, zone, false, count, now)) {
        return;
      }
    }
  }

  private List<String> zonesByFewest(String type) {
    Map<String, Integer> perZone = new HashMap<>();
    for (View.Seen machine : view.machines.values()) {
      if (machine.state != null && machine.state.type().equals(type)) {
        perZone.merge(machine.state.zone(), 1, Integer::sum);
      }
    }
    for (Rented rented : coming.values()) {
      if (rented.type.equals(type)) {
        perZone.merge(rented.zone, 1, Integer::sum);
      }
    }
    List<String> zones = new ArrayList<>(types.find(type).zones());
    zones.sort(Comparator.comparingInt(zone -> perZone.getOrDefault(zone, 0)));
    return zones;
  }

  private boolean rentEither(String type, String zone, int count, long now) {
    return rentIn(type, zone, true, count, now) || rentIn(type, zone, false, count, now);
  }

  /** Sends a request unless one like it was refused lately; whether so. */
  private boolean rentIn(String type, String zone, boolean spot, int count, long now) {
    String key = type + "/" + zone + "/" + spot;
    if (refusedUntil.getOrDefault(key, 0L) > now) {
      return false;
    }
    String name = "r-" + store.incarnation() + "-" + ++counter;
    send(new RentRequest(name, type, zone, spot, Math.min(Constants.RENT_MAX, count)), key);
    return true;
  }

  private void send(RentRequest request, String key) {
    asking = true;
    calls.spend(clock.now(), 1);
    LOG.info(
        "rent {} {} in {}{} as {}",
        request.count(),
        request.type(),
        request.zone(),
        request.spot() ? ", spot" : "",
        request.name());
    effects.rent(
        request,
        reply -> {
          asking = false;
          take(request, key, reply);
          answered.run();
        });
  }

  private void take(RentRequest request, String key, RentReply reply) {
    long now = clock.now();
    if (reply.status() == OK) {
      for (String id : reply.machines()) {
        coming.put(id, new Rented(request.type(), request.zone(), request.spot(), now));
      }
      int rented = reply.machines().size();
      LOG.info("rented {} of {} asked as {}", rented, request.count(), request.name());
      if (rented < request.count()) {
        refusedUntil.put(key, now + Constants.REFUSED_WAIT_MS);
      }
    } else if (reply.status() == NO_CAPACITY) {
      refusedUntil.put(key, now + Constants.REFUSED_WAIT_MS);
      LOG.info("refused {}", request.name());
    }
  }
}
