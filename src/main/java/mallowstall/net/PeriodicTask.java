package mallowstall.net;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A named long-lived task on the event loop, run at a fixed delay until it is cancelled. */
public final class PeriodicTask {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.duty");
  private final String name;
  private final ScheduledFuture<?> future;

  /** Runs the body again and again, at this interval, until it is cancelled. */
  public PeriodicTask(String name, EventLoop loop, long everyMs, Runnable body) {
    this.name = name;
    this.future =
        loop.scheduleWithFixedDelay(
            () -> {
              try {
                body.run();
              } catch (RuntimeException failure) {
                LOG.error("duty {} failed", name, failure);
              }
            },
            0,
            everyMs,
            TimeUnit.MILLISECONDS);
  }

  /** The body runs no more. */
  public void cancel() {
    LOG.debug("duty {} ends", name);
    future.cancel(false);
  }
}
