package mallowstall.core;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import mallowstall.Constants;

/**
 * The replicas of one service that are being moved off machines that will not last: where to, for
 * as long as the room there is kept for them. Mutable.
 */
final class ReplicaMoves {
  /** Where a replica goes, and how long room is kept for it. */
  private record Move(String target, long until) {}

  private final Int2ObjectOpenHashMap<Move> moves = new Int2ObjectOpenHashMap<>();

  void begin(int replica, String target, long now) {
    moves.put(replica, new Move(target, now + Constants.MOVE_KEEPS_ROOM_MS));
  }

  boolean underWay(int replica) {
    return moves.containsKey(replica);
  }

  /** The machine chosen for the replica; null: it isn't being moved. */
  String target(int replica) {
    Move move = moves.get(replica);
    return move == null ? null : move.target();
  }

  void end(int replica) {
    moves.remove(replica);
  }

  void expire(long now) {
    if (!moves.isEmpty()) {
      moves.values().removeIf(move -> move.until() <= now);
    }
  }

  int[] replicas() {
    return moves.keySet().toIntArray();
  }

  /** How many replicas each target is kept for. */
  Map<String, Integer> targets() {
    Map<String, Integer> targets = new HashMap<>();
    Collection<Move> all = moves.values();
    for (Move move : all) {
      targets.merge(move.target(), 1, Integer::sum);
    }
    return targets;
  }
}
