package mallowstall.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.function.Consumer;

/** Creates bootstraps of TCP servers and clients with the socket options of all connections. */
public final class TcpBootstraps {
  private TcpBootstraps() {}

  /** Returns an unbound server whose accepted connections are set up by {@code initializer}. */
  public static ServerBootstrap server(EventLoopGroup group, Consumer<SocketChannel> initializer) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(channelInitializer(initializer));
  }

  /** Returns an unconnected client whose connection is set up by {@code initializer}. */
  public static Bootstrap client(
      EventLoop loop, int connectTimeoutMs, Consumer<SocketChannel> initializer) {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
        .handler(channelInitializer(initializer));
  }

  private static ChannelInitializer<SocketChannel> channelInitializer(
      Consumer<SocketChannel> initializer) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        initializer.accept(channel);
      }
    };
  }
}
