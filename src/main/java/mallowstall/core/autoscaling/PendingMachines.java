package mallowstall.core.autoscaling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Machines that the cloud has provided and that haven't registered yet. Mutable. */
public final class PendingMachines {
  /** A machine that hasn't registered yet, and when it was requested in ms of the steady clock. */
  record PendingMachine(String type, String zone, boolean spot, long requestedAtMs) {}

  private final Map<String, PendingMachine> pendingMachines = new LinkedHashMap<>();

  /** The cloud has provided the machine. */
  void add(String id, PendingMachine machine) {
    pendingMachines.put(id, machine);
  }

  /** The cloud lists the machine; one that is already known stays as it is. */
  void addListed(String id, PendingMachine machine) {
    pendingMachines.putIfAbsent(id, machine);
  }

  /** The machine has registered, was returned, or is given up. */
  public void remove(String id) {
    pendingMachines.remove(id);
  }

  /** All of them, in the order in which they became known. */
  Collection<PendingMachine> all() {
    return pendingMachines.values();
  }

  /** A copy of what is pending by id, in that order, so that entries may be removed meanwhile. */
  List<Map.Entry<String, PendingMachine>> snapshot() {
    return new ArrayList<>(pendingMachines.entrySet());
  }
}
