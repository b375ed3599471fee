package mallowstall.core;

import java.util.PriorityQueue;

/**
 * The time of the event being handled, and what is scheduled for later. Time doesn't advance while
 * an event is handled. Not thread-safe.
 */
final class EventClock {
  /** Bounds the timers run for one event, should one keep scheduling itself without delay. */
  private static final int TIMERS_PER_EVENT = 10_000;

  /** A scheduled action; of those due at the same time the first one scheduled runs first. */
  private record Timer(long at, long order, Runnable action) {}

  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private long now;
  private long wallClock;
  private long timerOrder;
  private long startedAt;

  /** Sets the steady time and the time of day, both in ms; steady time never goes back. */
  void advance(long steadyMs, long wallMs) {
    now = Math.max(now, steadyMs);
    wallClock = wallMs;
  }

  /** Steady time in ms. */
  long now() {
    return now;
  }

  /** Time of day in ms since 1970. */
  long wallClock() {
    return wallClock;
  }

  /** Runs the action after so many ms of steady time. */
  void schedule(long delayMs, Runnable action) {
    timers.add(new Timer(now + delayMs, timerOrder++, action));
  }

  /** Runs the timers that are due. */
  void runDue() {
    for (int i = 0; i < TIMERS_PER_EVENT && !timers.isEmpty() && timers.peek().at <= now; i++) {
      timers.poll().action.run();
    }
  }

  /** Steady time at which the next timer is due; {@code Long.MAX_VALUE} if there is none. */
  long nextTimer() {
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().at;
  }

  /** Notes that the process has begun its regular work; only the first call counts. */
  void started() {
    if (startedAt == 0) {
      startedAt = now;
    }
  }

  /** When this process began; whatever answered in its name before was dead by then. */
  long startedAt() {
    return startedAt;
  }
}
