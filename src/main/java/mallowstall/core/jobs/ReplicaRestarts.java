package mallowstall.core.jobs;

import it.unimi.dsi.fastutil.ints.Int2ObjectMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectIterator;
import java.util.function.IntConsumer;
import mallowstall.Constants;
import mallowstall.core.kernel.Backoff;

/**
 * When the replicas of one service that have ended by themselves may start again. The first end is
 * followed by a start at once; one that ends again and again waits longer each time, since the
 * worker keeps the result of a task that is done and ends it as soon as it is started. Mutable.
 */
public final class ReplicaRestarts {
  /** How long one replica waits. Mutable. */
  private static final class Delay {
    final Backoff backoff = new Backoff();
    boolean waiting;
  }

  private final Int2ObjectOpenHashMap<Delay> delays = new Int2ObjectOpenHashMap<>();
  private int waitingCount;

  /** Replicas that must not be started yet. */
  public int waitingCount() {
    return waitingCount;
  }

  /**
   * A replica has ended after it had run for so long.
   *
   * @return whether it may be started again at once; else {@link #releaseDue} names it in time
   */
  public boolean recordExit(int replica, long ranMs, long now) {
    if (ranMs >= Constants.REPLICA_STABLE_MS) {
      reset(replica);
      return true;
    }
    Delay delay = delays.get(replica);
    if (delay == null) {
      delays.put(replica, new Delay());
      return true;
    }
    delay.backoff.recordFailure(now);
    if (!delay.waiting) {
      waitingCount++;
    }
    delay.waiting = true;
    return false;
  }

  /** Names the replicas whose wait is over. */
  public void releaseDue(long now, IntConsumer startable) {
    if (waitingCount == 0) {
      return;
    }
    ObjectIterator<Int2ObjectMap.Entry<Delay>> entries = delays.int2ObjectEntrySet().fastIterator();
    while (entries.hasNext()) {
      Int2ObjectMap.Entry<Delay> entry = entries.next();
      Delay delay = entry.getValue();
      if (!delay.waiting || delay.backoff.isWaiting(now)) {
        continue;
      }
      delay.waiting = false;
      waitingCount--;
      startable.accept(entry.getIntKey());
    }
  }

  private void reset(int replica) {
    Delay delay = delays.remove(replica);
    if (delay != null && delay.waiting) {
      waitingCount--;
    }
  }
}
