package mallowstall.net;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Reports that the last response of a connection has arrived. The response has the header {@code
 * Connection: close}, so a client closes the connection as soon as it has read the response, or
 * earlier if it doesn't wait for the response. The end of the client's stream is therefore a sign
 * of either. A further request is a sign as well, because requests are not pipelined. A reset is no
 * sign: it may come from between the two ends, while the client still reads.
 *
 * <p>Must be the first handler of the pipeline and be added before the response is written. Closes
 * the connection if no sign comes.
 */
final class ArrivalHandler extends ChannelDuplexHandler {
  /**
   * Time in milliseconds that a client has to close the connection. A client that ignores the
   * response's length waits as long for the end of the response.
   */
  static final long CLOSE_WAIT_MS = 1_000;

  private final Runnable onArrival;
  private ScheduledFuture<?> closeTimer;

  /** Whether the arrival was reported, or the connection ends for another reason. */
  private boolean decided;

  /** Creates a handler that calls {@code onArrival} at most once, on the event loop. */
  ArrivalHandler(Runnable onArrival) {
    this.onArrival = onArrival;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    closeTimer =
        ctx.executor().schedule(() -> ctx.channel().close(), CLOSE_WAIT_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    ReferenceCountUtil.release(message);
    arrived();
    ctx.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closeTimer.cancel(false);
    // an event loop that shuts down closes its connections by itself
    if (!ctx.executor().isShuttingDown()) {
      arrived();
    }
    ctx.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable failure) {
    decided = true;
    ctx.fireExceptionCaught(failure);
  }

  @Override
  public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
    decided = true;
    ctx.close(promise);
  }

  private void arrived() {
    if (!decided) {
      decided = true;
      onArrival.run();
    }
  }
}
