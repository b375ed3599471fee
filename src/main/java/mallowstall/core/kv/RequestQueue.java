package mallowstall.core.kv;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import mallowstall.Constants;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.TokenBucket;
import mallowstall.core.model.CoreSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Limits this controller's requests to the state service to its share of the rates that all
 * controllers have together. Requests that exceed the share wait in one queue per priority.
 */
final class RequestQueue {
  /**
   * Maximum number of requests that wait for the budget. Further requests are rejected, except
   * those of the session.
   */
  private static final int STATE_QUEUE_MAX = 200;

  /** Minimum Retry-After in a response, in seconds. */
  private static final int RETRY_AFTER_MIN_S = 1;

  /** Maximum Retry-After in a response, in seconds. */
  private static final int RETRY_AFTER_MAX_S = 20;

  /** Number of queued requests that add one second to Retry-After. */
  private static final int REQUESTS_PER_RETRY_S = 20;

  /**
   * Wait in milliseconds after which a request keeps the budget from lower priorities. A large
   * transaction needs a full budget, which smaller requests would otherwise use up for good.
   */
  private static final long PRECEDENCE_WAIT_MS = 1_000;

  /** Wait in milliseconds from which a request is logged, and time between two such log lines. */
  private static final long WAIT_REPORT_INTERVAL_MS = 5_000;

  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.state");

  private static final RequestPriority[] PRIORITIES = RequestPriority.values();

  /** A waiting request with its costs. A request with a write cost of 0 needs no write budget. */
  private record QueuedRequest(
      double requestCost, double writeCost, long enqueuedMs, Runnable action) {}

  private final EventClock clock;
  private final double totalRequestsPerS;
  private final double totalWritesPerS;
  private final TokenBucket requestBucket;
  private final TokenBucket writeBucket;

  /** The queues in the order of {@link RequestPriority}. */
  private final List<ArrayDeque<QueuedRequest>> queues = new ArrayList<>();

  /** Steady time in milliseconds before which waiting requests aren't logged again. */
  private long nextReportMs;

  /**
   * Creates a queue with an equal share for each configured controller, which applies until {@link
   * #setLiveControllers} is called.
   */
  RequestQueue(EventClock clock, CoreSettings settings) {
    this.clock = clock;
    int controllers = settings.peers().size() + 1;
    totalRequestsPerS = settings.stateRequestsPerS() * Constants.RATE_LIMIT_FRACTION;
    totalWritesPerS = settings.stateWritesPerS() * Constants.RATE_LIMIT_FRACTION;
    requestBucket =
        new TokenBucket(totalRequestsPerS / controllers, totalRequestsPerS / controllers);
    writeBucket = new TokenBucket(totalWritesPerS / controllers, totalWritesPerS / controllers);
    for (int i = 0; i < PRIORITIES.length; i++) {
      queues.add(new ArrayDeque<>());
    }
  }

  /** Sets the share for {@code liveControllers} live controllers. The number is at least 1. */
  void setLiveControllers(int liveControllers) {
    requestBucket.setRate(clock.now(), totalRequestsPerS / liveControllers);
    writeBucket.setRate(clock.now(), totalWritesPerS / liveControllers);
  }

  /**
   * Sends the request as soon as the budget allows, possibly before this method returns.
   *
   * @return false if the queue is full, in which case the request is never sent
   */
  boolean enqueue(RequestPriority priority, double requestCost, double writeCost, Runnable action) {
    if (priority != RequestPriority.SESSION && length() >= STATE_QUEUE_MAX) {
      return false;
    }
    queues
        .get(priority.ordinal())
        .add(new QueuedRequest(requestCost, writeCost, clock.now(), action));
    dispatch();
    return true;
  }

  /** Charges one request that the caller sends at once, even if it overdraws the budget. */
  void chargeRequest() {
    requestBucket.spend(clock.now(), 1);
  }

  /** Sends the waiting requests that the budget allows, the highest priority first. */
  void dispatch() {
    long now = clock.now();
    sendWithinBudget(now);
    reportWait(now);
  }

  /** Logs the request that has waited longest if that is long, from time to time. */
  private void reportWait(long now) {
    if (now < nextReportMs) {
      return;
    }
    RequestPriority oldestPriority = null;
    QueuedRequest oldest = null;
    for (RequestPriority priority : PRIORITIES) {
      QueuedRequest head = queues.get(priority.ordinal()).peek();
      if (head != null && (oldest == null || head.enqueuedMs < oldest.enqueuedMs)) {
        oldestPriority = priority;
        oldest = head;
      }
    }
    if (oldest == null || now - oldest.enqueuedMs < WAIT_REPORT_INTERVAL_MS) {
      return;
    }
    nextReportMs = now + WAIT_REPORT_INTERVAL_MS;
    LOG.info(
        "request to the state service waits priority={} waited_ms={} writes={} queued={}",
        oldestPriority,
        now - oldest.enqueuedMs,
        (int) oldest.writeCost,
        queues.get(oldestPriority.ordinal()).size());
  }

  private void sendWithinBudget(long now) {
    for (RequestPriority priority : PRIORITIES) {
      ArrayDeque<QueuedRequest> queue = queues.get(priority.ordinal());
      while (!queue.isEmpty()) {
        QueuedRequest request = queue.peek();
        if (!requestBucket.canSpend(now, request.requestCost, priority.requestReserve())) {
          return;
        }
        if (request.writeCost > 0
            && !writeBucket.canSpend(now, request.writeCost, priority.writeReserve())) {
          if (now - request.enqueuedMs >= PRECEDENCE_WAIT_MS) {
            return;
          }
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

  /**
   * Returns the number of seconds after which a rejected user should retry. It grows with the
   * number of waiting requests.
   */
  int retryAfterS() {
    int seconds = RETRY_AFTER_MIN_S + length() / REQUESTS_PER_RETRY_S;
    return Math.min(RETRY_AFTER_MAX_S, seconds);
  }
}
