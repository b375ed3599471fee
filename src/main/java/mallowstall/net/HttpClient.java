package mallowstall.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
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

  /** Receives the body of a response with status 200 while it arrives. */
  public interface BodyReceiver {
    /** Called with each piece of the body, in order, before the call's callback. */
    void receive(byte[] piece);
  }

  /**
   * Maximum size in bytes of a response body that is kept until it is complete. A body that goes to
   * a {@link BodyReceiver} has no limit.
   */
  private static final int MAX_KEPT_BODY_BYTES = 8 << 20;

  /** Maximum number of calls that wait for a connection. Further calls end as not sent. */
  private static final int MAX_QUEUED_CALLS = 400;

  private static final long MAX_CONNECT_MS = 1_000;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final int maxConnections;
  private final String host;
  private final ArrayDeque<Connection> idle = new ArrayDeque<>();
  private final ArrayDeque<HttpCall> queue = new ArrayDeque<>();
  private int openConnections;
  private boolean retired;

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
    start(HttpCall.keepingBody(method, path, body, timeoutMs, callback));
  }

  /**
   * Sends a GET request whose response may be of any length. The body of a response with status 200
   * goes to the receiver while it arrives; all other bodies are dropped. The callback is called
   * exactly once: when the response is complete, with an empty body; or without a response, when
   * {@code timeoutMs} milliseconds have passed before the body begins, or {@code silenceMs} without
   * a further piece.
   */
  public void getStreaming(
      String path, long timeoutMs, long silenceMs, BodyReceiver receiver, Callback callback) {
    start(HttpCall.streaming(path, timeoutMs, silenceMs, receiver, callback));
  }

  private void start(HttpCall call) {
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
          call.remainingMs(),
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

  private void connect(HttpCall call) {
    openConnections++;
    Connection connection = new Connection();
    TcpBootstraps.client(
            loop,
            (int) Math.min(call.remainingMs(), MAX_CONNECT_MS),
            channel -> channel.pipeline().addLast(new HttpClientCodec(), connection))
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
  private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
    private Channel channel;
    private HttpCall current;
    private ScheduledFuture<?> timer;
    private boolean closed;
    private int status;
    private boolean keepAlive;
    private ByteArrayOutputStream keptBody;

    void send(HttpCall call) {
      current = call;
      ByteBuf body =
          call.body() == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(call.body());
      DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.path(), body);
      request.headers().set(HttpHeaderNames.HOST, host);
      if (call.body() != null) {
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
      }
      request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
      startTimer(call);
      channel.writeAndFlush(request);
    }

    private void startTimer(HttpCall call) {
      timer = loop.schedule(() -> closeIfDue(call), call.remainingMs(), TimeUnit.MILLISECONDS);
    }

    /** Closes the connection unless a piece of the body has extended the call's deadline. */
    private void closeIfDue(HttpCall call) {
      if (call.isOverdue()) {
        channel.close();
      } else {
        startTimer(call);
      }
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
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
      if (current == null || message.decoderResult().isFailure()) {
        ctx.close();
        return;
      }
      if (message instanceof HttpResponse response) {
        status = response.status().code();
        keepAlive = HttpUtil.isKeepAlive(response);
        keptBody = new ByteArrayOutputStream();
      }
      if (message instanceof HttpContent content) {
        receiveBody(ctx, content.content());
      }
      if (message instanceof LastHttpContent && current != null) {
        finishResponse(ctx);
      }
    }

    private void receiveBody(ChannelHandlerContext ctx, ByteBuf content) {
      if (!content.isReadable()) {
        return;
      }
      byte[] piece = new byte[content.readableBytes()];
      content.readBytes(piece);
      if (current.keepsBody()) {
        keepBody(ctx, piece);
      } else if (status == HttpStatus.OK) {
        current.receive(piece);
      }
    }

    private void keepBody(ChannelHandlerContext ctx, byte[] piece) {
      if (keptBody.size() + piece.length > MAX_KEPT_BODY_BYTES) {
        ctx.close();
      } else {
        keptBody.writeBytes(piece);
      }
    }

    private void finishResponse(ChannelHandlerContext ctx) {
      HttpCall call = current;
      current = null;
      timer.cancel(false);
      Reply reply = new Reply(status, keptBody.toByteArray());
      keptBody = null;
      if (keepAlive && !retired) {
        idle.push(this);
      } else {
        ctx.close();
      }
      sendQueuedCalls();
      call.finish(reply);
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
        HttpCall call = current;
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
