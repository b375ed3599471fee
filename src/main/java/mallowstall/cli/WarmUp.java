package mallowstall.cli;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
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
 * Starts a controller on loopback against canned responses, sends it requests for a short time and
 * stops it. The build runs this command so that the class archive holds the classes that a serving
 * controller loads: on a small share of a core, loading classes takes most of the time of a
 * restart.
 */
@Command(name = "warm-up", hidden = true, description = "Serve for a moment on loopback.")
final class WarmUp implements Callable<Integer> {
  private static final String JOB =
      "{\"ref\":\"wk-000001\",\"lote\":\"c\",\"cuadrilla\":\"t\",\"oficio\":\"batch\",\"urgencia\":\"high\","
          + "\"piezas\":3,\"vcpus\":1.0,\"gpus\":0.0,\"mem_gb\":1.0,\"molde\":\"i\",\"image_gb\":0.1,"
          + "\"calibres\":null,\"patio\":null,\"one_zone\":false,\"scatter\":false,\"prestados\":true,"
          + "\"aserrado_s\":1.0,\"marca_s\":0.0,\"apilado_s\":0.0,\"despacho_s\":60.0}";
  private static final int REPETITIONS = 12;
  private static final int REQUESTS_PER_REPETITION = 4;
  private static final long REPETITION_MS = 150;
  private static final long REQUEST_TIMEOUT_MS = 2_000;
  private static final long ANSWER_TIMEOUT_S = 5;
  private static final int BACKEND_CONNECTIONS = 50;
  private static final int USER_CONNECTIONS = 2;

  @Override
  public Integer call() throws Exception {
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    HttpServer backends = new HttpServer(new CannedBackends(), BACKEND_CONNECTIONS);
    try {
      InetSocketAddress bound =
          backends.listen(group, new InetSocketAddress("127.0.0.1", 0)).join();
      return serve(group, "127.0.0.1:" + bound.getPort()) ? 0 : 1;
    } finally {
      backends.close();
      group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
    }
  }

  /** Returns whether a controller that uses the canned responses answered all requests. */
  private static boolean serve(NioEventLoopGroup group, String backendAddress) throws Exception {
    Controller controller = new Controller(loadSettings(backendAddress), Policies.bundled());
    controller.start();
    try {
      HttpClient user = new HttpClient(group.next(), controller.address().join(), USER_CONNECTIONS);
      CountDownLatch unanswered = new CountDownLatch(REPETITIONS * REQUESTS_PER_REPETITION);
      for (int repetition = 1; repetition <= REPETITIONS; repetition++) {
        String heartbeat = heartbeat(backendAddress, repetition);
        send(group, user, HttpMethod.GET, "/ready", null, unanswered);
        send(group, user, HttpMethod.POST, "/hello", heartbeat, unanswered);
        send(group, user, HttpMethod.POST, "/submissions", JOB, unanswered);
        send(group, user, HttpMethod.GET, "/submissions/wk-000001", null, unanswered);
        Thread.sleep(REPETITION_MS);
      }
      return unanswered.await(ANSWER_TIMEOUT_S, TimeUnit.SECONDS);
    } finally {
      controller.stop();
    }
  }

  /**
   * Loads the settings from a file as a serving controller does: reading files loads classes too.
   */
  private static Settings loadSettings(String backendAddress) throws IOException, Settings.Invalid {
    Path file = Files.createTempFile("mallowstall-warm-up", ".json");
    try {
      Files.writeString(file, settings(backendAddress));
      return Settings.load(file);
    } finally {
      Files.delete(file);
    }
  }

  private static void send(
      NioEventLoopGroup group,
      HttpClient user,
      HttpMethod method,
      String path,
      String body,
      CountDownLatch unanswered) {
    byte[] bytes = body == null ? null : body.getBytes(StandardCharsets.UTF_8);
    group
        .next()
        .execute(
            () ->
                user.call(
                    method, path, bytes, REQUEST_TIMEOUT_MS, reply -> unanswered.countDown()));
  }

  private static String settings(String backendAddress) {
    return """
        {"node":"n0","location":"z","listen":"127.0.0.1:0","peer_bind":"127.0.0.1:0",
         "known":[{"node":"n1","location":"z","addr":"127.0.0.1:1"}],
         "endpoints":{"cloud":"%1$s","state":"%1$s"},
         "facts":{"teams":[{"name":"t","cpus":0,"cpus_max":9}],"objectives":[],
          "workers":{"report_s":1,"lease_s":10,"cancel_s":35},
          "state":{"rps":150,"write_rps":60,"value_kb":8,"txn_ops":24},
          "cloud":{"rps":1.5,"list_lag_s":10},"skew_ms":25}}
        """
        .formatted(backendAddress);
  }

  /** Returns a heartbeat of the only worker. The job's task has ended in the later repetitions. */
  private static String heartbeat(String address, int repetition) {
    int token = repetition > 2 ? 1 : 0;
    String tasks =
        repetition > 6
            ? "{\"pieza\":\"wk-000001/0\",\"intento\":1,\"estado\":\"ended\",\"motivo\":\"done\"}"
            : "";
    return """
        {"sierra":"m-000001","addr":"%s","calibre":"x","patio":"z","prestados":false,
         "turno":1,"folio":%d,"baston":%d,"aviso_s":null,"piezas":[%s]}
        """
        .formatted(address, repetition, token, tasks);
  }
}
