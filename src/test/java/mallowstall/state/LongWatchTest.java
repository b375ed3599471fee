package mallowstall.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import mallowstall.core.kernel.ResultCode;
import mallowstall.net.HttpClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against a controller that never learns of a change again because the response of its watch
 * is long: it is dropped, or it doesn't fit into the heap of 40 MB.
 */
class LongWatchTest {
  /** The changes that the state service keeps (protocol). */
  private static final int CHANGES = 10_000;

  /** Bytes of one change, near the 16 KiB that a value may have. */
  private static final int CHANGE_BYTES = 16_000;

  private static final long REVISION = 20_000;

  /** Pause in milliseconds after each twentieth of the response; together above the timeout. */
  private static final int PAUSE_MS = 250;

  @Test
  @Timeout(60)
  void longResponseIsReadWithinTheHeapOfAController() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      Thread serving = new Thread(() -> serve(server));
      serving.start();
      Process client = startClient(server.getLocalPort());
      String output =
          new String(client.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
      assertTrue(client.waitFor(10, TimeUnit.SECONDS), "the client ends");
      assertEquals("OK changes=" + CHANGES + " revision=" + REVISION, output);
      serving.join();
    }
  }

  private static Process startClient(int port) throws IOException {
    return new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx40m",
            "-XX:+UseSerialGC",
            "-cp",
            System.getProperty("java.class.path"),
            Client.class.getName(),
            Integer.toString(port))
        .redirectError(ProcessBuilder.Redirect.DISCARD)
        .start();
  }

  /** Answers one watch with all changes that the state service keeps, each near the limit. */
  private static void serve(ServerSocket server) {
    try (Socket socket = server.accept()) {
      BufferedReader request =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      String line = request.readLine();
      while (!line.isEmpty()) {
        line = request.readLine();
      }
      OutputStream out = socket.getOutputStream();
      out.write(ascii("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"events\":["));
      String filler = "x".repeat(CHANGE_BYTES);
      for (int i = 1; i <= CHANGES; i++) {
        String key = "\"c/n/n" + i % 300 + "\"";
        String data = "{\"node\":\"n\",\"incarnation\":1,\"filler\":\"" + filler + "\"}";
        out.write(ascii("{\"set\":" + key + ",\"data\":" + data + ",\"sello\":" + i + "}"));
        out.write(i < CHANGES ? ',' : ']');
        if (i % (CHANGES / 20) == 0) {
          out.flush();
          Thread.sleep(PAUSE_MS);
        }
      }
      out.write(ascii(",\"tirada\":" + REVISION + "}"));
    } catch (IOException | InterruptedException failure) {
      throw new IllegalStateException(failure);
    }
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  /** Sends one watch and prints its result. Runs in a process with the heap of a controller. */
  static final class Client {
    private Client() {}

    public static void main(String[] arguments) throws Exception {
      NioEventLoopGroup group = new NioEventLoopGroup(1);
      InetSocketAddress address =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(arguments[0]));
      HttpClient http = new HttpClient(group.next(), address, 1);
      StateServiceClient state = new StateServiceClient(http, http, Runnable::run);
      CompletableFuture<String> ended = new CompletableFuture<>();
      int[] changes = {0};
      group.execute(
          () ->
              state.watch(
                  1,
                  1_000,
                  result -> {
                    changes[0] += result.events().size();
                    if (result.code() != ResultCode.PARTIAL) {
                      ended.complete(
                          result.code()
                              + " changes="
                              + changes[0]
                              + " revision="
                              + result.revision());
                    }
                  }));
      System.out.println(ended.get(50, TimeUnit.SECONDS));
      group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
  }
}
