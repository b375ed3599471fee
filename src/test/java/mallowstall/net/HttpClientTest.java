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

/** Checks over loopback that a retired client leaves no open connection behind. */
class HttpClientTest {
  /**
   * Guards against a client that is retired during a call, to make room for another client, and
   * never closes its connection. A controller with more workers than connections then runs out of
   * sockets. The server in this test accepts one connection, so it serves the second client only
   * after the first client has closed its connection.
   */
  @Test
  void retiredClientClosesConnectionAfterItsCall() throws Exception {
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    try {
      List<HttpServer.Responder> held = new ArrayList<>();
      CompletableFuture<Void> received = new CompletableFuture<>();
      HttpServer server =
          new HttpServer(
              (request, responder) -> {
                if (request.path().equals("/held")) {
                  held.add(responder);
                  received.complete(null);
                } else {
                  responder.answer(200, new byte[] {'{', '}'}, 0);
                }
              },
              1);
      InetSocketAddress address =
          server.listen(group, new InetSocketAddress("127.0.0.1", 0)).join();
      HttpClient first = new HttpClient(group.next(), address, 1);
      CompletableFuture<Integer> answer = call(group, first, "/held");
      received.get(5, TimeUnit.SECONDS);
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
        HttpClient second = new HttpClient(group.next(), address, 1);
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
