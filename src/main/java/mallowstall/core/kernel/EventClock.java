package mallowstall.core.kernel;

import java.util.PriorityQueue;

/**
 * The time of the event being handled, and the timers. Time doesn't advance while an event is
 * handled. Steady time counts ms from an unspecified start. Not thread-safe.
 */
public final class EventClock {
  /** Keeps a timer that schedules itself again without delay from blocking the event loop. */
  private static final int TIMERS_PER_EVENT = 10_000;

  /** A scheduled action. */
  private record Timer(long dueMs, long sequence, Runnable action) {}

  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          (a, b) ->
              a.dueMs != b.dueMs
                  ? Long.compare(a.dueMs, b.dueMs)
                  : Long.compare(a.sequence, b.sequence));
  private long now;
  private long wallClockMs;
  private long nextTimerSequence;
  private long startedAtMs;

  /** Sets steady time and time of day, both in ms; a smaller steady time is ignored. */
  public void advance(long steadyMs, long wallMs) {
    now = Math.max(now, steadyMs);
    wallClockMs = wallMs;
  }

  /** Steady time in ms. */
  public long now() {
    return now;
  }

  /** Time of day in ms since 1970. */
  public long wallClockMs() {
    return wallClockMs;
  }

  /** Runs the action once so many ms of steady time have passed. */
  public void schedule(long delayMs, Runnable action) {
    timers.add(new Timer(now + delayMs, nextTimerSequence++, action));
  }

  /** Runs the timers that are due, the earliest first; of equal ones the one scheduled first. */
  public void runDue() {
    for (int i = 0; i < TIMERS_PER_EVENT && !timers.isEmpty() && timers.peek().dueMs <= now; i++) {
      timers.poll().action.run();
    }
  }

  /** Steady time at which the next timer is due; {@code Long.MAX_VALUE} if there is none. */
  public long nextTimerMs() {
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueMs;
  }

  /** The process begins its regular work now; only the first call counts. */
  public void markStarted() {
    if (startedAtMs == 0) {
      startedAtMs = now;
    }
  }

  /** Steady time in ms at which this process began; any former process had ended by then. */
  public long startedAtMs() {
    return startedAtMs;
  }
}
