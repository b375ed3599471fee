package mallowstall.core.cluster;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Machines that are known to be back at the cloud, with everything that was on them. The proof is
 * the cloud's answer to the return, or the deletion of the machine's entry, which only follows that
 * answer. Names of machines are never used again, so an entry that such a machine has all the same
 * is a late one. Mutable.
 */
public final class ReturnedMachines {
  /** Count. A heartbeat under way comes long before as many more machines are returned. */
  private static final int MACHINES_MAX = 10_000;

  private final Set<String> machines = new LinkedHashSet<>();

  /** The machine was returned; beyond a bound those that were returned first are forgotten. */
  public void add(String machine) {
    machines.add(machine);
    if (machines.size() > MACHINES_MAX) {
      machines.remove(machines.iterator().next());
    }
  }

  /** Whether the machine is known to have been returned. */
  public boolean contains(String machine) {
    return machines.contains(machine);
  }
}
