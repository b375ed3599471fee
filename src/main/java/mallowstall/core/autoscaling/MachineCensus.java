package mallowstall.core.autoscaling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import mallowstall.core.cluster.MachineView;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.MachineType;

/** The machines as one scaling plan counts and classifies them. Mutable; used by that plan only. */
final class MachineCensus {
  private final Map<MachineKind, Integer> countByKind = new HashMap<>();

  /** The kinds of machines that take starts now or are expected to. */
  private final Set<MachineKind> kinds = new HashSet<>();

  /** The kinds of machines that boot or have just registered, and will soon take starts. */
  private final Set<MachineKind> startingKinds = new HashSet<>();

  private final Set<String> registered = new HashSet<>();
  private final List<MachineView> available = new ArrayList<>();

  private final List<String> toReturn = new ArrayList<>();
  private final List<String> lateEntries = new ArrayList<>();
  private final List<String> unmanaged = new ArrayList<>();
  private final List<String> unresponsiveHosts = new ArrayList<>();
  private int unresponsive;

  /** Returns the number of machines of the type that are in service or expected to be. */
  int count(String type) {
    return countKinds(kind -> kind.type().equals(type));
  }

  /** Returns how many of the machines counted by {@link #count} are in the zone. */
  int countInZone(String type, String zone) {
    return countKinds(kind -> kind.type().equals(type) && kind.zone().equals(zone));
  }

  /** Returns how many of the machines counted by {@link #count} are on-demand machines. */
  int countOnDemand(String type) {
    return countKinds(kind -> kind.type().equals(type) && !kind.spot());
  }

  /** Returns how many of the on-demand machines counted by {@link #count} are in the zone. */
  int countOnDemandInZone(String type, String zone) {
    return countByKind.getOrDefault(new MachineKind(type, zone, false), 0);
  }

  private int countKinds(Predicate<MachineKind> counted) {
    int count = 0;
    for (Map.Entry<MachineKind, Integer> entry : countByKind.entrySet()) {
      if (counted.test(entry.getKey())) {
        count += entry.getValue();
      }
    }
    return count;
  }

  /**
   * Returns whether the machine has an entry in the state service, which shows that it has reported
   * at least once.
   */
  boolean isRegistered(String machine) {
    return registered.contains(machine);
  }

  /** Returns the machines that have an entry in the state service. */
  Set<String> registered() {
    return registered;
  }

  /** Returns the machines in service. */
  List<MachineView> available() {
    return available;
  }

  /** Returns the machines that are to be returned to the cloud. */
  List<String> toReturn() {
    return toReturn;
  }

  /** Returns the returned machines that have an entry again. */
  List<String> lateEntries() {
    return lateEntries;
  }

  /** Records that the machine has an entry in the state service. */
  void addRegistered(String machine) {
    registered.add(machine);
  }

  /** Counts a machine of this kind that is expected to be in service. */
  void addExpected(MachineKind kind) {
    countByKind.merge(kind, 1, Integer::sum);
    kinds.add(kind);
  }

  /** Counts a machine of this kind that boots or has just registered. */
  void addStarting(MachineKind kind) {
    addExpected(kind);
    startingKinds.add(kind);
  }

  /** Records and counts a machine in service. */
  void addAvailable(MachineView machine) {
    MachineKind kind = MachineKind.of(machine.status());
    countByKind.merge(kind, 1, Integer::sum);
    available.add(machine);
    if (!machine.status().draining()) {
      kinds.add(kind);
    }
  }

  /**
   * Returns whether the job allows a machine that is or will be in service, in one of these zones
   * and of one of these types, whether it has room or not.
   */
  boolean mayServe(JobSpec job, Collection<MachineType> types, Collection<String> zones) {
    return anyAllowed(kinds, job, types, zones);
  }

  /**
   * Returns whether the job allows a machine that will soon be in service, in one of these zones
   * and of one of these types.
   */
  boolean willSoonServe(JobSpec job, Collection<MachineType> types, Collection<String> zones) {
    return anyAllowed(startingKinds, job, types, zones);
  }

  private static boolean anyAllowed(
      Collection<MachineKind> kinds,
      JobSpec job,
      Collection<MachineType> types,
      Collection<String> zones) {
    for (MachineKind kind : kinds) {
      if (zones.contains(kind.zone())
          && kind.isAllowedFor(job)
          && types.stream().anyMatch(type -> type.name().equals(kind.type()))) {
        return true;
      }
    }
    return false;
  }

  /** Records that the machine is to be returned to the cloud. */
  void addToReturn(String machine) {
    toReturn.add(machine);
  }

  /** Records that the machine has an entry although it was returned. */
  void addLateEntry(String machine) {
    lateEntries.add(machine);
  }

  /** Records a machine whose leader has no session and that has no new leader yet. */
  void addUnmanaged(String machine) {
    unmanaged.add(machine);
  }

  /** Counts a machine whose leader receives no heartbeats from it. */
  void addUnresponsive() {
    unresponsive++;
  }

  /**
   * Records that a machine, already counted as unresponsive, hosts replicas that are to start
   * elsewhere.
   */
  void addUnresponsiveHost(String machine) {
    unresponsiveHosts.add(machine);
  }

  /**
   * Decides which possibly lost machines are returned, after all machines are counted. Returning a
   * machine proves that its tasks have ended, so that they can start elsewhere before the machine's
   * lease expires. If many machines are affected at once, they are more likely cut off by the
   * network or slow to register again, and none is returned. This check counts all unresponsive
   * machines and not only the replica hosts to be returned, because machines that are cut off
   * together exceed the timeout of replica hosts one by one.
   */
  void resolveLost() {
    if (isSmallShare(unmanaged.size())) {
      toReturn.addAll(unmanaged);
    }
    if (isSmallShare(unresponsive)) {
      toReturn.addAll(unresponsiveHosts);
    }
  }

  /** Returns whether this number is at most a quarter of the registered machines, plus one. */
  private boolean isSmallShare(int machines) {
    return machines * 4 <= registered.size() + 4;
  }
}
