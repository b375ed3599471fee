package mallowstall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import mallowstall.config.Settings;
import mallowstall.core.model.CoreSettings;
import mallowstall.policy.Policies;
import mallowstall.users.Examples;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Runs a real controller on loopback that can reach neither the state service nor the cloud. The
 * controller must respond at once to requests that it can't process.
 */
class ControllerTest {
  private static final String SETTINGS =
      """
      {"node":"n0","listen":"127.0.0.1:0","peer_bind":"127.0.0.1:0",
       "endpoints":{"cloud":"127.0.0.1:1","state":"127.0.0.1:1"},
       "facts":{"teams":[{"name":"vision"}],
        "workers":{"report_s":1.0,"lease_s":10.0,"cancel_s":35.0},
        "state":{"rps":150.0,"write_rps":60.0,"value_kb":16.0,"txn_ops":24},
        "cloud":{"rps":1.5,"list_lag_s":10.0},"skew_ms":25.0}}
      """;

  private static Controller controller;
  private static String base;
  private static final HttpClient HTTP =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  @BeforeAll
  static void start() throws Exception {
    controller =
        new Controller(
            Settings.parse(SETTINGS.getBytes(StandardCharsets.UTF_8)), Policies.bundled());
    controller.start();
    base = "http://127.0.0.1:" + controller.address().join().getPort();
  }

  @AfterAll
  static void stop() {
    controller.stop();
  }

  private static HttpResponse<String> call(String method, String path, String body)
      throws IOException, InterruptedException {
    return HTTP.send(
        HttpRequest.newBuilder(URI.create(base + path))
            .timeout(Duration.ofSeconds(4))
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body))
            .build(),
        HttpResponse.BodyHandlers.ofString());
  }

  /** The core uses the smaller of the current and the next limits as soon as it starts. */
  @Test
  void coreUsesSmallerOfCurrentAndNextLimits() throws Exception {
    String next = ",\"next\":{\"value_kb\":2.0,\"txn_ops\":8,\"write_rps\":90.0}";
    Settings settings =
        Settings.parse(
            SETTINGS
                .replace("\"txn_ops\":24", "\"txn_ops\":24" + next)
                .getBytes(StandardCharsets.UTF_8));
    CoreSettings core = CoreSettingsFactory.create(settings);
    assertEquals(2_048, core.maxValueBytes());
    assertEquals(8, core.maxTransactionOps());
    assertEquals(60.0, core.stateWritesPerS());
    assertEquals(150.0, core.stateRequestsPerS());
  }

  @Test
  void invalidRequestGetsStatusAndErrorMessage() throws Exception {
    String job = Examples.JOB;
    Object[][] cases = {
      {"GET", "/nothing", null, 404, "no such path"},
      {"GET", "/submissions/wk-000001/more", null, 404, "no such path"},
      {"GET", "/submissions/other", null, 404, "no such job"},
      {"DELETE", "/submissions", null, 405, "the method must be POST"},
      {"POST", "/ready", "{}", 405, "the method must be GET"},
      {"POST", "/submissions", "{", 400, "not JSON"},
      {"POST", "/submissions", "[]", 400, "the body"},
      {"POST", "/submissions", "\"" + "x".repeat(70_000) + "\"", 400, "larger than 64 KiB"},
      {
        "POST",
        "/submissions",
        job.replace("\"batch\"", "\"ensemble\""),
        400,
        "oficio must be batch or"
      },
      {"POST", "/hello", "{}", 400, "not a valid report"},
    };
    for (Object[] c : cases) {
      HttpResponse<String> response = call((String) c[0], (String) c[1], (String) c[2]);
      assertEquals(c[3], response.statusCode(), c[0] + " " + c[1]);
      assertTrue(
          response.body().startsWith("{\"error\":") && response.body().contains((String) c[4]),
          response.body());
    }
  }

  /** The controller does not delay a response to keep the user from sending another request. */
  @Test
  void requestsGetImmediate503WhileStateServiceIsUnreachable() throws Exception {
    for (String[] c :
        new String[][] {
          {"POST", "/submissions", Examples.JOB},
          {"POST", "/submissions", Examples.JOB.replace("\"batch\"", "\"daemon\"")},
          {"GET", "/submissions/wk-000412", null},
          {"POST", "/submissions/wk-000412/cancel", ""},
        }) {
      long t0 = System.nanoTime();
      HttpResponse<String> response = call(c[0], c[1], c[2]);
      assertEquals(503, response.statusCode(), c[1]);
      assertTrue(Integer.parseInt(response.headers().firstValue("retry-after").orElseThrow()) >= 1);
      assertTrue(System.nanoTime() - t0 < 2_500_000_000L, c[1]);
    }
    assertEquals(503, call("GET", "/ready", null).statusCode());
    HttpResponse<String> m = call("GET", "/metrics", null);
    assertTrue(m.body().contains("mallowstall_submit_seconds_count"), m.body());
  }

  /** Returns the request and all bytes received until the server closes its connection. */
  private static String exchange(String request) throws Exception {
    try (Socket s = new Socket("127.0.0.1", controller.address().join().getPort())) {
      s.setSoTimeout(3_000);
      s.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      String answer = new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      return (request + answer).replace("\r", "\\r") + "\n\n";
    }
  }

  @Test
  void responsesMatchGoldenFile() throws Exception {
    StringBuilder exchanges = new StringBuilder();
    String[] firstLines = {
      "GET /nothing",
      "GET /submissions/wk-000001/more",
      "GET /submissions/other",
      "POST /submissions/other/cancel",
      "DELETE /submissions",
      "POST /submissions/wk-000001",
      "GET /submissions/wk-000001/cancel",
      "GET /hello",
      "POST /hello",
      "POST /submissions",
      "POST /ready",
      "GET /ready",
      "POST /metrics",
    };
    for (String line : firstLines) {
      exchanges.append(exchange(line + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
    }
    exchanges.append(exchange("no request\r\n\r\n"));
    Fixtures.assertMatchesFixture("service-answers.txt", exchanges.toString().stripTrailing());
  }

  @Test
  void connectionStaysOpenBetweenRequests() throws Exception {
    try (Socket s = new Socket("127.0.0.1", controller.address().join().getPort())) {
      s.setSoTimeout(3_000);
      byte[] request = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
      for (int i = 0; i < 3; i++) {
        s.getOutputStream().write(request);
        byte[] b = new byte[1_000];
        int n = s.getInputStream().read(b);
        String text = new String(b, 0, n, StandardCharsets.US_ASCII);
        assertTrue(text.startsWith("HTTP/1.1 503"), text);
      }
    }
  }
}
