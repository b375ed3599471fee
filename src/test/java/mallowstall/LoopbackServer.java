package mallowstall;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import mallowstall.net.HttpClient;

/** A server on loopback that records the bytes of each request and sends prepared responses. */
public final class LoopbackServer implements AutoCloseable {
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final ServerSocket listening;
  private final BlockingQueue<String> responses = new LinkedBlockingQueue<>();
  private final StringBuilder requests = new StringBuilder();

  /** Creates the server, which listens on a free port at once. */
  public LoopbackServer() throws IOException {
    listening = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
    Thread thread = new Thread(this::serve, "loopback server");
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns the address on which the server listens, as host and port. */
  public String address() {
    return "127.0.0.1:" + listening.getLocalPort();
  }

  /** Returns a new client that sends its requests to this server. */
  public HttpClient client() {
    return new HttpClient(
        group.next(), new InetSocketAddress("127.0.0.1", listening.getLocalPort()), 1);
  }

  /** Returns the event loop group on which the clients of this server run. */
  public NioEventLoopGroup group() {
    return group;
  }

  /** Executes the request, responds with the status and body, and returns the client's result. */
  public <T> T answer(int status, String body, Consumer<Consumer<T>> request) throws Exception {
    int length = body.getBytes(StandardCharsets.UTF_8).length;
    responses.add("HTTP/1.1 " + status + " Any\r\nContent-Length: " + length + "\r\n\r\n" + body);
    CompletableFuture<T> result = new CompletableFuture<>();
    group.next().execute(() -> request.accept(result::complete));
    return result.get(5, TimeUnit.SECONDS);
  }

  /** Returns all requests so far, with \r for carriage returns and PORT for the port. */
  public synchronized String requests() {
    return requests
        .toString()
        .replace("\r", "\\r")
        .replace(address(), "127.0.0.1:PORT")
        .stripTrailing();
  }

  private void serve() {
    while (!listening.isClosed()) {
      try (Socket socket = listening.accept()) {
        serve(socket);
      } catch (IOException | InterruptedException ended) {
        // a failed connection does not keep the server from accepting the next one
      }
    }
  }

  private void serve(Socket socket) throws IOException, InterruptedException {
    InputStream in = socket.getInputStream();
    for (String head = head(in); !head.isEmpty(); head = head(in)) {
      byte[] body = in.readNBytes(length(head));
      synchronized (this) {
        requests.append(head).append(new String(body, StandardCharsets.UTF_8)).append("\n\n");
      }
      socket.getOutputStream().write(responses.take().getBytes(StandardCharsets.UTF_8));
    }
  }

  /** Reads a request up to its body. Returns an empty string if the connection has ended. */
  private static String head(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        return "";
      }
      head.append((char) next);
    }
    return head.toString();
  }

  private static int length(String head) {
    String name = "content-length: ";
    int at = head.toLowerCase(Locale.ROOT).indexOf(name) + name.length();
    return Integer.parseInt(head.substring(at, head.indexOf('\r', at)));
  }

  @Override
  public void close() throws IOException {
    listening.close();
    group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
  }
}
