package mallowstall.core.autoscaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mallowstall.core.cluster.MachineView;

/** What one scaling plan finds of the machines. Mutable; lives as long as the plan. */
final class MachineCensus {
  private final Map<String, Integer> countByType = new HashMap<>();
  private final Set<String> registered = new HashSet<>();
  private final List<MachineView> available = new ArrayList<>();
  private final List<String> toReturn = new ArrayList<>();
  private final List<String> lateEntries = new ArrayList<>();
  private final List<String> unmanaged = new ArrayList<>();
  private final List<String> unresponsiveHosts = new ArrayList<>();
  private int unresponsive;

  /** Machines of the type that are in service or will be. */
  int count(String type) {
    return countByType.getOrDefault(type, 0);
  }

  /** Whether the machine has an entry in the state, so that it has reported at least once. */
  boolean isRegistered(String machine) {
    return registered.contains(machine);
  }

  /** Machines with an entry in the state. */
  Set<String> registered() {
    return registered;
  }

  /** Machines in service. */
  List<MachineView> available() {
    return available;
  }

  /** Machines that are to go back to the cloud. */
  List<String> toReturn() {
    return toReturn;
  }

  /** Returned machines that have an entry again. */
  List<String> lateEntries() {
    return lateEntries;
  }

  /** The machine has an entry in the state. */
  void addRegistered(String machine) {
    registered.add(machine);
  }

  /** A machine of the type counts, since it is in service or may yet be. */
  void addExpected(String type) {
    countByType.merge(type, 1, Integer::sum);
  }

  /** The machine is in service. */
  void addAvailable(MachineView machine) {
    addExpected(machine.status().type());
    available.add(machine);
  }

  /** The machine is to go back to the cloud. */
  void addToReturn(String machine) {
    toReturn.add(machine);
  }

  /** The machine was returned, so its entry is a late one. */
  void addLateEntry(String machine) {
    lateEntries.add(machine);
  }

  /** The machine's leader has no session and it has registered with no other. */
  void addUnmanaged(String machine) {
    unmanaged.add(machine);
  }

  /** The machine's leader gets no heartbeats from it. */
  void addUnresponsive() {
    unresponsive++;
  }

  /**
   * An unresponsive machine, already counted as such, hosts replicas that could start elsewhere.
   */
  void addUnresponsiveHost(String machine) {
    unresponsiveHosts.add(machine);
  }

  /**
   * Decides on machines that may be lost, once all are counted. Returning one proves that its tasks
   * have ended, so that they can start elsewhere before its lease expires. Many at once are rather
   * cut off or slow to register again, and are left alone; for that, all unresponsive ones count,
   * since those of one cut pass the longer time one by one.
   */
  void resolveLost() {
    if (isSmallShare(unmanaged.size())) {
      toReturn.addAll(unmanaged);
    }
    if (isSmallShare(unresponsive)) {
      toReturn.addAll(unresponsiveHosts);
    }
  }

  /** At most a quarter of all machines. */
  private boolean isSmallShare(int machines) {
    return machines * 4 <= registered.size() + 4;
  }
}
