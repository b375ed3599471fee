package mallowstall.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import mallowstall.Service;
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
@Command(name = "rehearse", hidden = true, description = "Serve for a moment on loopback.")
final class Rehearsal implements Callable<Integer> {
  private static final String JOB =
      "{\"ref\":\"wk-000001\",\"lote\":\"c\",\"cuadrilla\":\"t\",\"oficio\":\"batch\",\"urgencia\":\"high\","
          + "\"piezas\":3,\"vcpus\":1.0,\"gpus\":0.0,\"mem_gb\":1.0,\"molde\":\"i\",\"image_gb\":0.1,"
          + "\"calibres\":null,\"patio\":null,\"one_zone\":false,\"scatter\":false,\"prestados\":true,"
          + "\"aserrado_s\":1.0,\"marca_s\":0.0,\"apilado_s\":0.0,\"despacho_s\":60.0}";
  private static final long ROUNDS = 12;
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
    ObjectMapper json = Main.json();
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    HttpServer world = new HttpServer(this::canned, 50);
    InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
    world.listen(group, any);
    String w = "127.0.0.1:" + world.address().getPort();
    String settings =
        "{\"node\":\"n0\",\"location\":\"z\",\"listen\":\"127.0.0.1:0\",\"peer_bind\":\"127.0.0.1:0\","
            + "\"known\":[{\"node\":\"n1\",\"location\":\"z\",\"addr\":\"127.0.0.1:1\"}],\"endpoints\":{\"cloud\":\""
            + w
            + "\",\"state\":\""
            + w
            + "\"},\"facts\":{\"teams\":[{\"name\":\"t\",\"cpus\":0,\"cpus_max\":9}],\"objectives\":[],"
            + "\"workers\":{\"report_s\":1,\"lease_s\":10,\"cancel_s\":35},\"state\":{\"rps\":150,\"write_rps\":60,"
            + "\"value_kb\":8,\"txn_ops\":24},\"cloud\":{\"rps\":1.5,\"list_lag_s\":10},\"skew_ms\":25}}";
    Settings s = Settings.parse(settings.getBytes(StandardCharsets.UTF_8), json);
    Service service = new Service(s, json, Policies.bundled());
    service.start();
    HttpClient user = new HttpClient(group.next(), service.address(), 2);
    CountDownLatch left = new CountDownLatch((int) ROUNDS * 4);
    for (int i = 1; i <= ROUNDS; i++) {
      String report =
          "{\"sierra\":\"m-000001\",\"addr\":\""
              + w
              + "\",\"calibre\":\"x\",\"patio\":\"z\",\"prestados\":false,"
              + "\"turno\":1,\"folio\":"
              + i
              + ",\"baston\":"
              + (i > 2 ? 1 : 0)
              + ",\"aviso_s\":null,\"piezas\":"
              + (i > 6
                  ? "[{\"pieza\":\"wk-000001/0\",\"intento\":1,\"estado\":\"ended\",\"motivo\":\"done\"}]"
                  : "[]")
              + "}";
      for (List<String> call :
          List.of(
              List.of("GET", "/ready", ""),
              List.of("POST", "/hello", report),
              List.of("POST", "/submissions", JOB),
              List.of("GET", "/submissions/wk-000001", ""))) {
        byte[] body = call.get(2).isEmpty() ? null : call.get(2).getBytes(StandardCharsets.UTF_8);
        group
            .next()
            .execute(
                () ->
                    user.call(
                        HttpMethod.valueOf(call.get(0)),
                        call.get(1),
                        body,
                        2_000,
                        reply -> left.countDown()));
      }
      Thread.sleep(150);
    }
    boolean all = left.await(5, TimeUnit.SECONDS);
    service.stop();
    world.close();
    group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
    return all ? 0 : 1;
  }
}
