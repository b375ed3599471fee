package mallowstall.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
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
 * HTTP server for users, workers and health checks. The server bounds the number of connections,
 * answers the requests of a connection in order, and closes idle and slow connections. It runs on
 * one event loop, on which the handler is called and must respond.
 */
public final class HttpServer {
  /** A request with its complete body. */
  public record Request(String method, String path, byte[] body) {}

  /**
   * A response. It has no Retry-After header if {@code retryAfterS} is 0.
   *
   * @param onArrival null, or called once, as a separate event, when the client has shown that it
   *     has received the response or doesn't wait for it. It is not called if the connection breaks
   *     or the client shows neither. Such a response is the last one of its connection.
   */
  public record Response(int status, byte[] json, int retryAfterS, Runnable onArrival) {
    /** Creates a response whose arrival is not reported. */
    public Response(int status, byte[] json, int retryAfterS) {
      this(status, json, retryAfterS, null);
    }
  }

  /** Sends the response to one request. Calls after the first one are ignored. */
  public interface Responder {
    /** Sends a response, without a Retry-After header if {@code retryAfterS} is 0. */
    void answer(int status, byte[] json, int retryAfterS);

    /**
     * Sends the response that the function returns for the time of the write, in milliseconds of
     * {@link SteadyClock}. A responder without a connection has no time of the write and passes
     * {@link Long#MIN_VALUE}, for which no response is too late.
     */
    default void answerAtWriteTime(LongFunction<Response> responseAt) {
      Response response = responseAt.apply(Long.MIN_VALUE);
      answer(response.status(), response.json(), response.retryAfterS());
    }
  }

  /** Handles the requests that a server receives. */
  public interface Handler {
    /** Handles a request. The responder may be used before this method returns or later. */
    void handle(Request request, Responder responder);
  }

  /** Timeouts of slow requests and idle connections, and the interval at which they are checked. */
  record Timeouts(long slowRequestMs, long idleMs, long sweepMs) {}

  /** Maximum number of requests of a connection that wait for the response to an earlier one. */
  private static final int WAITING_REQUESTS_MAX = 8;

  private static final byte[] BODY_TOO_LARGE =
      "{\"error\":\"the body is larger than 64 KiB\"}".getBytes(StandardCharsets.UTF_8);
  private static final byte[] INVALID_REQUEST =
      "{\"error\":\"not a valid HTTP request\"}".getBytes(StandardCharsets.UTF_8);

  private final Handler handler;
  private final int maxConnections;
  private final Timeouts timeouts;
  private final Set<IdleTracker> openConnections = new HashSet<>();
  private Channel serverChannel;
  private PeriodicTask sweep;

  /** Creates a server that has at most {@code maxConnections} connections open at a time. */
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

  /** Binds the address. The future completes with the bound address or with the failure. */
  public CompletableFuture<InetSocketAddress> listen(
      EventLoopGroup group, InetSocketAddress address) {
    CompletableFuture<InetSocketAddress> result = new CompletableFuture<>();
    ChannelFuture bound =
        TcpBootstraps.server(group, this::accept)
            .option(ChannelOption.SO_BACKLOG, 256)
            .bind(address);
    serverChannel = bound.channel();
    // One sweep checks all connections: a timer per connection would wake the process too often.
    sweep =
        new PeriodicTask(
            "idle connections", group.next(), timeouts.sweepMs, () -> closeIdle(System.nanoTime()));
    bound.addListener(
        future -> {
          if (future.isSuccess()) {
            result.complete((InetSocketAddress) serverChannel.localAddress());
          } else {
            result.completeExceptionally(future.cause());
          }
        });
    return result;
  }

  private void accept(SocketChannel channel) {
    if (openConnections.size() >= maxConnections) {
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

  /** Stops listening. Open connections are closed when the event loop shuts down. */
  public void close() {
    if (serverChannel == null) {
      return;
    }
    sweep.cancel();
    serverChannel.close();
  }

  /** Closes connections whose next request arrives too slowly or not at all. */
  private void closeIdle(long now) {
    for (IdleTracker tracker : List.copyOf(openConnections)) {
      if (tracker.timedOut(now)) {
        tracker.channel.close();
      }
    }
  }

  /**
   * Collects the body of a request. A request whose body is larger than {@link
   * Constants#BODY_MAX_BYTES} is answered with 400, as the protocol requires.
   */
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
      HttpResponses.write(ctx, HttpStatus.BAD_REQUEST, BODY_TOO_LARGE, 0, false, false);
      // Closing a connection with unread bytes resets it, and the client may then never receive
      // the response. The rest of the body is therefore read and dropped before the close.
      ctx.executor()
          .schedule((Runnable) ctx::close, Constants.BODY_DISCARD_MS, TimeUnit.MILLISECONDS);
    }
  }

