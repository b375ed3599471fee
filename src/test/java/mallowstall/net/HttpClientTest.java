package mallowstall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Over loopback: what a client that is given up leaves behind. */
class HttpClientTest {
  /**
   * A client that made room for another while its call was under way kept its connection for good,
   * and a controller with more workers than connections ran out of sockets. The server here takes
   * one connection, so the second client is served only once the first has closed its own.
   */
  @Test
  void aRetiredClientClosesItsConnectionWhenItsCallIsOver() throws Exception {
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    try {
      List<HttpServer.Responder> held = new ArrayList<>();
      CompletableFuture<Void> came = new CompletableFuture<>();
      HttpServer server =
          new HttpServer(
              (request, responder) -> {
                if (request.path().equals("/held")) {
                  held.add(responder);
                  came.complete(null);
                } else {
                  responder.answer(200, new byte[] {'{', '}'}, 0);
                }
              },
              1);
      InetSocketAddress at = server.listen(group, new InetSocketAddress("127.0.0.1", 0)).join();
      HttpClient first = new HttpClient(group.next(), at, 1);
      CompletableFuture<Integer> answer = call(group, first, "/held");
      came.get(5, TimeUnit.SECONDS);
      group
          .submit(
              () -> {
                first.retire();
                held.get(0).answer(200, new byte[] {'{', '}'}, 0);
              })
          .get(5, TimeUnit.SECONDS);
      assertEquals(200, answer.get(5, TimeUnit.SECONDS));
      int status = 0;
      for (int i = 0; i < 50 && status != 200; i++) {
        HttpClient second = new HttpClient(group.next(), at, 1);
        status = call(group, second, "/other").get(5, TimeUnit.SECONDS);
        if (status != 200) {
          Thread.sleep(20);
        }
      }
      assertEquals(200, status);
      server.close();
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static CompletableFuture<Integer> call(
      NioEventLoopGroup group, HttpClient client, String path) {
    CompletableFuture<Integer> status = new CompletableFuture<>();
    group.execute(
        () ->
            client.call(
                HttpMethod.GET, path, null, 3_000, reply -> status.complete(reply.status())));
    return status;
  }
}
