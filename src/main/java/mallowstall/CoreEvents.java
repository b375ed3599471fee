package mallowstall;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import mallowstall.core.ControllerCore;
import mallowstall.net.SteadyClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the events of the core one by one with the clock set, and wakes the core when its next timer
 * is due. Used on the event loop only.
 */
final class CoreEvents {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.service");

  /** Later than every timer. */
  private static final long NEVER = Long.MAX_VALUE;

  private final ControllerCore core;
  private final EventLoop loop;

  /** The scheduled wake-up; null before the first one. */
  private ScheduledFuture<?> wakeUp;

  /** Steady ms. When it is due; {@link #NEVER} if none is. */
  private long wakeUpAt = NEVER;

  CoreEvents(ControllerCore core, EventLoop loop) {
    this.core = core;
    this.loop = loop;
  }

  /**
   * Runs one event, then what it has made due, and schedules the next wake-up. A failure of the
   * event is logged: the next timer must be scheduled all the same.
   */
  void run(Runnable event) {
    core.setTime(SteadyClock.nowMs(), System.currentTimeMillis());
    try {
      event.run();
      core.runDueWork();
    } catch (RuntimeException failure) {
      LOG.error("event failed", failure);
    }
    scheduleWakeUp();
  }

  /** No wake-up comes any more, unless another event runs. */
  void cancelTimer() {
    if (wakeUp != null) {
      wakeUp.cancel(false);
    }
  }

  /** A wake-up that is later than the next timer is replaced; an earlier one does no harm. */
  private void scheduleWakeUp() {
    long next = core.nextTimerMs();
    if (next >= wakeUpAt) {
      return;
    }
    cancelTimer();
    wakeUpAt = next;
    wakeUp =
        loop.schedule(this::wakeUp, Math.max(1, next - SteadyClock.nowMs()), TimeUnit.MILLISECONDS);
  }

  private void wakeUp() {
    wakeUpAt = NEVER;
    run(() -> {});
  }
}
