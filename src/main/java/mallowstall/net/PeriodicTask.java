package mallowstall.net;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A named task that an event loop runs with a fixed delay until it is cancelled. */
public final class PeriodicTask {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.net");
  private final String name;
  private final ScheduledFuture<?> future;

  /**
   * Schedules the task: the body runs at once, and again {@code delayMs} after each run has ended
   * or failed.
   */
  public PeriodicTask(String name, EventLoop loop, long delayMs, Runnable body) {
    this.name = name;
    this.future =
        loop.scheduleWithFixedDelay(
            () -> {
              try {
                body.run();
              } catch (RuntimeException failure) {
                LOG.error("periodic task failed name={}", name, failure);
              }
            },
            0,
            delayMs,
            TimeUnit.MILLISECONDS);
  }

  /** Cancels further runs. A run that has begun is completed. */
  public void cancel() {
    LOG.debug("periodic task cancelled name={}", name);
    future.cancel(false);
  }
}
