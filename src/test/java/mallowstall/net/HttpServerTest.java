package mallowstall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks that idle and slow connections, which occupy sockets, are closed and others are not. */
class HttpServerTest {
  private static final long SLOW_MS = 500;
  private static final long IDLE_MS = 2_000;
  private static final String REQUEST = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";

  private HttpServer.Responder unanswered;
  private LoopbackServer server;

  @BeforeEach
  void start() {
    server =
        new LoopbackServer(
            new HttpServer(this::handle, 50, new HttpServer.Timeouts(SLOW_MS, IDLE_MS, 20)));
  }

  @AfterEach
  void stop() {
    server.close();
  }

  /** Responds at once, except to requests for /later, whose responder is stored. */
  private void handle(HttpServer.Request request, HttpServer.Responder responder) {
    if (request.path().equals("/later")) {
      unanswered = responder;
    } else {
      responder.answer(200, new byte[] {'{', '}'}, 0);
    }
  }

  /** Reads one response, whose body must be an empty object. */
  private static void readResponse(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder text = new StringBuilder();
    while (!text.toString().endsWith("{}")) {
      int next = in.read();
      assertTrue(next >= 0, "closed after: " + text);
      text.append((char) next);
    }
    assertTrue(text.toString().startsWith("HTTP/1.1 200"), text.toString());
  }

  private static long closedAfterMs(Socket socket) throws IOException {
    long began = System.nanoTime();
    assertEquals(-1, socket.getInputStream().read());
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
  }

  @Test
  void connectionWithoutRequestIsClosed() throws IOException {
    try (Socket socket = server.connect()) {
      closedAfterMs(socket);
    }
  }

  @Test
  void connectionWithSlowRequestIsClosed() throws Exception {
    try (Socket socket = server.connect()) {
      LoopbackServer.send(socket, REQUEST);
      readResponse(socket);
      LoopbackServer.send(socket, "G");
      Thread.sleep(SLOW_MS / 2);
      LoopbackServer.send(socket, "E");
      closedAfterMs(socket);
    }
  }

  @Test
  void activeConnectionStaysOpenAndIdleConnectionIsClosed() throws Exception {
    try (Socket socket = server.connect()) {
      for (int i = 0; i < 3; i++) {
        LoopbackServer.send(socket, REQUEST);
        readResponse(socket);
        Thread.sleep(2 * SLOW_MS);
      }
      assertTrue(closedAfterMs(socket) >= IDLE_MS - 3 * SLOW_MS);
    }
  }

  @Test
  void connectionWithPendingResponseStaysOpen() throws Exception {
    try (Socket socket = server.connect()) {
      LoopbackServer.send(socket, REQUEST.replace("/ready", "/later"));
      Thread.sleep(IDLE_MS + 2 * SLOW_MS);
      // responds on the event loop, as the service does, so that the response is sent before the
      // next sweep for idle connections
      server.run(() -> unanswered.answer(200, new byte[] {'{', '}'}, 0));
      readResponse(socket);
    }
  }
}
