package mallowstall.core.autoscaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mallowstall.Constants;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.cluster.OpenJobs;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.ScaleOutResult;
import mallowstall.core.kernel.TokenBucket;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.ScaleOutRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents machines of one type, zone and kind at a time, and knows those that are rented but not up.
 * One request is under way at most. Mutable.
 */
public final class ScaleOut {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.fleet");

  private static final int HTTP_OK = 200;
  private static final int HTTP_UNAVAILABLE = 503;

  /** A machine that was rented and isn't up. */
  record PendingMachine(String type, String zone, boolean spot, long requestedAtMs) {}

  private final EventClock clock;
  private final Effects effects;
  private final ClusterView view;
  private final MachineTypeCatalog types;
  private final OpenJobs openJobs;
  private final StateStore store;
  private final TokenBucket apiCallBucket;
  private final MachineDemand demand;
  private final UnplaceableJobs unplaceableJobs;

  /** Called when a request is answered. */
  private final Runnable onResponse;

  private final Map<String, PendingMachine> pendingMachines = new LinkedHashMap<>();

  /** Types, zones and kinds of which there are none, and how long they aren't asked for. */
  private final Map<String, Long> backoffUntilMs = new HashMap<>();

  private boolean requestInFlight;
  private int requestCounter;

  /** Wires this module to the ones that it uses; it does nothing before its first event. */
  public ScaleOut(
      EventClock clock,
      Effects effects,
      StateStore store,
      ClusterView view,
      MachineTypeCatalog types,
      OpenJobs openJobs,
      MachineDemand demand,
      UnplaceableJobs stranded,
      TokenBucket apiCallBucket,
      Runnable onResponse) {
    this.clock = clock;
    this.effects = effects;
    this.view = view;
    this.types = types;
    this.openJobs = openJobs;
    this.store = store;
    this.apiCallBucket = apiCallBucket;
    this.demand = demand;
    this.unplaceableJobs = stranded;
    this.onResponse = onResponse;
  }

  /** Machines that are rented and not up, by name. */
  public Map<String, PendingMachine> pendingMachines() {
    return pendingMachines;
  }

  /** Whether a request may be sent now. */
  boolean canRequest(long now) {
    return !requestInFlight && apiCallBucket.canSpend(now, 1, 0);
  }

  /** Rents for the type's demand where the machines that are there can't serve it; whether so. */
  boolean scaleOutConstrained(
      String type, TypeDemand typeDemand, List<MachineView> available, long now) {
    Map<String, Integer> countByZone = new HashMap<>();
    Map<String, Integer> onDemandByZone = new HashMap<>();
    for (MachineView machine : available) {
      if (machine.status().type().equals(type)) {
        countMachine(machine.status().zone(), machine.status().spot(), countByZone, onDemandByZone);
      }
    }
    for (PendingMachine pending : pendingMachines.values()) {
      if (pending.type.equals(type)) {
        countMachine(pending.zone, pending.spot, countByZone, onDemandByZone);
      }
    }
    return scaleOutPinned(type, typeDemand, countByZone, onDemandByZone, now)
        || scaleOutOnDemand(type, typeDemand, onDemandByZone, now);
  }

  private static void countMachine(
      String zone,
      boolean spot,
      Map<String, Integer> countByZone,
      Map<String, Integer> onDemandByZone) {
    countByZone.merge(zone, 1, Integer::sum);
    if (!spot) {
      onDemandByZone.merge(zone, 1, Integer::sum);
    }
  }

  /**
   * Rents for jobs that only one zone can serve: enough machines elsewhere are of no use to them.
   * Counting them by type alone once left such a job waiting for good.
   */
  private boolean scaleOutPinned(
      String type,
      TypeDemand typeDemand,
      Map<String, Integer> countByZone,
      Map<String, Integer> onDemandByZone,
      long now) {
    for (Map.Entry<String, Double> pinned : typeDemand.pinnedByZone.entrySet()) {
      String zone = pinned.getKey();
      int missing = (int) Math.ceil(pinned.getValue()) - countByZone.getOrDefault(zone, 0);
      if (missing > 0 && requestSpotOrOnDemand(type, zone, missing, now)) {
        return true;
      }
    }
    // A spot machine in the zone and an ordinary one elsewhere once passed for what such a job
    // needs.
    for (Map.Entry<String, Double> pinned : typeDemand.onDemandPinnedByZone.entrySet()) {
      String zone = pinned.getKey();
      int missing = (int) Math.ceil(pinned.getValue()) - onDemandByZone.getOrDefault(zone, 0);
      if (missing > 0 && requestInZone(type, zone, false, missing, now)) {
        return true;
      }
    }
    return false;
  }

