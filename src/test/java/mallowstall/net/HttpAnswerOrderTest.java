package mallowstall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
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
 * Guards against an answer that reaches a user long after the handler gave it, and against one that
 * is taken for the answer to another request of the connection.
 */
class HttpAnswerOrderTest {
  private static final int WAIT_MS = 10_000;

  /** ms. The server closes a connection on which nothing comes for so long. */
  private static final long IDLE_MS = 2_000;

  /** Bytes. More than the sockets of both sides hold. */
  private static final int LARGE = 8 << 20;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final List<String> paths = new ArrayList<>();
  private final List<HttpServer.Responder> responders = new ArrayList<>();
  private final CountDownLatch received = new CountDownLatch(2);
  private HttpServer server;
  private int port;

  @BeforeEach
  void start() {
    server = new HttpServer(this::handle, 50, new HttpServer.Timeouts(500, IDLE_MS, 20));
    port = server.listen(group, new InetSocketAddress("127.0.0.1", 0)).join().getPort();
  }

  @AfterEach
  void stop() {
    server.close();
    group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
  }

  private void handle(HttpServer.Request request, HttpServer.Responder responder) {
    paths.add(request.path());
    responders.add(responder);
    received.countDown();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket("127.0.0.1", port);
    socket.setSoTimeout(WAIT_MS);
    return socket;
  }

  private static void send(Socket socket, String path) throws IOException {
    String request = "GET /" + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
    socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    socket.getOutputStream().flush();
  }

  private void answer(int request, int status, byte[] body) throws InterruptedException {
    group.submit(() -> responders.get(request).answer(status, body, 0)).sync();
  }

  private static byte[] json(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  /** Reads one answer: its status and its body. */
  private static String readAnswer(Socket socket) throws IOException {
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

  /** Sends two requests at once; whether the server hands the second one on right away. */
  private boolean sendTwo(Socket socket) throws Exception {
    send(socket, "first");
    send(socket, "second");
    return received.await(2, TimeUnit.SECONDS);
  }

  /** A second request's answer that is given first would be taken for the first one's. */
  @Test
  void answersComeInTheOrderOfTheRequests() throws Exception {
    try (Socket socket = connect()) {
      if (sendTwo(socket)) {
        answer(1, 404, json("{\"to\":\"second\"}"));
        answer(0, 200, json("{\"to\":\"first\"}"));
      } else {
        answer(0, 200, json("{\"to\":\"first\"}"));
        received.await();
        answer(1, 404, json("{\"to\":\"second\"}"));
      }
      assertEquals("200 {\"to\":\"first\"}", readAnswer(socket), "handled " + paths);
      assertEquals("404 {\"to\":\"second\"}", readAnswer(socket), "handled " + paths);
    }
  }

  /** The answer to the first of two requests that are both with the handler isn't the only one. */
  @Test
  void bothRequestsAreAnswered() throws Exception {
    try (Socket socket = connect()) {
      sendTwo(socket);
      answer(0, 200, json("{\"to\":\"first\"}"));
      received.await();
      answer(1, 404, json("{\"to\":\"second\"}"));
      assertEquals("200 {\"to\":\"first\"}", readAnswer(socket));
      socket.setSoTimeout(1_000);
      assertEquals("404 {\"to\":\"second\"}", readAnswer(socket));
    }
  }

  /** Sends a large answer and then a small one to a user who reads nothing for so long. */
  private Socket answerToWhoReadsAfter(long ms) throws Exception {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(8_192);
    socket.setSoTimeout(WAIT_MS);
    socket.connect(new InetSocketAddress("127.0.0.1", port));
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

  /** An answer that the socket can't take is kept, and still reaches a user who reads it later. */
  @Test
  void answerWaitsForItsReader() throws Exception {
    try (Socket socket = answerToWhoReadsAfter(IDLE_MS / 2)) {
      assertTrue(readAnswer(socket).startsWith("200 xxx"));
      assertEquals("404 {\"to\":\"second\"}", readAnswer(socket));
    }
  }

  /** It isn't kept for longer than an idle connection. */
  @Test
  void answerWithoutReaderIsDroppedWithItsConnection() throws Exception {
    try (Socket socket = answerToWhoReadsAfter(2 * IDLE_MS)) {
      assertTrue(socket.getInputStream().readAllBytes().length < LARGE);
    }
  }
}
