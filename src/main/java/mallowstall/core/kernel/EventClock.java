package mallowstall.core.kernel;

import java.util.PriorityQueue;

/**
 * The time of the event being handled, and what is scheduled for later. Time doesn't advance while
 * an event is handled. Not thread-safe.
 */
public final class EventClock {
  /** Bounds the timers run for one event, should one keep scheduling itself without delay. */
  private static final int TIMERS_PER_EVENT = 10_000;

  /** A scheduled action; of those due at the same time the first one scheduled runs first. */
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

  /** Sets the steady time and the time of day, both in ms; steady time never goes back. */
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

  /** Runs the action after so many ms of steady time. */
  public void schedule(long delayMs, Runnable action) {
    timers.add(new Timer(now + delayMs, nextTimerSequence++, action));
  }

  /** Runs the timers that are due. */
  public void runDue() {
    for (int i = 0; i < TIMERS_PER_EVENT && !timers.isEmpty() && timers.peek().dueMs <= now; i++) {
      timers.poll().action.run();
    }
  }

  /** Steady time at which the next timer is due; {@code Long.MAX_VALUE} if there is none. */
  public long nextTimerMs() {
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueMs;
  }

  /** Notes that the process has begun its regular work; only the first call counts. */
  public void markStarted() {
    if (startedAtMs == 0) {
      startedAtMs = now;
    }
  }

  /** When this process began; whatever answered in its name before was dead by then. */
  public long startedAtMs() {
    return startedAtMs;
  }
}
