package mallowstall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a response that reaches a user long after the handler sent it, and against a
 * response that a user attributes to another request on the connection.
 */
class HttpAnswerOrderTest {

  /** Time in milliseconds after which the server closes a connection that receives nothing. */
  private static final long IDLE_MS = 2_000;

  /** Size of a response in bytes, more than the socket buffers of both sides hold. */
  private static final int LARGE = 8 << 20;

  private final List<String> paths = new ArrayList<>();
  private final List<HttpServer.Responder> responders = new ArrayList<>();
  private final CountDownLatch received = new CountDownLatch(2);
  private LoopbackServer server;

  @BeforeEach
  void start() {
    server =
        new LoopbackServer(
            new HttpServer(this::handle, 50, new HttpServer.Timeouts(500, IDLE_MS, 20)));
  }

  @AfterEach
  void stop() {
    server.close();
  }

  private void handle(HttpServer.Request request, HttpServer.Responder responder) {
    paths.add(request.path());
    responders.add(responder);
    received.countDown();
  }

  private static void send(Socket socket, String path) throws IOException {
    LoopbackServer.send(socket, "GET /" + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
  }

  private void answer(int request, int status, byte[] body) throws InterruptedException {
    server.run(() -> responders.get(request).answer(status, body, 0));
  }

  private static byte[] json(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  /** Reads one response. Returns its status and the first 20 bytes of its body. */
  private static String readResponse(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      assertTrue(next >= 0, "closed after: " + head);
      head.append((char) next);
    }
    String length =
        head.toString().toLowerCase(Locale.ROOT).split("content-length: ")[1].split("\r\n")[0];
    byte[] body = in.readNBytes(Integer.parseInt(length));
    String text = new String(body, 0, Math.min(20, body.length), StandardCharsets.US_ASCII);
    return head.substring(9, 12) + " " + text;
  }

  /** Sends two requests at once. Returns whether the handler receives both within 2 s. */
  private boolean sendTwo(Socket socket) throws Exception {
    send(socket, "first");
    send(socket, "second");
    return received.await(2, TimeUnit.SECONDS);
  }

  /** If the second request's response were sent first, a user would attribute it to the first. */
  @Test
  void responsesAreSentInOrderOfRequests() throws Exception {
    try (Socket socket = server.connect()) {
      if (sendTwo(socket)) {
        answer(1, 404, json("{\"to\":\"second\"}"));
        answer(0, 200, json("{\"to\":\"first\"}"));
      } else {
        answer(0, 200, json("{\"to\":\"first\"}"));
        received.await();
        answer(1, 404, json("{\"to\":\"second\"}"));
      }
      assertEquals("200 {\"to\":\"first\"}", readResponse(socket), "handled " + paths);
      assertEquals("404 {\"to\":\"second\"}", readResponse(socket), "handled " + paths);
    }
  }

  /** Guards against a server that responds only to the first of two requests sent at once. */
  @Test
  void bothRequestsAreAnswered() throws Exception {
    try (Socket socket = server.connect()) {
      sendTwo(socket);
      answer(0, 200, json("{\"to\":\"first\"}"));
      received.await();
      answer(1, 404, json("{\"to\":\"second\"}"));
      assertEquals("200 {\"to\":\"first\"}", readResponse(socket));
      socket.setSoTimeout(1_000);
      assertEquals("404 {\"to\":\"second\"}", readResponse(socket));
    }
  }

  /** Sends a large and then a small response to a user who reads nothing for the given time. */
  private Socket sendResponsesAndDelayReading(long ms) throws Exception {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(8_192);
    socket.setSoTimeout(LoopbackServer.READ_TIMEOUT_MS);
    socket.connect(server.address());
    send(socket, "first");
    while (received.getCount() > 1) {
      Thread.sleep(5);
    }
    byte[] large = new byte[LARGE];
    Arrays.fill(large, (byte) 'x');
    answer(0, 200, large);
    send(socket, "second");
    received.await();
    answer(1, 404, json("{\"to\":\"second\"}"));
    Thread.sleep(ms);
    return socket;
  }

  /** The server keeps a response that the socket can't take, until the user reads it. */
  @Test
  void unreadResponseIsKeptForSlowReader() throws Exception {
    try (Socket socket = sendResponsesAndDelayReading(IDLE_MS / 2)) {
      assertTrue(readResponse(socket).startsWith("200 xxx"));
      assertEquals("404 {\"to\":\"second\"}", readResponse(socket));
    }
  }

  /** The server keeps an unread response no longer than it keeps an idle connection. */
  @Test
  void connectionWithUnreadResponseIsClosedAfterIdleTimeout() throws Exception {
    try (Socket socket = sendResponsesAndDelayReading(2 * IDLE_MS)) {
      assertTrue(socket.getInputStream().readAllBytes().length < LARGE);
    }
  }
}
