package mallowstall.core.jobs;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.HashMap;
import java.util.Map;
import mallowstall.Constants;

/**
 * The replicas of one service that are being moved off departing machines: where to, for as long as
 * capacity is reserved for them there. Times are in ms of the steady clock. Mutable; not
 * thread-safe.
 */
public final class ReplicaMoves {
  /** Where a replica goes, and until when capacity is reserved for it. */
  private record Move(String target, long untilMs) {}

  private final Int2ObjectOpenHashMap<Move> moves = new Int2ObjectOpenHashMap<>();

  /** The replica is being moved to the target machine from this time on. */
  public void begin(int replica, String target, long now) {
    moves.put(replica, new Move(target, now + Constants.RELOCATION_RESERVATION_MS));
  }

  /** Whether the replica is being moved. */
  public boolean inProgress(int replica) {
    return moves.containsKey(replica);
  }

  /** The machine chosen for the replica; null: it isn't being moved. */
  public String target(int replica) {
    Move move = moves.get(replica);
    return move == null ? null : move.target();
  }

  /** The move is over, whether the replica was started or not. */
  public void end(int replica) {
    moves.remove(replica);
  }

  /** Gives up moves that have taken too long by this time. */
  public void expire(long now) {
    if (!moves.isEmpty()) {
      moves.values().removeIf(move -> move.untilMs() <= now);
    }
  }

  /** A copy of the replicas that are being moved. */
  public int[] replicas() {
    return moves.keySet().toIntArray();
  }

  /** For how many replicas capacity is reserved, by target machine. */
  public Map<String, Integer> replicasByTarget() {
    Map<String, Integer> counts = new HashMap<>();
    for (Move move : moves.values()) {
      counts.merge(move.target(), 1, Integer::sum);
    }
    return counts;
  }
}
