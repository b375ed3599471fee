package mallowstall.core.jobs;

import it.unimi.dsi.fastutil.ints.Int2ObjectMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectIterator;
import java.util.function.IntConsumer;
import mallowstall.core.kernel.Backoff;

/**
 * When the exited replicas of one service may start again. The first exit of a replica is followed
 * by a start at once; one that exits again and again backs off, since a worker keeps the result of
 * a completed task and ends it as soon as it is started. Mutable; not thread-safe.
 */
public final class ReplicaRestarts {
  /** ms. A replica that ran for so long before it ended is started again at once. */
  static final long REPLICA_STABLE_MS = 10_000;

  /** The backoff of one replica that has exited early. Mutable. */
  private static final class Delay {
    private final Backoff backoff = new Backoff();
    private boolean waiting;
  }

  private final Int2ObjectOpenHashMap<Delay> delays = new Int2ObjectOpenHashMap<>();
  private int waitingCount;

  /** Number of replicas that must not be started yet. */
  public int waitingCount() {
    return waitingCount;
  }

  /** Whether the replica must not be started yet. */
  boolean isWaiting(int replica) {
    Delay delay = delays.get(replica);
    return delay != null && delay.waiting;
  }

  /**
   * A replica has exited.
   *
   * @param ranMs for how long it had run; 0 if it wasn't seen to run
   * @param now ms of the steady clock
   * @return whether it may be started again at once; else {@link #releaseDue} releases it later
   */
  public boolean recordExit(int replica, long ranMs, long now) {
    if (ranMs >= REPLICA_STABLE_MS) {
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

  /** Passes each replica whose wait is over by this time, in ms of the steady clock, once. */
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
