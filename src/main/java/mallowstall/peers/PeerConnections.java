package mallowstall.peers;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import mallowstall.core.api.PeerEvents;
import mallowstall.core.model.PeerMessage;
import mallowstall.core.model.StatusUpdate;
import mallowstall.net.TcpBootstraps;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * TCP connections between controllers: one to each peer for the messages of this controller, which
 * is opened again whenever it ends, and one from each for the messages of the peer. Each message is
 * four bytes of length and a body after {@link PeerCodec}. Runs on the event loop; messages may be
 * lost.
 */
public final class PeerConnections {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.peers");

  /** Bytes. Largest message between controllers. */
  static final int PEER_FRAME_MAX_BYTES = 4 << 20;

  /** ms. Between attempts to connect to a peer. */
  private static final long PEER_RECONNECT_INTERVAL_MS = 700;

  /**
   * Bytes. Unsent data to a peer above which status updates are skipped: the next one covers them.
   */
  private static final int PEER_BACKLOG_MAX_BYTES = 512 << 10;

  /** Bytes of the length before each message. */
  private static final int LENGTH_BYTES = 4;

  private static final int CONNECT_TIMEOUT_MS = 1_500;
  private static final WriteBufferWaterMark BACKLOG =
      new WriteBufferWaterMark(PEER_BACKLOG_MAX_BYTES / 2, PEER_BACKLOG_MAX_BYTES);

  private final EventLoop loop;
  private final PeerEvents core;
  private final Consumer<Runnable> events;
  private final Map<String, OutboundConnection> outbound = new HashMap<>();
  private final int maxInbound;
  private int inbound;
  private long connections;
  private Channel listening;
  private boolean closed;

  /** Connects to peers and accepts so many connections of theirs at most. */
  public PeerConnections(
      EventLoop loop, PeerEvents core, Consumer<Runnable> events, int maxInbound) {
    this.loop = loop;
    this.core = core;
    this.events = events;
    this.maxInbound = maxInbound;
  }

  /** Begins to accept connections of peers. */
  public void listen(EventLoopGroup group, InetSocketAddress at) throws InterruptedException {
    listening = TcpBootstraps.server(group, this::accept).bind(at).sync().channel();
  }

  private void accept(SocketChannel channel) {
    if (inbound >= maxInbound) {
      channel.close();
      return;
    }
    inbound++;
    channel.closeFuture().addListener(future -> inbound--);
    channel
        .pipeline()
        .addLast(
            new LengthFieldBasedFrameDecoder(
                PEER_FRAME_MAX_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
            new InboundHandler());
  }

  /** Keeps a connection to this peer from now on. */
  public void connect(String node, InetSocketAddress at) {
    OutboundConnection connection = new OutboundConnection(node, at);
    outbound.put(node, connection);
    connection.connect();
  }

  /** Sends the message if the peer is connected and its backlog has room. */
  public void send(String node, PeerMessage message) {
    OutboundConnection connection = outbound.get(node);
    if (connection == null || connection.channel == null || !connection.channel.isActive()) {
      return;
    }
    // the next status update covers this one, which is dropped if it can't be sent now
    if (message instanceof StatusUpdate && connection.channel.bytesBeforeUnwritable() <= 0) {
      return;
    }
    connection.channel.writeAndFlush(Unpooled.wrappedBuffer(PeerCodec.encode(message)));
  }

  /** Closes all connections. */
  public void close() {
    closed = true;
    if (listening != null) {
      listening.close();
    }
    for (OutboundConnection connection : outbound.values()) {
      if (connection.channel != null) {
        connection.channel.close();
      }
    }
  }

  /** Turns the messages of a connection that a peer has opened into events of the core. */
  private final class InboundHandler extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) throws IOException {
      byte[] bytes = new byte[frame.readableBytes()];
      frame.readBytes(bytes);
      PeerMessage message = PeerCodec.decode(bytes);
      events.accept(() -> core.handleMessage(message));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable failure) {
      LOG.info(
          "inbound peer connection failed address={} reason={}",
          ctx.channel().remoteAddress(),
          failure.toString());
      ctx.close();
    }
  }

  /** Handles errors of a connection to a peer, on which nothing is received. */
  private static final class OutboundHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable failure) {
      LOG.debug("outbound peer connection failed reason={}", failure.toString());
      ctx.close();
    }
  }

  /** The connection for messages to one peer. */
  private final class OutboundConnection {
    private final String node;
    private final InetSocketAddress at;
    private Channel channel;

    OutboundConnection(String node, InetSocketAddress at) {
      this.node = node;
      this.at = at;
    }

    void connect() {
      if (closed) {
        return;
      }
      TcpBootstraps.client(
              loop,
              CONNECT_TIMEOUT_MS,
              channel ->
                  channel
                      .pipeline()
                      .addLast(new LengthFieldPrepender(LENGTH_BYTES), new OutboundHandler()))
          .option(ChannelOption.WRITE_BUFFER_WATER_MARK, BACKLOG)
          .connect(at)
          .addListener(
              (ChannelFuture future) -> {
                if (future.isSuccess()) {
                  connected(future.channel());
                } else {
                  reconnect();
                }
              });
    }

    private void connected(Channel connection) {
      channel = connection;
      long connectionNumber = ++connections;
      LOG.info("peer connected peer={}", node);
      connection.closeFuture().addListener(closeFuture -> reconnect());
      events.accept(() -> core.peerConnected(node, connectionNumber));
    }

    private void reconnect() {
      channel = null;
      if (!closed) {
        loop.schedule(this::connect, PEER_RECONNECT_INTERVAL_MS, TimeUnit.MILLISECONDS);
      }
    }
  }
}
