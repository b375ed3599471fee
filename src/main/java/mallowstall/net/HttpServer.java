package mallowstall.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import mallowstall.Constants;

/**
 * HTTP server for users, workers and health checks. Connections are bounded in number, their
 * requests are answered one after the other, and those that are idle or too slow are closed. Runs
 * on one event loop, on which the handler is called and must respond.
 */
public final class HttpServer {
  /** One request; {@code body} is complete. */
  public record Request(String method, String path, byte[] body) {}

  /** A response; {@code retryAfterS} 0: without a Retry-After header. */
  public record Response(int status, byte[] json, int retryAfterS) {}

  /** Takes the response to one request, once; later calls are ignored. */
  public interface Responder {
    /** Sends the response; {@code retryAfterS} 0: without a Retry-After header. */
    void answer(int status, byte[] json, int retryAfterS);

    /**
     * Sends the response that may leave in the moment of the write, in steady ms by {@link
     * SteadyClock}. A responder that writes to no connection has no such moment, and is in time.
     */
    default void answerAtDeparture(LongFunction<Response> responseAt) {
      Response response = responseAt.apply(Long.MIN_VALUE);
      answer(response.status(), response.json(), response.retryAfterS());
    }
  }

  /** What a server does with its requests. */
  public interface Handler {
    /** Takes a request, which is answered now or later. */
    void handle(Request request, Responder responder);
  }

  /** Limits for slow requests and idle connections, and the interval at which they are checked. */
  record Timeouts(long slowRequestMs, long idleMs, long sweepMs) {}

  /** Count. Requests of a connection that wait for the answer to an earlier one. */
  private static final int WAITING_REQUESTS_MAX = 8;

  private static final byte[] BODY_TOO_LARGE =
      "{\"error\":\"the body is larger than 64 KiB\"}".getBytes(StandardCharsets.UTF_8);
  private static final byte[] INVALID_REQUEST =
      "{\"error\":\"not a valid HTTP request\"}".getBytes(StandardCharsets.UTF_8);

  private final Handler handler;
  private final int maxConnections;
  private final Timeouts timeouts;
  private final Set<IdleTracker> open = new HashSet<>();
  private Channel listening;
  private PeriodicTask sweep;

  /** A server that keeps so many connections open at most. */
  public HttpServer(Handler handler, int maxConnections) {
    this(
        handler,
        maxConnections,
        new Timeouts(
            Constants.REQUEST_READ_TIMEOUT_S * 1_000L,
            Constants.IDLE_CONNECTION_TIMEOUT_S * 1_000L,
            Constants.CONNECTION_SWEEP_INTERVAL_MS));
  }

  HttpServer(Handler handler, int maxConnections, Timeouts timeouts) {
    this.timeouts = timeouts;
    this.handler = handler;
    this.maxConnections = maxConnections;
  }

  /** Binds the address; the result is the bound address, or the failure. */
  public CompletableFuture<InetSocketAddress> listen(EventLoopGroup group, InetSocketAddress at) {
    CompletableFuture<InetSocketAddress> result = new CompletableFuture<>();
    ChannelFuture bound =
        TcpBootstraps.server(group, this::accept).option(ChannelOption.SO_BACKLOG, 256).bind(at);
    listening = bound.channel();
    // one sweep for all connections: a timer for each wakes the process too often
    sweep =
        new PeriodicTask(
            "idle connections", group.next(), timeouts.sweepMs, () -> closeIdle(System.nanoTime()));
    bound.addListener(
        future -> {
          if (future.isSuccess()) {
            result.complete((InetSocketAddress) listening.localAddress());
          } else {
            result.completeExceptionally(future.cause());
          }
        });
    return result;
  }

  private void accept(SocketChannel channel) {
    if (open.size() >= maxConnections) {
      channel.close();
      return;
    }
    Connection connection = new Connection();
    channel
        .pipeline()
        .addLast(
            new IdleTracker(connection),
            new HttpServerCodec(4096, 8192, 8192),
            new BodyAggregator(connection),
            connection);
  }

  /** Stops listening; open connections close with the event loop. */
  public void close() {
    if (listening == null) {
      return;
    }
    sweep.cancel();
    listening.close();
  }

  /** Closes connections whose request arrives too slowly or never. */
  private void closeIdle(long now) {
    for (IdleTracker tracker : List.copyOf(open)) {
      if (tracker.idle(now)) {
        tracker.channel.close();
      }
    }
  }

  /** Collects a request's body; one over the limit is answered with 400, as the protocol says. */
  private static final class BodyAggregator extends HttpObjectAggregator {
    private final Connection connection;

    BodyAggregator(Connection connection) {
      super(Constants.BODY_MAX_BYTES);
      this.connection = connection;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage message) {
      if (connection.closeIfBusy(ctx)) {
        return;
      }
      write(ctx, HttpStatus.BAD_REQUEST, BODY_TOO_LARGE, 0, false, false);
      // closing with unread bytes resets the connection, and the sender may never see the answer
      ctx.executor()
          .schedule((Runnable) ctx::close, Constants.BODY_DISCARD_MS, TimeUnit.MILLISECONDS);
    }
  }

