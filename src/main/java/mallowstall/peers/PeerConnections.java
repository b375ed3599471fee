package mallowstall.peers;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.Core;
import mallowstall.core.Model.PeerMessage;
import mallowstall.core.Model.Roster;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection to each peer for what this controller says, and one from each for what it hears.
 */
public final class PeerConnections {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.peers");

  private final EventLoop loop;
  private final Core core;
  private final Consumer<Runnable> events;
  private final Map<String, Link> links = new HashMap<>();
  private final int maxInbound;
  private int inbound;
  private long connections;
  private Channel listening;
  private boolean closed;

  /** Connects to peers and accepts so many connections of theirs at most. */
  public PeerConnections(EventLoop loop, Core core, Consumer<Runnable> events, int maxInbound) {
    this.loop = loop;
    this.core = core;
    this.events = events;
    this.maxInbound = maxInbound;
  }

  /** Begins to accept connections of peers. */
  public void listen(EventLoopGroup group, InetSocketAddress at) throws InterruptedException {
    listening =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    if (inbound >= maxInbound) {
                      channel.close();
                      return;
                    }
                    inbound++;
                    channel.closeFuture().addListener(future -> inbound--);
                    channel
                        .pipeline()
                        .addLast(
                            new LengthFieldBasedFrameDecoder(Constants.PEER_FRAME_MAX, 0, 4, 0, 4),
                            new Hearing());
                  }
                })
            .bind(at)
            .sync()
            .channel();
  }

  /** Keeps a connection to this peer from now on. */
  public void connect(String node, InetSocketAddress at) {
    Link link = new Link(node, at);
    links.put(node, link);
    link.connect();
  }

  /** Sends the message if the peer is connected and its backlog has room. */
  public void send(String node, PeerMessage message) {
    Link link = links.get(node);
    if (link == null || link.channel == null || !link.channel.isActive()) {
      return;
    }
    // a roster says everything anew, so one that can't leave yet is not worth keeping
    if (message instanceof Roster && link.channel.bytesBeforeUnwritable() <= 0) {
      return;
    }
    link.channel.writeAndFlush(Unpooled.wrappedBuffer(PeerCodec.encode(message)));
  }

  /** Closes all connections. */
  public void close() {
    closed = true;
    if (listening != null) {
      listening.close();
    }
    for (Link link : links.values()) {
      if (link.channel != null) {
        link.channel.close();
      }
    }
  }

  /** A connection that a peer has opened: its messages become events. */
  private final class Hearing extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf b) throws IOException {
      byte[] bytes = new byte[b.readableBytes()];
      b.readBytes(bytes);
      PeerMessage message = PeerCodec.decode(bytes);
      events.accept(() -> core.message(message));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable failure) {
      LOG.info("connection from {} ends: {}", ctx.channel().remoteAddress(), failure.toString());
      ctx.close();
    }
  }

  /** Nothing comes back on this connection but its end. */
  private static final class Speaking extends ChannelInboundHandlerAdapter {
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable failure) {
      LOG.debug("connection to a peer ends: {}", failure.toString());
      ctx.close();
    }
  }

  /** What this controller says to one peer. */
  private final class Link {
    private final String node;
    private final InetSocketAddress at;
    private Channel channel;

    Link(String node, InetSocketAddress at) {
      this.node = node;
      this.at = at;
    }

    void connect() {
      if (closed) {
        return;
      }
      new Bootstrap()
          .group(loop)
          .channel(NioSocketChannel.class)
          .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
          .option(ChannelOption.TCP_NODELAY, true)
          .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1_500)
          .option(
              ChannelOption.WRITE_BUFFER_WATER_MARK,
              new io.netty.channel.WriteBufferWaterMark(
                  Constants.PEER_BACKLOG_MAX / 2, Constants.PEER_BACKLOG_MAX))
          .handler(
              new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel channel) {
                  channel.pipeline().addLast(new LengthFieldPrepender(4), new Speaking());
                }
              })
          .connect(at)
          .addListener(
              future -> {
                if (!future.isSuccess()) {
                  again();
                  return;
                }
                channel = ((io.netty.channel.ChannelFuture) future).channel();
                long n = ++connections;
                LOG.info("connected to {}", node);
                channel.closeFuture().addListener(c -> again());
                events.accept(() -> core.connected(node, n));
              });
    }

    private void again() {
      channel = null;
      if (!closed) {
        loop.schedule(this::connect, Constants.PEER_RETRY_MS, TimeUnit.MILLISECONDS);
      }
    }
  }
}
