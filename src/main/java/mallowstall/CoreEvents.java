package mallowstall;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import mallowstall.core.ControllerCore;
import mallowstall.net.SteadyClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the core's events one at a time, sets the core's time before each event, and wakes the core
 * when its next timer is due. Used on the event loop only.
 */
final class CoreEvents {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.service");

  /** A time that is later than any timer. */
  private static final long NEVER = Long.MAX_VALUE;

  private final ControllerCore core;
  private final EventLoop loop;

  /** The scheduled wake-up, or null before the first one. */
  private ScheduledFuture<?> wakeUp;

  /**
   * Steady time in milliseconds at which the wake-up is due, or {@link #NEVER} if none is
   * scheduled.
   */
  private long wakeUpAt = NEVER;

  CoreEvents(ControllerCore core, EventLoop loop) {
    this.core = core;
    this.loop = loop;
  }

  /**
   * Runs one event and the work that is then due, and schedules the next wake-up. A failure of the
   * event is logged and not thrown, because the next timer must be scheduled in any case.
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

  /** Cancels the scheduled wake-up. No other wake-up follows unless another event runs. */
  void cancelTimer() {
    if (wakeUp != null) {
      wakeUp.cancel(false);
    }
  }

  /**
   * Replaces a wake-up that is later than the next timer. An earlier wake-up does no harm and
   * stays.
   */
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
