package mallowstall.core.jobs;

import it.unimi.dsi.fastutil.ints.Int2ObjectMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectIterator;
import java.util.function.IntConsumer;
import mallowstall.core.kernel.Backoff;

/**
 * Decides when the exited replicas of one service may be started again. After its first early exit,
 * a replica may be started at once; after each further one, it backs off. The backoff limits the
 * starts of a replica whose worker keeps the result of a completed task and therefore ends each new
 * start at once. Mutable; not thread-safe.
 */
public final class ReplicaRestarts {
  /**
   * Time in milliseconds that a replica must have run before its exit so that it may be started
   * again at once.
   */
  static final long REPLICA_STABLE_MS = 10_000;

  /** The backoff of one replica that has exited early. Mutable. */
  private static final class Delay {
    private final Backoff backoff = new Backoff();
    private boolean waiting;
  }

  private final Int2ObjectOpenHashMap<Delay> delays = new Int2ObjectOpenHashMap<>();
  private int waitingCount;

  /** Returns the number of replicas that must not be started yet. */
  public int waitingCount() {
    return waitingCount;
  }

  /** Returns whether the replica must not be started yet. */
  boolean isWaiting(int replica) {
    Delay delay = delays.get(replica);
    return delay != null && delay.waiting;
  }

  /**
   * Records the exit of a replica.
   *
   * @param ranMs the time in milliseconds for which the replica ran, or 0 if it was not observed
   *     running
   * @param now the time of the steady clock in milliseconds
   * @return whether the replica may be started again at once; if not, {@link #releaseDue} releases
   *     it later
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

  /**
   * Releases the replicas whose backoff has ended, and passes each of them to {@code startable}.
   *
   * @param now the time of the steady clock in milliseconds
   */
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
