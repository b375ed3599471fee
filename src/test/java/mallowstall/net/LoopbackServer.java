package mallowstall.net;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** An HTTP server that listens on a free loopback port and runs on an event loop of its own. */
final class LoopbackServer implements AutoCloseable {
  /** Time in milliseconds after which a client's read fails. */
  static final int READ_TIMEOUT_MS = 10_000;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final HttpServer server;
  private final int port;

  /** Starts the server. */
  LoopbackServer(HttpServer server) {
    this.server = server;
    port = server.listen(group, new InetSocketAddress("127.0.0.1", 0)).join().getPort();
  }

  /** Returns the address at which clients connect. */
  InetSocketAddress address() {
    return new InetSocketAddress("127.0.0.1", port);
  }

  /** Opens a connection of a client. */
  Socket connect() throws IOException {
    Socket socket = new Socket("127.0.0.1", port);
    socket.setSoTimeout(READ_TIMEOUT_MS);
    return socket;
  }

  /** Sends the text from the client to the server. */
  static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    socket.getOutputStream().flush();
  }

  /** Runs the action on the event loop, as the service does, and waits for its end. */
  void run(Runnable action) throws InterruptedException {
    group.submit(action).sync();
  }

  /** Shuts down the event loop, which closes all connections, and waits for its end. */
  void shutDown() throws InterruptedException {
    group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).sync();
  }

  @Override
  public void close() {
    server.close();
    group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
  }
}