  /** Tracks how long a connection has been waiting for its next request or for the rest of it. */
  private final class IdleTracker extends ChannelInboundHandlerAdapter {
    private final Connection connection;
    private Channel channel;
    private long requestStartNanos;
    private long lastReadNanos;

    IdleTracker(Connection connection) {
      this.connection = connection;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      channel = ctx.channel();
      openConnections.add(this);
      requestStartNanos = System.nanoTime();
      lastReadNanos = requestStartNanos;
      ctx.fireChannelActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      openConnections.remove(this);
      ctx.fireChannelInactive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      lastReadNanos = System.nanoTime();
      if (connection.requestComplete) {
        connection.requestComplete = false;
        requestStartNanos = lastReadNanos;
      } else if (timedOut(lastReadNanos)) {
        if (message instanceof ByteBuf bytes) {
          bytes.release();
        }
        ctx.close();
        return;
      }
      ctx.fireChannelRead(message);
    }

    /**
     * Returns whether a request is incomplete {@code slowRequestMs} after it began, or no request
     * has begun for {@code idleMs}. The first request of a connection begins with the connect. A
     * connection with an unanswered request never times out.
     */
    private boolean timedOut(long now) {
      if (connection.busy) {
        return false;
      }
      return connection.requestComplete
          ? now - lastReadNanos > TimeUnit.MILLISECONDS.toNanos(timeouts.idleMs)
          : now - requestStartNanos > TimeUnit.MILLISECONDS.toNanos(timeouts.slowRequestMs);
    }
  }

  /** A received request, null if it is not valid HTTP, and whether the connection stays open. */
  private record Received(Request request, boolean keepAlive) {}

  /** A connection, whose requests are handled and answered one after the other. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
    /** Requests that wait for the response to an earlier request, in order of receipt. */
    private final Deque<Received> waiting = new ArrayDeque<>();

    /** Whether the last request has been received completely and no further request has begun. */
    private boolean requestComplete;

    private boolean busy;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      requestComplete = true;
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
        HttpResponses.write(ctx, HttpStatus.BAD_REQUEST, INVALID_REQUEST, 0, false);
      } else {
        handler.handle(received.request, new ConnectionResponder(ctx, received.keepAlive));
      }
    }

    /** Schedules the next request as a separate event, after the event that sends this response. */
    private void handleNext(ChannelHandlerContext ctx) {
      Received next = waiting.poll();
      if (next == null) {
        busy = false;
      } else {
        ctx.executor().execute(() -> handle(ctx, next));
      }
    }

    /**
     * Closes the connection if an earlier request is unanswered, because the client would take an
     * error response for the response to that request. Returns whether one is unanswered.
     */
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
        HttpResponses.write(ctx, HttpStatus.BAD_REQUEST, INVALID_REQUEST, 0, false);
      }
    }

    /** Sends the response to one request of the connection. */
    private final class ConnectionResponder implements Responder {
      private final ChannelHandlerContext ctx;
      private final boolean keepAlive;
      private boolean answered;

      ConnectionResponder(ChannelHandlerContext ctx, boolean keepAlive) {
        this.ctx = ctx;
        this.keepAlive = keepAlive;
      }

      @Override
      public void answer(int status, byte[] json, int retryAfterS) {
        if (!answered) {
          answered = true;
          HttpResponses.write(ctx, status, json, retryAfterS, keepAlive);
          handleNext(ctx);
        }
      }

      /**
       * Closes the connection if the socket doesn't accept the whole response at once, because the
       * rest would be sent too late.
       */
      @Override
      public void answerAtWriteTime(LongFunction<Response> responseAt) {
        if (answered) {
          return;
        }
        answered = true;
        Response response = responseAt.apply(SteadyClock.nowMs());
        if (response.onArrival != null) {
          writeLast(response);
          return;
        }
        ChannelFuture written =
            HttpResponses.write(
                ctx, response.status(), response.json(), response.retryAfterS(), keepAlive);
        if (!written.isDone()) {
          ctx.close();
        }
        handleNext(ctx);
      }

      /** Sends the last response of the connection, which the client then closes. */
      private void writeLast(Response response) {
        if (!ctx.channel().isActive()) {
          ctx.executor().execute(response.onArrival);
          return;
        }
        ctx.pipeline().addFirst(new ArrivalHandler(response.onArrival));
        ChannelFuture written =
            HttpResponses.write(
                ctx, response.status(), response.json(), response.retryAfterS(), false, false);
        if (!written.isSuccess()) {
          ctx.close();
        }
      }
    }
  }
}