  /** Tracks since when a connection's next request is awaited. */
  private final class IdleTracker extends ChannelInboundHandlerAdapter {
    private final Connection connection;
    private Channel channel;
    private long since;
    private long lastRead;

    IdleTracker(Connection connection) {
      this.connection = connection;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      channel = ctx.channel();
      open.add(this);
      since = System.nanoTime();
      lastRead = since;
      ctx.fireChannelActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      open.remove(this);
      ctx.fireChannelInactive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      lastRead = System.nanoTime();
      if (connection.complete) {
        connection.complete = false;
        since = lastRead;
      } else if (idle(lastRead)) {
        if (message instanceof ByteBuf bytes) {
          bytes.release();
        }
        ctx.close();
        return;
      }
      ctx.fireChannelRead(message);
    }

    /** Whether a request that has begun isn't complete in time, or none begins for long. */
    private boolean idle(long now) {
      if (connection.busy) {
        return false;
      }
      return connection.complete
          ? now - lastRead > TimeUnit.MILLISECONDS.toNanos(timeouts.idleMs)
          : now - since > TimeUnit.MILLISECONDS.toNanos(timeouts.slowRequestMs);
    }
  }

  /** A request as it was received; null {@code request}: it isn't valid HTTP. */
  private record Received(Request request, boolean keep) {}

  /** One connection: its requests are handled and answered one after the other. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
    /** Requests that came before the one ahead of them was answered, in their order. */
    private final Deque<Received> waiting = new ArrayDeque<>();

    /** The last request has arrived whole and no further one has begun. */
    private boolean complete;

    private boolean busy;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      complete = true;
      Received received = received(request);
      if (!busy) {
        handle(ctx, received);
      } else if (waiting.size() < WAITING_REQUESTS_MAX) {
        waiting.add(received);
      } else {
        ctx.close();
      }
    }

    private static Received received(FullHttpRequest request) {
      if (!request.decoderResult().isSuccess()) {
        return new Received(null, false);
      }
      byte[] body = new byte[request.content().readableBytes()];
      request.content().readBytes(body);
      return new Received(
          new Request(request.method().name(), request.uri(), body), HttpUtil.isKeepAlive(request));
    }

    private void handle(ChannelHandlerContext ctx, Received received) {
      if (!ctx.channel().isActive()) {
        return;
      }
      busy = true;
      if (received.request == null) {
        write(ctx, HttpStatus.BAD_REQUEST, INVALID_REQUEST, 0, false);
      } else {
        handler.handle(received.request, new ConnectionResponder(ctx, received.keep));
      }
    }

    /** The next request is an event of its own, after the one that responds to this request. */
    private void handleNext(ChannelHandlerContext ctx) {
      Received next = waiting.poll();
      if (next == null) {
        busy = false;
      } else {
        ctx.executor().execute(() -> handle(ctx, next));
      }
    }

    /** A response now would be taken for that to an earlier request. */
    private boolean closeIfBusy(ChannelHandlerContext ctx) {
      if (busy) {
        ctx.close();
      }
      return busy;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable failure) {
      if (!(failure instanceof TooLongFrameException)) {
        ctx.close();
      } else if (!closeIfBusy(ctx)) {
        write(ctx, HttpStatus.BAD_REQUEST, INVALID_REQUEST, 0, false);
      }
    }

    /** Responds to one request of the connection, once. */
    private final class ConnectionResponder implements Responder {
      private final ChannelHandlerContext ctx;
      private final boolean keep;
      private boolean answered;

      ConnectionResponder(ChannelHandlerContext ctx, boolean keep) {
        this.ctx = ctx;
        this.keep = keep;
      }

      @Override
      public void answer(int status, byte[] json, int retryAfterS) {
        if (!answered) {
          answered = true;
          write(ctx, status, json, retryAfterS, keep);
          handleNext(ctx);
        }
      }

      /** What the socket doesn't take at once would leave too late: the connection is closed. */
      @Override
      public void answerAtDeparture(LongFunction<Response> responseAt) {
        if (answered) {
          return;
        }
        answered = true;
        Response response = responseAt.apply(SteadyClock.nowMs());
        ChannelFuture written =
            write(ctx, response.status(), response.json(), response.retryAfterS(), keep);
        if (!written.isDone()) {
          ctx.close();
        }
        handleNext(ctx);
      }
    }
  }

  private static ChannelFuture write(
      ChannelHandlerContext ctx, int status, byte[] json, int retryAfterS, boolean keep) {
    return write(ctx, status, json, retryAfterS, keep, !keep);
  }

  private static ChannelFuture write(
      ChannelHandlerContext ctx,
      int status,
      byte[] json,
      int retryAfterS,
      boolean keep,
      boolean close) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(json));
    response
        .headers()
        .set(
            HttpHeaderNames.CONTENT_TYPE,
            json.length > 0 && json[0] == '{' ? "application/json" : "text/plain");
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, json.length);
    if (retryAfterS > 0) {
      response.headers().setInt(HttpHeaderNames.RETRY_AFTER, retryAfterS);
    }
    if (!keep) {
      response.headers().set(HttpHeaderNames.CONNECTION, "close");
    }
    ChannelFuture written = ctx.writeAndFlush(response);
    if (close) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
    return written;
  }
}
