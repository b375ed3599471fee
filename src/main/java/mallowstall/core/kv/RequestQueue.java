package mallowstall.core.kv;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import mallowstall.Constants;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.TokenBucket;
import mallowstall.core.model.CoreSettings;

/**
 * Keeps this controller's requests to the state service within its share of the rates that all
 * controllers have together. What the share doesn't allow yet waits, by priority.
 */
final class RequestQueue {
  /**
   * Count. Most operations waiting for the state service's budget; beyond it callers are rejected.
   */
  private static final int STATE_QUEUE_MAX = 200;

  /** s. Shortest Retry-After in a response. */
  private static final int RETRY_AFTER_MIN_S = 1;

  /** s. Longest Retry-After in a response. */
  private static final int RETRY_AFTER_MAX_S = 20;

  /** Queued requests for which a rejected user is asked to wait one second longer. */
  private static final int REQUESTS_PER_RETRY_S = 20;

  private static final RequestPriority[] PRIORITIES = RequestPriority.values();

  /** A request that waits, and what it costs; a cost of 0 writes needs no write budget. */
  private record QueuedRequest(double requestCost, double writeCost, Runnable action) {}

  private final EventClock clock;
  private final double totalRequestsPerS;
  private final double totalWritesPerS;
  private final TokenBucket requestBucket;
  private final TokenBucket writeBucket;

  /** The queues in the order of {@link RequestPriority}. */
  private final List<ArrayDeque<QueuedRequest>> queues = new ArrayList<>();

  /** A queue that takes an equal share until it learns how many controllers live. */
  RequestQueue(EventClock clock, CoreSettings settings) {
    this.clock = clock;
    int controllers = settings.peers().size() + 1;
    totalRequestsPerS = settings.stateRequestsPerS() * Constants.STATE_RATE_FRACTION;
    totalWritesPerS = settings.stateWritesPerS() * Constants.STATE_RATE_FRACTION;
    requestBucket =
        new TokenBucket(totalRequestsPerS / controllers, totalRequestsPerS / controllers);
    writeBucket = new TokenBucket(totalWritesPerS / controllers, totalWritesPerS / controllers);
    for (int i = 0; i < PRIORITIES.length; i++) {
      queues.add(new ArrayDeque<>());
    }
  }

  /** Sets the share to that of one among so many live controllers, at least 1. */
  void setLiveControllers(int liveControllers) {
    requestBucket.setRate(clock.now(), totalRequestsPerS / liveControllers);
    writeBucket.setRate(clock.now(), totalWritesPerS / liveControllers);
  }

  /**
   * Sends the request as soon as the budget allows, perhaps before this returns.
   *
   * @return false: the queue is full, and the request won't ever be sent
   */
  boolean enqueue(RequestPriority priority, double requestCost, double writeCost, Runnable action) {
    if (priority != RequestPriority.SESSION && length() >= STATE_QUEUE_MAX) {
      return false;
    }
    queues.get(priority.ordinal()).add(new QueuedRequest(requestCost, writeCost, action));
    dispatch();
    return true;
  }

  /** Charges one request that is sent at once, whatever the budget. */
  void chargeRequest() {
    requestBucket.spend(clock.now(), 1);
  }

  /** Sends what the budget allows, the highest priority first. */
  void dispatch() {
    long now = clock.now();
    for (RequestPriority priority : PRIORITIES) {
      ArrayDeque<QueuedRequest> queue = queues.get(priority.ordinal());
      while (!queue.isEmpty()) {
        QueuedRequest request = queue.peek();
        if (!requestBucket.canSpend(now, request.requestCost, priority.requestReserve())) {
          return;
        }
        if (request.writeCost > 0
            && !writeBucket.canSpend(now, request.writeCost, priority.writeReserve())) {
          break;
        }
        queue.poll();
        requestBucket.spend(now, request.requestCost);
        if (request.writeCost > 0) {
          writeBucket.spend(now, request.writeCost);
        }
        request.action.run();
      }
    }
  }

  private int length() {
    int total = 0;
    for (ArrayDeque<QueuedRequest> queue : queues) {
      total += queue.size();
    }
    return total;
  }

  /** Seconds after which a rejected user should try again, by the length of the queue. */
  int retryAfterS() {
    int seconds = RETRY_AFTER_MIN_S + length() / REQUESTS_PER_RETRY_S;
    return Math.min(RETRY_AFTER_MAX_S, seconds);
  }
}
