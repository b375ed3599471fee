package mallowstall.core.autoscaling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The machines that the cloud has provided and that haven't registered yet. Mutable. */
public final class PendingMachines {
  /**
   * A machine that hasn't registered yet. The steady time in milliseconds is that of the cloud's
   * response to the request, or is derived from the machine's age in the inventory.
   */
  record PendingMachine(String type, String zone, boolean spot, long providedAtMs) {}

  private final Map<String, PendingMachine> pendingMachines = new LinkedHashMap<>();

  /** Adds a machine that the cloud has provided in response to a request. */
  void add(String id, PendingMachine machine) {
    pendingMachines.put(id, machine);
  }

  /** Adds a machine from the cloud's inventory, unless it is already pending. */
  void addListed(String id, PendingMachine machine) {
    pendingMachines.putIfAbsent(id, machine);
  }

  /** Removes a machine that has registered, was returned, or didn't register in time. */
  public void remove(String id) {
    pendingMachines.remove(id);
  }

  /** Returns all pending machines in the order in which they were added. */
  Collection<PendingMachine> all() {
    return pendingMachines.values();
  }

  /** Returns a copy in the order of addition, so that machines may be removed while iterating. */
  List<Map.Entry<String, PendingMachine>> snapshot() {
    return new ArrayList<>(pendingMachines.entrySet());
  }
}
