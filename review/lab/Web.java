import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP on loopback: a small server for the stand-ins. */
final class Web {
  static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });

  /** An answer; status 0 closes the connection without an answer. */
  record Answer(int status, String body) {}

  /** Handles one request. */
  interface Handler {
    Answer handle(String method, String path, Map<String, String> query, String body)
        throws Exception;
  }

  private static final Random RANDOM = new Random();
  private static final Set<Integer> GIVEN = new HashSet<>();

  private Web() {}

  /**
   * Returns a port that is free now. It lies outside the range from which the system takes the
   * ports of outgoing connections, so that it stays free while a process is down.
   */
  static synchronized int freePort() throws IOException {
    for (int tries = 0; tries < 1_000; tries++) {
      int port = 12_000 + RANDOM.nextInt(18_000);
      if (!GIVEN.add(port)) {
        continue;
      }
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (IOException taken) {
        // the next one
      }
    }
    throw new IOException("no free port");
  }

  static HttpServer serve(int port, Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 256);
    server.setExecutor(THREADS);
    server.createContext("/", exchange -> answer(exchange, handler));
    server.start();
    return server;
  }

  private static void answer(HttpExchange exchange, Handler handler) {
    try {
      String body =
          new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      Map<String, String> query = new HashMap<>();
      String raw = exchange.getRequestURI().getQuery();
      if (raw != null) {
        for (String part : raw.split("&")) {
          int is = part.indexOf('=');
          query.put(is < 0 ? part : part.substring(0, is), is < 0 ? "" : part.substring(is + 1));
        }
      }
      Answer answer;
      try {
        answer =
            handler.handle(
                exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body);
      } catch (IllegalArgumentException | ClassCastException | NullPointerException failure) {
        answer = new Answer(400, "{\"error\":\"malformed\"}");
      }
      if (answer.status == 0) {
        exchange.close();
        return;
      }
      byte[] bytes = answer.body.getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(answer.status, bytes.length == 0 ? -1 : bytes.length);
      if (bytes.length > 0) {
        exchange.getResponseBody().write(bytes);
      }
      exchange.close();
    } catch (Exception gone) {
      exchange.close();
    }
  }
}
