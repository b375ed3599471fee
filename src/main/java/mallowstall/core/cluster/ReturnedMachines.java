package mallowstall.core.cluster;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Machines that have been returned to the cloud together with everything that was on them. A
 * machine is added after the cloud's answer to the return or after the deletion of the machine's
 * entry, which only follows that answer. Names of machines are never reused, so an entry that still
 * appears for a returned machine was written late. Mutable.
 */
public final class ReturnedMachines {
  /**
   * Maximum number of machines kept. A heartbeat in flight arrives long before this many further
   * machines are returned.
   */
  private static final int MACHINES_MAX = 10_000;

  private final Set<String> machines = new LinkedHashSet<>();

  /** Adds a returned machine; beyond the maximum number, the one added first is removed. */
  public void add(String machine) {
    machines.add(machine);
    if (machines.size() > MACHINES_MAX) {
      machines.remove(machines.iterator().next());
    }
  }

  /** Returns whether the machine is known to have been returned. */
  public boolean contains(String machine) {
    return machines.contains(machine);
  }
}
