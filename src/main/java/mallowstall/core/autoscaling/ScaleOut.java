package mallowstall.core.autoscaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mallowstall.core.autoscaling.PendingMachines.PendingMachine;
import mallowstall.core.cluster.ClusterView;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.cluster.MachineView;

/** Decides in which zone, and whether as spot or on-demand, missing machines are requested. */
public final class ScaleOut {
  /** Fraction of the target that must be missing before on-demand machines replace spot ones. */
  private static final double ON_DEMAND_FALLBACK_FRACTION = 0.15;

  private final ClusterView view;
  private final MachineTypeCatalog types;
  private final PendingMachines pendingMachines;
  private final ScaleOutRequests requests;

  /**
   * Creates a scale-out that counts machines in service and pending ones, and requests the rest.
   */
  public ScaleOut(
      ClusterView view,
      MachineTypeCatalog types,
      PendingMachines pendingMachines,
      ScaleOutRequests requests) {
    this.view = view;
    this.types = types;
    this.pendingMachines = pendingMachines;
    this.requests = requests;
  }

  /** Returns whether a request may be sent now. */
  boolean canRequest(long now) {
    return requests.canRequest(now);
  }

  /**
   * Requests machines for jobs that need one zone or on-demand machines, if too few of these exist.
   *
   * @return whether a request was sent
   */
  boolean scaleOutConstrained(String type, TypeDemand typeDemand, MachineCensus census, long now) {
    return scaleOutPinned(type, typeDemand, census, now)
        || scaleOutOnDemand(type, typeDemand, census, now);
  }

  /**
   * Requests machines for jobs that only one zone can serve. Machines in other zones don't count
   * for these jobs.
   */
  private boolean scaleOutPinned(
      String type, TypeDemand typeDemand, MachineCensus census, long now) {
    for (Map.Entry<String, Double> pinned : typeDemand.pinnedByZone().entrySet()) {
      String zone = pinned.getKey();
      int missing = (int) Math.ceil(pinned.getValue()) - census.countInZone(type, zone);
      if (missing > 0 && requests.requestSpotOrOnDemand(type, zone, missing, now)) {
        return true;
      }
    }
    // neither a spot machine in the zone nor an on-demand one in another zone serves these jobs
    for (Map.Entry<String, Double> pinned : typeDemand.onDemandPinnedByZone().entrySet()) {
      String zone = pinned.getKey();
      int missing = (int) Math.ceil(pinned.getValue()) - census.countOnDemandInZone(type, zone);
      if (missing > 0 && requests.requestInZone(type, zone, false, missing, now)) {
        return true;
      }
    }
    return false;
  }

  /** Requests machines for jobs that spot machines can't serve. */
  private boolean scaleOutOnDemand(
      String type, TypeDemand typeDemand, MachineCensus census, long now) {
    int missing = (int) Math.ceil(typeDemand.onDemandMachines()) - census.countOnDemand(type);
    if (missing <= 0) {
      return false;
    }
    for (String zone : types.find(type).zones()) {
      if (requests.requestInZone(type, zone, false, missing, now)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Requests some of the missing machines. It tries spot before on-demand, and the zone that has
   * the fewest machines of the type first.
   */
  void scaleOut(String type, int missing, int targetCount, boolean spotAllowed, long now) {
    List<String> zones = zonesByFewest(type);
    int requestCount = zones.size() > 1 ? (missing + 1) / 2 : missing;
    if (spotAllowed) {
      for (String zone : zones) {
        if (requests.requestInZone(type, zone, true, requestCount, now)) {
          return;
        }
      }
      if (missing < ON_DEMAND_FALLBACK_FRACTION * targetCount) {
        return;
      }
    }
    for (String zone : zones) {
      if (requests.requestInZone(type, zone, false, requestCount, now)) {
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
    for (PendingMachine pending : pendingMachines.all()) {
      if (pending.type().equals(type)) {
        countByZone.merge(pending.zone(), 1, Integer::sum);
      }
    }
    List<String> zones = new ArrayList<>(types.find(type).zones());
    zones.sort(Comparator.comparingInt(zone -> countByZone.getOrDefault(zone, 0)));
    return zones;
  }
}
