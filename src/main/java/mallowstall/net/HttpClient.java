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
 * HTTP client of one server over a bounded number of persistent connections, without pipelining.
 * All methods run on its event loop, as do the callbacks.
 */
public final class HttpClient {
  /**
   * How a call has ended: the status of a response with its body, or one of the two outcomes
   * without a response.
   */
  public record Reply(int status, byte[] body) {
    /** The status of a call without a response: perhaps executed, perhaps later. */
    public static final int NO_RESPONSE = 0;

    /** The status of a call that was never sent. */
    public static final int NOT_SENT = -1;

    static final Reply WITHOUT_RESPONSE = new Reply(NO_RESPONSE, new byte[0]);
    static final Reply UNSENT = new Reply(NOT_SENT, new byte[0]);
  }

  /** Receives the reply on the event loop. */
  public interface Callback {
    /** The call has ended, with an answer or without. */
    void done(Reply reply);
  }

  /** Bytes of a response body. */
  private static final int MAX_RESPONSE = 8 << 20;

  /** Calls that wait for a connection; further ones are not sent. */
  private static final int MAX_QUEUE = 400;

  private static final long MAX_CONNECT_MS = 1_000;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final int maxConnections;
  private final String host;
  private final ArrayDeque<Connection> idle = new ArrayDeque<>();
  private final ArrayDeque<Call> queue = new ArrayDeque<>();
  private int open;
  private boolean retired;

  /** A request and who waits for its answer. Mutable. */
  private static final class Call {
    final HttpMethod method;
    final String path;
    final byte[] body;
    final Callback then;
    final long deadline;
    boolean over;

    Call(HttpMethod method, String path, byte[] body, long deadline, Callback then) {
      this.method = method;
      this.path = path;
      this.body = body;
      this.deadline = deadline;
      this.then = then;
    }

    void finish(Reply reply) {
      if (over) {
        return;
      }
      over = true;
      then.done(reply);
    }
  }

  /** A client of one server that opens so many connections at most. */
  public HttpClient(EventLoop loop, InetSocketAddress address, int maxConnections) {
    this.loop = loop;
    this.address = address;
    this.maxConnections = maxConnections;
    this.host = address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** Sends a request; the callback hears of its end once, at the latest after the timeout. */
  public void call(HttpMethod method, String path, byte[] body, long timeoutMs, Callback then) {
    Call call = new Call(method, path, body, System.nanoTime() + timeoutMs * 1_000_000, then);
    Connection connection = idle.poll();
    if (connection != null) {
      connection.send(call);
    } else if (open < maxConnections) {
      connect(call);
    } else if (queue.size() >= MAX_QUEUE) {
      loop.execute(() -> call.finish(Reply.UNSENT));
    } else {
      queue.add(call);
      // a call that waits too long for a connection was surely never sent
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

  /** No further call will be made: connections close at once, or when their call is over. */
  public void retire() {
    retired = true;
    for (Connection connection : new ArrayDeque<>(idle)) {
      connection.channel.close();
    }
  }

  private void connect(Call call) {
    open++;
    long left = Math.max(1, (call.deadline - System.nanoTime()) / 1_000_000);
    Connection connection = new Connection();
    TcpBootstraps.client(
            loop,
            (int) Math.min(left, MAX_CONNECT_MS),
            channel ->
                channel
                    .pipeline()
                    .addLast(
                        new HttpClientCodec(), new HttpObjectAggregator(MAX_RESPONSE), connection))
        .connect(address)
        .addListener(
            future -> {
              if (future.isSuccess()) {
                connection.send(call);
              } else {
                open--;
                call.finish(Reply.UNSENT);
                next();
              }
            });
  }

  private void next() {
    while (!queue.isEmpty()) {
      Connection connection = idle.poll();
      if (connection != null) {
        connection.send(queue.poll());
      } else if (open < maxConnections) {
        connect(queue.poll());
      } else {
        return;
      }
    }
  }

  /** One connection: one call at a time. */
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
      long left = Math.max(1, (call.deadline - System.nanoTime()) / 1_000_000);
      timer = loop.schedule(() -> channel.close(), left, TimeUnit.MILLISECONDS);
      channel.writeAndFlush(request);
    }

    /** Not channelActive: the connect listener, which sends the first call, may run before it. */
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
      boolean keep = HttpUtil.isKeepAlive(response);
      if (keep && !retired) {
        idle.push(this);
      } else {
        ctx.close();
      }
      next();
      call.finish(new Reply(response.status().code(), responseBody));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (closed) {
        return;
      }
      closed = true;
      open--;
      idle.remove(this);
      if (timer != null) {
        timer.cancel(false);
      }
      if (current != null) {
        Call call = current;
        current = null;
        call.finish(Reply.WITHOUT_RESPONSE);
      }
      next();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable failure) {
      ctx.close();
    }
  }
}
