package mallowstall.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import mallowstall.net.HttpServer.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a response that is sent after its content has ceased to be valid. */
class ExpiringResponseTest {
  private static final long VALID_MS = 300;
  private static final Response IN_TIME = new Response(404, json("no such job"), 0);
  private static final Response LATE = new Response(503, json("late"), 1);

  private LoopbackServer server;

  @BeforeEach
  void start() {
    server = new LoopbackServer(new HttpServer(ExpiringResponseTest::handle, 50));
  }

  @AfterEach
  void stop() {
    server.close();
  }

  /** Handles the request in an event that takes as many milliseconds as the path states. */
  private static void handle(HttpServer.Request request, HttpServer.Responder responder) {
    long validUntilMs = SteadyClock.nowMs() + VALID_MS;
    long busyUntilMs = SteadyClock.nowMs() + Long.parseLong(request.path().substring(1));
    while (SteadyClock.nowMs() < busyUntilMs) {
      Thread.onSpinWait();
    }
    responder.answerAtWriteTime(steadyMs -> steadyMs <= validUntilMs ? IN_TIME : LATE);
    responder.answer(200, json("a second response"), 0);
  }

  private static byte[] json(String message) {
    return ("{\"error\":\"" + message + "\"}").getBytes(StandardCharsets.UTF_8);
  }

  private String responseTo(String path) throws IOException {
    try (Socket socket = server.connect()) {
      String request = "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
      LoopbackServer.send(socket, request);
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  @Test
  void responseIsSentWhileItIsValid() throws IOException {
    String response = responseTo("/0");
    assertTrue(response.startsWith("HTTP/1.1 404"), response);
    assertTrue(response.endsWith("{\"error\":\"no such job\"}"), response);
  }

  @Test
  void responseThatExpiresDuringItsEventIsReplaced() throws IOException {
    String response = responseTo("/" + 2 * VALID_MS);
    assertTrue(response.startsWith("HTTP/1.1 503"), response);
    assertTrue(response.contains("retry-after: 1"), response);
    assertTrue(response.endsWith("{\"error\":\"late\"}"), response);
  }
}
