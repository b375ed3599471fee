package mallowstall.core.jobs;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import mallowstall.Constants;

/**
 * The replicas of one service that are being moved off machines that will not last: where to, for
 * as long as the room there is kept for them. Mutable.
 */
public final class ReplicaMoves {
  /** Where a replica goes, and how long room is kept for it. */
  private record Move(String target, long untilMs) {}

  private final Int2ObjectOpenHashMap<Move> relocations = new Int2ObjectOpenHashMap<>();

  /** The replica is being moved to the target machine from this time, in ms. */
  public void begin(int replica, String target, long now) {
    relocations.put(replica, new Move(target, now + Constants.RELOCATION_RESERVATION_MS));
  }

  /** Whether the replica is being moved. */
  public boolean inProgress(int replica) {
    return relocations.containsKey(replica);
  }

  /** The machine chosen for the replica; null: it isn't being moved. */
  public String target(int replica) {
    Move move = relocations.get(replica);
    return move == null ? null : move.target();
  }

  /** The move is over, whether the replica was started or not. */
  public void end(int replica) {
    relocations.remove(replica);
  }

  /** Gives up moves that have taken too long by this time, in ms. */
  public void expire(long now) {
    if (!relocations.isEmpty()) {
      relocations.values().removeIf(move -> move.untilMs() <= now);
    }
  }

  /** The replicas that are being moved. */
  public int[] replicas() {
    return relocations.keySet().toIntArray();
  }

  /** How many replicas each target is kept for. */
  public Map<String, Integer> replicasByTarget() {
    Map<String, Integer> counts = new HashMap<>();
    Collection<Move> all = relocations.values();
    for (Move move : all) {
      counts.merge(move.target(), 1, Integer::sum);
    }
    return counts;
  }
}
