package mallowstall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import mallowstall.net.HttpServer.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks which behaviour of a client shows the server that a response has arrived, or that nobody
 * waits for it. Guards against a report while the response can still reach its reader.
 */
class ResponseArrivalTest {
  private static final int ARRIVAL_TIMEOUT_MS = 10_000;
  private static final byte[] BODY = "{\"error\":\"no such job\"}".getBytes(StandardCharsets.UTF_8);

  private final AtomicInteger requests = new AtomicInteger();
  private final AtomicInteger arrivals = new AtomicInteger();
  private final CountDownLatch requested = new CountDownLatch(1);
  private final CountDownLatch arrived = new CountDownLatch(1);
  private HttpServer.Responder responder;
  private LoopbackServer server;

  @BeforeEach
  void start() {
    server = new LoopbackServer(new HttpServer(this::handle, 50));
  }

  @AfterEach
  void stop() {
    server.close();
  }

  /** Responds at once, except to requests for /later, whose responder is stored. */
  private void handle(HttpServer.Request request, HttpServer.Responder newResponder) {
    requests.incrementAndGet();
    responder = newResponder;
    requested.countDown();
    if (!request.path().equals("/later")) {
      respond();
    }
  }

  private void respond() {
    responder.answerAtWriteTime(steadyMs -> new Response(404, BODY, 0, this::onArrival));
  }

  private void onArrival() {
    arrivals.incrementAndGet();
    arrived.countDown();
  }

  private Socket request(String path) throws IOException {
    Socket socket = server.connect();
    LoopbackServer.send(socket, "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
    return socket;
  }

  /** Reads the response up to its last byte, but not the end of the stream. */
  private static String readResponse(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder text = new StringBuilder();
    while (!text.toString().endsWith("}")) {
      int next = in.read();
      assertTrue(next >= 0, "closed after: " + text);
      text.append((char) next);
    }
    return text.toString();
  }

  private void assertArrivedOnce() throws InterruptedException {
    assertTrue(arrived.await(ARRIVAL_TIMEOUT_MS, TimeUnit.MILLISECONDS), "no arrival was reported");
    Thread.sleep(50);
    assertEquals(1, arrivals.get());
  }

  /** Waits until the server has closed the connection, or would have. */
  private void assertNeverArrives() throws InterruptedException {
    assertFalse(
        arrived.await(ArrivalHandler.CLOSE_WAIT_MS + 500, TimeUnit.MILLISECONDS),
        "an arrival was reported");
  }

  @Test
  void closeAfterReadingIsArrival() throws Exception {
    try (Socket socket = request("/")) {
      String response = readResponse(socket);
      assertTrue(response.startsWith("HTTP/1.1 404"), response);
      assertTrue(response.contains("connection: close"), response);
      Thread.sleep(100);
      assertEquals(0, arrivals.get(), "the client has not shown that it has the response");
    }
    assertArrivedOnce();
  }

  @Test
  void closeBeforeTheResponseIsArrival() throws Exception {
    request("/later").close();
    requested.await();
    Thread.sleep(300); // the server closes its end meanwhile
    server.run(this::respond);
    assertArrivedOnce();
  }

  @Test
  void nextRequestIsArrival() throws Exception {
    try (Socket socket = request("/")) {
      readResponse(socket);
      LoopbackServer.send(socket, "GET / HTTP/1.1\r\n");
      assertArrivedOnce();
      assertEquals(1, requests.get(), "no request follows the last response");
    }
  }

  /** A load balancer may reset both of its connections while the response is on its way. */
  @Test
  void resetIsNoArrival() throws Exception {
    Socket socket = request("/");
    readResponse(socket);
    socket.setSoLinger(true, 0);
    socket.close();
    assertNeverArrives();
  }

  @Test
  void openConnectionIsClosedWithoutArrival() throws Exception {
    try (Socket socket = request("/")) {
      readResponse(socket);
      long readNanos = System.nanoTime();
      assertEquals(-1, socket.getInputStream().read());
      long openMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - readNanos);
      assertTrue(openMs < 2 * ArrivalHandler.CLOSE_WAIT_MS, "closed after " + openMs + " ms");
    }
    assertNeverArrives();
  }

  /** A client that reads to the end of the stream gets the whole response. */
  @Test
  void responseIsReadToTheEndOfTheStream() throws Exception {
    try (Socket socket = request("/")) {
      byte[] all = socket.getInputStream().readAllBytes();
      assertTrue(new String(all, StandardCharsets.UTF_8).endsWith("{\"error\":\"no such job\"}"));
    }
    assertNeverArrives();
  }

  /** The end of the event loop closes all connections, which says nothing about their clients. */
  @Test
  void shutdownIsNoArrival() throws Exception {
    try (Socket socket = request("/")) {
      readResponse(socket);
      server.shutDown();
      assertEquals(0, arrivals.get());
    }
  }
}
