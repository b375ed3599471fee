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
 * TCP connections between controllers. This controller opens one connection to each peer, sends its
 * messages on it, and reconnects whenever it closes. Each peer opens one connection to this
 * controller for its own messages. A message is sent as a length of four bytes and a body that
 * {@link PeerCodec} encodes. Runs on the event loop, except {@link #listen}, which waits until the
 * address is bound. Messages may be lost.
 */
public final class PeerConnections {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.peers");

  /** Maximum size in bytes of a message between controllers. */
  static final int PEER_FRAME_MAX_BYTES = 4 << 20;

  /** Delay in milliseconds before this controller connects to a peer again. */
  private static final long PEER_RECONNECT_INTERVAL_MS = 700;

  /**
   * Maximum unsent data to a peer in bytes. Above it, status updates are dropped, because the next
   * one covers them.
   */
  private static final int PEER_BACKLOG_MAX_BYTES = 512 << 10;

  /** Size in bytes of the length that precedes each message. */
  private static final int LENGTH_BYTES = 4;

  private static final int CONNECT_TIMEOUT_MS = 1_500;
  private static final WriteBufferWaterMark BACKLOG =
      new WriteBufferWaterMark(PEER_BACKLOG_MAX_BYTES / 2, PEER_BACKLOG_MAX_BYTES);

  private final EventLoop loop;
  private final PeerEvents core;
  private final Consumer<Runnable> events;
  private final Map<String, OutboundConnection> outbound = new HashMap<>();
  private final int maxInbound;
  private int inboundCount;
  private long lastConnectionNumber;
  private Channel serverChannel;
  private boolean closed;

  /**
   * {@code events} runs each task that it receives as one event of the core. While peers hold
   * {@code maxInbound} open connections to this controller, further ones are closed at once.
   */
  public PeerConnections(
      EventLoop loop, PeerEvents core, Consumer<Runnable> events, int maxInbound) {
    this.loop = loop;
    this.core = core;
    this.events = events;
    this.maxInbound = maxInbound;
  }

  /** Starts to accept connections from peers at this address. */
  public void listen(EventLoopGroup group, InetSocketAddress address) throws InterruptedException {
    serverChannel = TcpBootstraps.server(group, this::accept).bind(address).sync().channel();
  }

  private void accept(SocketChannel channel) {
    if (inboundCount >= maxInbound) {
      channel.close();
      return;
    }
    inboundCount++;
    channel.closeFuture().addListener(future -> inboundCount--);
    channel
        .pipeline()
        .addLast(
            new LengthFieldBasedFrameDecoder(
                PEER_FRAME_MAX_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
            new InboundHandler());
  }

  /** Connects to this peer, and reconnects whenever the connection fails or closes. */
  public void connect(String node, InetSocketAddress address) {
    OutboundConnection connection = new OutboundConnection(node, address);
    outbound.put(node, connection);
    connection.connect();
  }

  /**
   * Sends the message if the peer is connected, and drops it otherwise. A status update is also
   * dropped if the connection's backlog of unsent data is full.
   */
  public void send(String node, PeerMessage message) {
    OutboundConnection connection = outbound.get(node);
    if (connection == null || connection.channel == null || !connection.channel.isActive()) {
      return;
    }
    // A status update that can't be sent now is dropped, because the next one covers it.
    if (message instanceof StatusUpdate && connection.channel.bytesBeforeUnwritable() <= 0) {
      return;
    }
    connection.channel.writeAndFlush(Unpooled.wrappedBuffer(PeerCodec.encode(message)));
  }

  /** Stops accepting connections, closes those to peers and ends reconnection. */
  public void close() {
    closed = true;
    if (serverChannel != null) {
      serverChannel.close();
    }
    for (OutboundConnection connection : outbound.values()) {
      if (connection.channel != null) {
        connection.channel.close();
      }
    }
  }

  /** Passes the messages on a connection that a peer has opened to the core, each as one event. */
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

  /** Closes a connection to a peer after an error. Peers send no messages on these connections. */
  private static final class OutboundHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable failure) {
      LOG.debug("outbound peer connection failed reason={}", failure.toString());
      ctx.close();
    }
  }

  /** The connection on which this controller sends its messages to one peer. */
  private final class OutboundConnection {
    private final String node;
    private final InetSocketAddress address;
    private Channel channel;

    OutboundConnection(String node, InetSocketAddress address) {
      this.node = node;
      this.address = address;
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
          .connect(address)
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
      long connectionNumber = ++lastConnectionNumber;
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
