package mallowstall.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
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
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import mallowstall.Constants;

/**
 * Serves HTTP to users, workers and health checks; one handler per connection, bounded in number.
 */
public final class HttpServer {
  /** One request; {@code body} is complete. */
  public record Request(String method, String path, byte[] body) {}

  /** Takes the answer, once. */
  public interface Responder {
    /** Sends the answer; each request gets one. */
    void answer(int status, byte[] json, int retryAfterS);
  }

  /** What a server does with its requests. */
  public interface Handler {
    /** Takes a request, which is answered now or later. */
    void handle(Request request, Responder responder);
  }

  /** How long requests and connections are waited for, and how often that is looked at, in ms. */
  record Patience(long slowRequestMs, long idleMs, long sweepMs) {}

  private final Handler handler;
  private final int maxConnections;
  private final Patience patience;
  private final Set<Guard> open = new HashSet<>();
  private Channel listening;
  private PeriodicTask sweep;

  /** A server that keeps so many connections open at most. */
  public HttpServer(Handler handler, int maxConnections) {
    this(
        handler,
        maxConnections,
        new Patience(
            Constants.SLOW_REQUEST_S * 1_000L,
            Constants.IDLE_CONNECTION_S * 1_000L,
            Constants.IDLE_SWEEP_MS));
  }

  HttpServer(Handler handler, int maxConnections, Patience patience) {
    this.patience = patience;
    this.handler = handler;
    this.maxConnections = maxConnections;
  }

  /** Begins to accept connections there; the result tells where, or why not. */
  public CompletableFuture<InetSocketAddress> listen(EventLoopGroup group, InetSocketAddress at) {
    CompletableFuture<InetSocketAddress> result = new CompletableFuture<>();
    ChannelFuture bound =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 256)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    if (open.size() >= maxConnections) {
                      channel.close();
                      return;
                    }
                    Conn c = new Conn();
                    channel
                        .pipeline()
                        .addLast(
                            new Guard(c), new HttpServerCodec(4096, 8192, 8192), new Whole(), c);
                  }
                })
            .bind(at);
    listening = bound.channel();
    // a timer for each connection woke the process fifty times a second for 500 workers
    sweep =
        new PeriodicTask(
            "idle connections", group.next(), patience.sweepMs, () -> closeIdle(System.nanoTime()));
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

  /** Stops listening and closes all connections. */
  public void close() {
    if (listening == null) {
      return;
    }
    sweep.cancel();
    listening.close();
  }

  /** Closes connections whose request arrives too slowly or never. */
  private void closeIdle(long now) {
    for (Guard guard : List.copyOf(open)) {
      if (guard.idle(now)) {
        guard.channel.close();
      }
    }
  }

  /** A body over the limit is the sender's mistake: 400, as the protocol says. */
  private static final class Whole extends HttpObjectAggregator {
    Whole() {
      super(Constants.BODY_MAX);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage m) {
      write(
          ctx,
          400,
          "{\"error\":\"the body is larger than 64 KiB\"}".getBytes(StandardCharsets.UTF_8),
          0,
          false,
          false);
      // closing with unread bytes resets the connection, and the sender may never see the answer
      ctx.executor()
          .schedule(
              (Runnable) ctx::close,
              Constants.LINGER_MS,
              java.util.concurrent.TimeUnit.MILLISECONDS);
    }
  }

  /** Knows since when a connection's next request is awaited. */
  private final class Guard extends ChannelInboundHandlerAdapter {
    private final Conn conn;
    private Channel channel;
    private long since;
    private long lastRead;

    Guard(Conn conn) {
      this.conn = conn;
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
    public void channelRead(ChannelHandlerContext ctx, Object m) {
      lastRead = System.nanoTime();
      if (conn.complete) {
        conn.complete = false;
        since = lastRead;
      } else if (idle(lastRead)) {
        if (m instanceof ByteBuf b) {
          b.release();
        }
        ctx.close();
        return;
      }
      ctx.fireChannelRead(m);
    }

    /** Whether a request that has begun isn't complete in time, or none begins for long. */
    private boolean idle(long now) {
      if (conn.busy) {
        return false;
      }
      return conn.complete
          ? now - lastRead > TimeUnit.MILLISECONDS.toNanos(patience.idleMs)
          : now - since > TimeUnit.MILLISECONDS.toNanos(patience.slowRequestMs);
    }
  }

  /** One connection: its requests are answered one after the other. */
  private final class Conn extends SimpleChannelInboundHandler<FullHttpRequest> {
    /** The last request has arrived whole and no further one has begun. */
    private boolean complete;

    private boolean busy;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest q) {
      complete = true;
      busy = true;
      boolean keep = HttpUtil.isKeepAlive(q);
      if (!q.decoderResult().isSuccess()) {
        write(
            ctx,
            400,
            "{\"error\":\"not a valid HTTP request\"}".getBytes(StandardCharsets.UTF_8),
            0,
            false);
        return;
      }
      byte[] body = new byte[q.content().readableBytes()];
      q.content().readBytes(body);
      handler.handle(
          new Request(q.method().name(), q.uri(), body),
          (status, json, retry) -> {
            if (!busy) {
              return;
            }
            busy = false;
            write(ctx, status, json, retry, keep);
          });
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable failure) {
      if (failure instanceof TooLongFrameException) {
        write(
            ctx,
            400,
            "{\"error\":\"not a valid HTTP request\"}".getBytes(StandardCharsets.UTF_8),
            0,
            false);
      } else {
        ctx.close();
      }
    }
  }

  private static void write(
      ChannelHandlerContext ctx, int status, byte[] json, int retryAfterS, boolean keep) {
    write(ctx, status, json, retryAfterS, keep, !keep);
  }

  private static void write(
      ChannelHandlerContext ctx,
      int status,
      byte[] json,
      int retryAfterS,
      boolean keep,
      boolean close) {
    DefaultFullHttpResponse r =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(json));
    r.headers()
        .set(
            HttpHeaderNames.CONTENT_TYPE,
            json.length > 0 && json[0] == '{' ? "application/json" : "text/plain");
    r.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, json.length);
    if (retryAfterS > 0) {
      r.headers().setInt(HttpHeaderNames.RETRY_AFTER, retryAfterS);
    }
    if (!keep) {
      r.headers().set(HttpHeaderNames.CONNECTION, "close");
    }
    var f = ctx.writeAndFlush(r);
    if (close) {
      f.addListener(ChannelFutureListener.CLOSE);
    }
  }
}
