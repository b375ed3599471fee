package mallowstall.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * HTTP client for one server. The client keeps a bounded number of persistent connections and does
 * not pipeline requests. All methods must be called on the event loop, which also runs callbacks.
 */
public final class HttpClient {
  /**
   * The result of a call: the HTTP status and body of the response, or {@link #NO_RESPONSE} or
   * {@link #NOT_SENT} with an empty body.
   */
  public record Reply(int status, byte[] body) {
    /**
     * The status of a call without a response. The server may have executed the request, or may
     * still execute it later.
     */
    public static final int NO_RESPONSE = 0;

    /** The status of a call whose request was never sent. */
    public static final int NOT_SENT = -1;

    static final Reply WITHOUT_RESPONSE = new Reply(NO_RESPONSE, new byte[0]);
    static final Reply UNSENT = new Reply(NOT_SENT, new byte[0]);
  }

  /** Receives the result of a call on the event loop. */
  public interface Callback {
    /** Invoked once when the call has ended, with or without a response. */
    void done(Reply reply);
  }

  /** Maximum size of a response body in bytes. */
  private static final int MAX_RESPONSE_BYTES = 8 << 20;

  /** Maximum number of calls that wait for a connection. Further calls end as not sent. */
  private static final int MAX_QUEUED_CALLS = 400;

  private static final long MAX_CONNECT_MS = 1_000;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final int maxConnections;
  private final String host;
  private final ArrayDeque<Connection> idle = new ArrayDeque<>();
  private final ArrayDeque<Call> queue = new ArrayDeque<>();
  private int openConnections;
  private boolean retired;

  /** A request with its deadline and the callback for its result. Mutable. */
  private static final class Call {
    final HttpMethod method;
    final String path;
    final byte[] body;
    final Callback callback;
    final long deadline;
    boolean finished;

    Call(HttpMethod method, String path, byte[] body, long deadline, Callback callback) {
      this.method = method;
      this.path = path;
      this.body = body;
      this.deadline = deadline;
      this.callback = callback;
    }

    void finish(Reply reply) {
      if (finished) {
        return;
      }
      finished = true;
      callback.done(reply);
    }
  }

  /** Creates a client that has at most {@code maxConnections} connections open at a time. */
  public HttpClient(EventLoop loop, InetSocketAddress address, int maxConnections) {
    this.loop = loop;
    this.address = address;
    this.maxConnections = maxConnections;
    this.host = address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /**
   * Sends a request. The callback is called exactly once, at the latest when {@code timeoutMs}
   * milliseconds have passed.
   */
  public void call(HttpMethod method, String path, byte[] body, long timeoutMs, Callback callback) {
    Call call = new Call(method, path, body, System.nanoTime() + timeoutMs * 1_000_000, callback);
    Connection connection = idle.poll();
    if (connection != null) {
      connection.send(call);
    } else if (openConnections < maxConnections) {
      connect(call);
    } else if (queue.size() >= MAX_QUEUED_CALLS) {
      loop.execute(() -> call.finish(Reply.UNSENT));
    } else {
      queue.add(call);
      // A call that still waits for a connection at its timeout was never sent.
      loop.schedule(
          () -> {
            if (queue.remove(call)) {
              call.finish(Reply.UNSENT);
            }
          },
          timeoutMs,
          TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Closes idle connections at once and the others when their call ends. The caller makes no
   * further calls.
   */
  public void retire() {
    retired = true;
    for (Connection connection : new ArrayDeque<>(idle)) {
      connection.channel.close();
    }
  }

  private void connect(Call call) {
    openConnections++;
    long remainingMs = Math.max(1, (call.deadline - System.nanoTime()) / 1_000_000);
    Connection connection = new Connection();
    TcpBootstraps.client(
            loop,
            (int) Math.min(remainingMs, MAX_CONNECT_MS),
            channel ->
                channel
                    .pipeline()
                    .addLast(
                        new HttpClientCodec(),
                        new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                        connection))
        .connect(address)
        .addListener(
            future -> {
              if (future.isSuccess()) {
                connection.send(call);
              } else {
                openConnections--;
                call.finish(Reply.UNSENT);
                sendQueuedCalls();
              }
            });
  }

  private void sendQueuedCalls() {
    while (!queue.isEmpty()) {
      Connection connection = idle.poll();
      if (connection != null) {
        connection.send(queue.poll());
      } else if (openConnections < maxConnections) {
        connect(queue.poll());
      } else {
        return;
      }
    }
  }

  /** A connection, which carries one call at a time. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private Channel channel;
    private Call current;
    private ScheduledFuture<?> timer;
    private boolean closed;

    void send(Call call) {
      current = call;
      ByteBuf body = call.body == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(call.body);
      DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method, call.path, body);
      request.headers().set(HttpHeaderNames.HOST, host);
      if (call.body != null) {
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
      }
      request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
      long remainingMs = Math.max(1, (call.deadline - System.nanoTime()) / 1_000_000);
      timer = loop.schedule(() -> channel.close(), remainingMs, TimeUnit.MILLISECONDS);
      channel.writeAndFlush(request);
    }

    /**
     * Sets the channel. {@code channelActive} would be too late: the connect listener, which sends
     * the first call, may run before it.
     */
    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
      channel = ctx.channel();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      Call call = current;
      if (call == null) {
        ctx.close();
        return;
      }
      current = null;
      timer.cancel(false);
      byte[] responseBody = new byte[response.content().readableBytes()];
      response.content().readBytes(responseBody);
      boolean keepAlive = HttpUtil.isKeepAlive(response);
      if (keepAlive && !retired) {
        idle.push(this);
      } else {
        ctx.close();
      }
      sendQueuedCalls();
      call.finish(new Reply(response.status().code(), responseBody));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (closed) {
        return;
      }
      closed = true;
      openConnections--;
      idle.remove(this);
      if (timer != null) {
        timer.cancel(false);
      }
      if (current != null) {
        Call call = current;
        current = null;
        call.finish(Reply.WITHOUT_RESPONSE);
      }
      sendQueuedCalls();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable failure) {
      ctx.close();
    }
  }
}
