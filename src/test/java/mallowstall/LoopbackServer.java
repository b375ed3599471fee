package mallowstall;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import mallowstall.net.HttpClient;

/** A server on loopback that notes the exact bytes of each request and answers as set. */
public final class LoopbackServer implements AutoCloseable {
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final ServerSocket listening;
  private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
  private final StringBuilder requests = new StringBuilder();

  /** A server that listens from now on. */
  public LoopbackServer() throws IOException {
    listening = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
    Thread thread = new Thread(this::serve, "loopback server");
    thread.setDaemon(true);
    thread.start();
  }

  /** Where it listens. */
  public String address() {
    return "127.0.0.1:" + listening.getLocalPort();
  }

  /** A client of this server. */
  public HttpClient client() {
    return new HttpClient(
        group.next(), new InetSocketAddress("127.0.0.1", listening.getLocalPort()), 1);
  }

  /** The loop on which clients of this server run. */
  public NioEventLoopGroup group() {
    return group;
  }

  /** Makes the request, lets this server answer so, and gives the response that the caller got. */
  public <T> T answer(int status, String body, Consumer<Consumer<T>> request) throws Exception {
    int length = body.getBytes(StandardCharsets.UTF_8).length;
    answers.add("HTTP/1.1 " + status + " Any\r\nContent-Length: " + length + "\r\n\r\n" + body);
    CompletableFuture<T> heard = new CompletableFuture<>();
    group.next().execute(() -> request.accept(heard::complete));
    return heard.get(5, TimeUnit.SECONDS);
  }

  /** All requests so far; carriage returns are written as \r, the port as PORT. */
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
        continue;
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
      socket.getOutputStream().write(answers.take().getBytes(StandardCharsets.UTF_8));
    }
  }

  /** A request up to its body; empty: there is none. */
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
    int at = head.toLowerCase(java.util.Locale.ROOT).indexOf(name) + name.length();
    return Integer.parseInt(head.substring(at, head.indexOf('\r', at)));
  }

  @Override
  public void close() throws IOException {
    listening.close();
    group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
  }
}
