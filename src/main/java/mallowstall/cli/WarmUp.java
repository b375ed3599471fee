package mallowstall.cli;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import mallowstall.Controller;
import mallowstall.config.Settings;
import mallowstall.net.HttpClient;
import mallowstall.net.HttpServer;
import mallowstall.policy.Policies;
import picocli.CommandLine.Command;

/**
 * Serves for a moment on loopback against canned answers and ends. The build runs it so that the
 * class archive holds what serving loads: on a seventh of a core loading classes is most of a
 * restart.
 */
@Command(name = "warm-up", hidden = true, description = "Serve for a moment on loopback.")
final class WarmUp implements Callable<Integer> {
  private static final String JOB =
      "{\"ref\":\"wk-000001\",\"lote\":\"c\",\"cuadrilla\":\"t\",\"oficio\":\"batch\",\"urgencia\":\"high\","
          + "\"piezas\":3,\"vcpus\":1.0,\"gpus\":0.0,\"mem_gb\":1.0,\"molde\":\"i\",\"image_gb\":0.1,"
          + "\"calibres\":null,\"patio\":null,\"one_zone\":false,\"scatter\":false,\"prestados\":true,"
          + "\"aserrado_s\":1.0,\"marca_s\":0.0,\"apilado_s\":0.0,\"despacho_s\":60.0}";
  private static final int ROUNDS = 12;
  private static final int REQUESTS_A_ROUND = 4;
  private static final long ROUND_MS = 150;
  private int revision = 1;

  private void canned(HttpServer.Request request, HttpServer.Responder responder) {
    String p = request.path();
    String body;
    int status = 200;
    if (p.equals("/multi")) {
      body = "{\"tirada\":" + ++revision + "}";
    } else if (p.startsWith("/leases")) {
      body = "{\"permiso\":1}";
    } else if (p.startsWith("/keys?")) {
      body = "{\"entries\":[],\"has_next\":false,\"tirada\":" + revision + "}";
    } else if (p.startsWith("/keys/")) {
      status = 404;
      body = "{\"tirada\":" + revision + "}";
    } else if (p.startsWith("/changes")) {
      body = "{\"tirada\":" + revision + ",\"events\":[]}";
    } else if (p.equals("/flavors")) {
      body =
          "{\"calibres\":[{\"label\":\"x\",\"vcpus\":8,\"gpus\":0,\"mem_gb\":32,\"local_gb\":9,"
              + "\"fetch_gb_per_s\":1.0,\"rate\":1.0,\"market_price\":0.3,\"ready_s\":9,\"patios\":[\"z\"]}]}";
    } else if (p.startsWith("/machines?")) {
      body = "{\"sierras\":[],\"has_next\":false}";
    } else if (p.equals("/orders")) {
      status = 409;
      body =
          "{\"sierra\":\"m-000001\",\"addr\":\"\",\"calibre\":\"x\",\"patio\":\"z\",\"turno\":1,\"folio\":1,"
              + "\"baston\":1,\"piezas\":[]}";
    } else {
      body = "{\"sierras\":[]}";
    }
    responder.answer(status, body.getBytes(StandardCharsets.UTF_8), 0);
  }

  @Override
  public Integer call() throws Exception {
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    HttpServer world = new HttpServer(this::canned, 50);
    InetSocketAddress at = world.listen(group, new InetSocketAddress("127.0.0.1", 0)).join();
    String worldAddress = "127.0.0.1:" + at.getPort();
    // through a file, as when serving: reading one loads classes too
    Path file = Files.createTempFile("mallowstall-warm-up", ".json");
    Files.writeString(file, settings(worldAddress));
    Controller controller = new Controller(Settings.load(file), Policies.bundled());
    Files.delete(file);
    controller.start();
    HttpClient user = new HttpClient(group.next(), controller.address().join(), 2);
    CountDownLatch left = new CountDownLatch(ROUNDS * REQUESTS_A_ROUND);
    for (int round = 1; round <= ROUNDS; round++) {
      String report = report(worldAddress, round);
      ask(group, user, HttpMethod.GET, "/ready", null, left);
      ask(group, user, HttpMethod.POST, "/hello", report, left);
      ask(group, user, HttpMethod.POST, "/submissions", JOB, left);
      ask(group, user, HttpMethod.GET, "/submissions/wk-000001", null, left);
      Thread.sleep(ROUND_MS);
    }
    boolean all = left.await(5, TimeUnit.SECONDS);
    controller.stop();
    world.close();
    group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
    return all ? 0 : 1;
  }

  private static void ask(
      NioEventLoopGroup group,
      HttpClient user,
      HttpMethod method,
      String path,
      String body,
      CountDownLatch left) {
    byte[] bytes = body == null ? null : body.getBytes(StandardCharsets.UTF_8);
    group.next().execute(() -> user.call(method, path, bytes, 2_000, reply -> left.countDown()));
  }

  private static String settings(String worldAddress) {
    return """
        {"node":"n0","location":"z","listen":"127.0.0.1:0","peer_bind":"127.0.0.1:0",
         "known":[{"node":"n1","location":"z","addr":"127.0.0.1:1"}],
         "endpoints":{"cloud":"%1$s","state":"%1$s"},
         "facts":{"teams":[{"name":"t","cpus":0,"cpus_max":9}],"objectives":[],
          "workers":{"report_s":1,"lease_s":10,"cancel_s":35},
          "state":{"rps":150,"write_rps":60,"value_kb":8,"txn_ops":24},
          "cloud":{"rps":1.5,"list_lag_s":10},"skew_ms":25}}
        """
        .formatted(worldAddress);
  }

  /** A report of the one worker; the job's task has ended in the later rounds. */
  private static String report(String address, int round) {
    int token = round > 2 ? 1 : 0;
    String tasks =
        round > 6
            ? "{\"pieza\":\"wk-000001/0\",\"intento\":1,\"estado\":\"ended\",\"motivo\":\"done\"}"
            : "";
    return """
        {"sierra":"m-000001","addr":"%s","calibre":"x","patio":"z","prestados":false,
         "turno":1,"folio":%d,"baston":%d,"aviso_s":null,"piezas":[%s]}
        """
        .formatted(address, round, token, tasks);
  }
}
