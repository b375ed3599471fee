package mallowstall.core.jobs;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.HashMap;
import java.util.Map;
import mallowstall.Constants;

/**
 * The replicas of one service that are being relocated from departing machines. A relocation is
 * kept here as long as capacity is reserved on the target machine. Times are in milliseconds of the
 * steady clock. Mutable; not thread-safe.
 */
public final class ActiveRelocations {
  /** The target machine of a relocation, and the time until which capacity is reserved there. */
  private record Relocation(String target, long untilMs) {}

  private final Int2ObjectOpenHashMap<Relocation> relocations = new Int2ObjectOpenHashMap<>();

  /** Records that the relocation of the replica to the target machine begins at this time. */
  public void begin(int replica, String target, long now) {
    relocations.put(replica, new Relocation(target, now + Constants.RELOCATION_RESERVATION_MS));
  }

  /** Returns whether the replica is being relocated. */
  public boolean inProgress(int replica) {
    return relocations.containsKey(replica);
  }

  /** Returns the target machine of the replica, or null if the replica is not being relocated. */
  public String target(int replica) {
    Relocation relocation = relocations.get(replica);
    return relocation == null ? null : relocation.target();
  }

  /** Records that the relocation has ended, whether or not the replica was started. */
  public void end(int replica) {
    relocations.remove(replica);
  }

  /** Removes the relocations whose reservation has expired by this time. */
  public void expire(long now) {
    if (!relocations.isEmpty()) {
      relocations.values().removeIf(relocation -> relocation.untilMs() <= now);
    }
  }

  /** Returns a copy of the numbers of the replicas that are being relocated. */
  public int[] replicas() {
    return relocations.keySet().toIntArray();
  }

  /** Returns the number of replicas for which capacity is reserved, by target machine. */
  public Map<String, Integer> replicasByTarget() {
    Map<String, Integer> counts = new HashMap<>();
    for (Relocation relocation : relocations.values()) {
      counts.merge(relocation.target(), 1, Integer::sum);
    }
    return counts;
  }
}
