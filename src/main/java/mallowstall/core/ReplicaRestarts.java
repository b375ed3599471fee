package mallowstall.core;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectIterator;
import java.util.function.IntConsumer;
import mallowstall.Constants;

/**
 * When the replicas of one service that have ended by themselves may start again. The first end is
 * followed by a start at once; one that ends again and again waits longer each time, since the
 * worker keeps the result of a task that is done and ends it as soon as it is started. Mutable.
 */
final class ReplicaRestarts {
  /** How long one replica waits. Mutable. */
  private static final class Delay {
    final BackOff backOff = new BackOff();
    boolean waiting;
  }

  private final Int2ObjectOpenHashMap<Delay> delays = new Int2ObjectOpenHashMap<>();
  private int waiting;

  /** Replicas that must not be started yet. */
  int waiting() {
    return waiting;
  }

  /**
   * A replica has ended after it had run for so long.
   *
   * @return whether it may be started again at once; else {@link #release} names it in time
   */
  boolean ended(int replica, long ranMs, long now) {
    if (ranMs >= Constants.REPLICA_STABLE_MS) {
      forget(replica);
      return true;
    }
    Delay delay = delays.get(replica);
    if (delay == null) {
      delays.put(replica, new Delay());
      return true;
    }
    delay.backOff.failed(now);
    if (!delay.waiting) {
      waiting++;
    }
    delay.waiting = true;
    return false;
  }

  /** Names the replicas whose wait is over. */
  void release(long now, IntConsumer startable) {
    if (waiting == 0) {
      return;
    }
    ObjectIterator<Int2ObjectOpenHashMap.Entry<Delay>> all =
        delays.int2ObjectEntrySet().fastIterator();
    while (all.hasNext()) {
      Int2ObjectOpenHashMap.Entry<Delay> entry = all.next();
      Delay delay = entry.getValue();
      if (!delay.waiting || delay.backOff.waits(now)) {
        continue;
      }
      delay.waiting = false;
      waiting--;
      startable.accept(entry.getIntKey());
    }
  }

  private void forget(int replica) {
    Delay delay = delays.remove(replica);
    if (delay != null && delay.waiting) {
      waiting--;
    }
  }
}