  /** Rents for jobs that spot machines can't serve. */
  private boolean scaleOutOnDemand(
      String type, TypeDemand typeDemand, Map<String, Integer> onDemandByZone, long now) {
    int onDemand = onDemandByZone.values().stream().mapToInt(Integer::intValue).sum();
    int missing = (int) Math.ceil(typeDemand.onDemandMachines) - onDemand;
    if (missing <= 0) {
      return false;
    }
    for (String zone : types.find(type).zones()) {
      if (requestInZone(type, zone, false, missing, now)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Rents one machine for a job that has room on none, though there are enough by their number: a
   * replica that the others of its zone left no room for once waited for good, and so did a batch.
   */
  boolean scaleOutForUnplaceable(String type, List<MachineView> available, long now) {
    if (openJobs.all().stream().noneMatch(job -> job.spec().isService() && !job.isTerminal())) {
      return false;
    }
    unplaceableJobs.retainOpen(openJobs.all());
    for (JobEntry job : openJobs.all()) {
      JobSpec spec = job.spec();
      if (job.isTerminal() || !type.equals(demand.minimalType(spec))) {
        continue;
      }
      for (String zone :
          unplaceableJobs.zonesNeedingMachines(job, types.find(type), available, now)) {
        if (requestOne(type, zone, spec.spot(), now)) {
          LOG.info("job {} has room on no machine in {}", spec.id(), zone);
          return true;
        }
      }
    }
    return false;
  }

  /** Whether one has been asked for; not while a machine that may serve is coming. */
  private boolean requestOne(String type, String zone, boolean spotAllowed, long now) {
    for (PendingMachine pending : pendingMachines.values()) {
      if (pending.type.equals(type)
          && pending.zone.equals(zone)
          && (spotAllowed || !pending.spot)) {
        return false;
      }
    }
    return spotAllowed
        ? requestSpotOrOnDemand(type, zone, 1, now)
        : requestInZone(type, zone, false, 1, now);
  }

  /**
   * Rents some of the missing machines: spot ones before ordinary ones, and first in the zone that
   * has the fewest.
   */
  void scaleOut(String type, int missing, int targetCount, boolean spotAllowed, long now) {
    List<String> zones = zonesByFewest(type);
    int requestCount = zones.size() > 1 ? (missing + 1) / 2 : missing;
    if (spotAllowed) {
      for (String zone : zones) {
        if (requestInZone(type, zone, true, requestCount, now)) {
          return;
        }
      }
      if (missing < Constants.ON_DEMAND_FALLBACK_FRACTION * targetCount) {
        return;
      }
    }
    for (String zone : zones) {
      if (requestInZone(type, zone, false, requestCount, now)) {
        return;
      }
    }
  }

  private List<String> zonesByFewest(String type) {
    Map<String, Integer> countByZone = new HashMap<>();
    for (MachineView machine : view.machines()) {
      if (machine.status() != null && machine.status().type().equals(type)) {
        countByZone.merge(machine.status().zone(), 1, Integer::sum);
      }
    }
    for (PendingMachine pending : pendingMachines.values()) {
      if (pending.type.equals(type)) {
        countByZone.merge(pending.zone, 1, Integer::sum);
      }
    }
    List<String> zones = new ArrayList<>(types.find(type).zones());
    zones.sort(Comparator.comparingInt(zone -> countByZone.getOrDefault(zone, 0)));
    return zones;
  }

  private boolean requestSpotOrOnDemand(String type, String zone, int count, long now) {
    return requestInZone(type, zone, true, count, now)
        || requestInZone(type, zone, false, count, now);
  }

  /** Sends a request unless one like it was refused lately; whether so. */
  private boolean requestInZone(String type, String zone, boolean spot, int count, long now) {
    String key = type + "/" + zone + "/" + spot;
    if (backoffUntilMs.getOrDefault(key, 0L) > now) {
      return false;
    }
    String name = "r-" + store.incarnation() + "-" + ++requestCounter;
    send(
        new ScaleOutRequest(
            name, type, zone, spot, Math.min(Constants.SCALE_OUT_MACHINES_MAX, count)),
        key);
    return true;
  }

  private void send(ScaleOutRequest request, String key) {
    requestInFlight = true;
    apiCallBucket.spend(clock.now(), 1);
    LOG.info(
        "rent {} {} in {}{} as {}",
        request.count(),
        request.type(),
        request.zone(),
        request.spot() ? ", spot" : "",
        request.name());
    effects.scaleOut(
        request,
        reply -> {
          requestInFlight = false;
          handleResult(request, key, reply);
          onResponse.run();
        });
  }

  private void handleResult(ScaleOutRequest request, String key, ScaleOutResult reply) {
    long now = clock.now();
    if (reply.status() == HTTP_OK) {
      for (String id : reply.machines()) {
        pendingMachines.put(
            id, new PendingMachine(request.type(), request.zone(), request.spot(), now));
      }
      int receivedCount = reply.machines().size();
      LOG.info("rented {} of {} asked as {}", receivedCount, request.count(), request.name());
      if (receivedCount < request.count()) {
        backoffUntilMs.put(key, now + Constants.SCALE_OUT_REJECTED_COOLDOWN_MS);
      }
    } else if (reply.status() == HTTP_UNAVAILABLE) {
      backoffUntilMs.put(key, now + Constants.SCALE_OUT_REJECTED_COOLDOWN_MS);
      LOG.info("refused {}", request.name());
    }
  }
}
