package mallowstall.core.kernel;

import java.util.PriorityQueue;

/**
 * The time of the event being handled, and the timers. Time doesn't advance while an event is
 * handled. Steady time counts milliseconds from an unspecified start. Not thread-safe.
 */
public final class EventClock {
  /**
   * Maximum number of timers run for one event. Without the limit, a timer that schedules itself
   * again without delay would block the event loop.
   */
  private static final int TIMERS_PER_EVENT = 10_000;

  /** A scheduled action; {@code sequence} orders timers that are due at one time. */
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

  /**
   * Sets the steady time and the time of day, both in milliseconds. A steady time before the
   * current one is ignored.
   */
  public void advance(long steadyMs, long wallMs) {
    now = Math.max(now, steadyMs);
    wallClockMs = wallMs;
  }

  /** Returns the steady time in milliseconds. */
  public long now() {
    return now;
  }

  /** Returns the time of day in milliseconds since 1970. */
  public long wallClockMs() {
    return wallClockMs;
  }

  /** Schedules the action to run once after {@code delayMs} milliseconds of steady time. */
  public void schedule(long delayMs, Runnable action) {
    timers.add(new Timer(now + delayMs, nextTimerSequence++, action));
  }

  /**
   * Runs the timers that are due, the earliest first. Timers that are due at one time run in the
   * order in which they were scheduled.
   */
  public void runDue() {
    for (int i = 0; i < TIMERS_PER_EVENT && !timers.isEmpty() && timers.peek().dueMs <= now; i++) {
      timers.poll().action.run();
    }
  }

  /**
   * Returns the steady time in milliseconds at which the next timer is due, or {@code
   * Long.MAX_VALUE} if there is none.
   */
  public long nextTimerMs() {
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueMs;
  }

  /** Records that the process starts its periodic work now. Only the first call has an effect. */
  public void markStarted() {
    if (startedAtMs == 0) {
      startedAtMs = now;
    }
  }

  /**
   * Returns the steady time in milliseconds at which this process started its periodic work, or 0
   * if it hasn't yet. Any former process of this controller had ended by then.
   */
  public long startedAtMs() {
    return startedAtMs;
  }
}
