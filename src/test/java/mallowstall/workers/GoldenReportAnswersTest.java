package mallowstall.workers;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import mallowstall.Fixtures;
import mallowstall.SingleControllerHarness;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.SessionEntry;
import mallowstall.net.HttpServer.Request;
import mallowstall.net.HttpServer.Responder;
import mallowstall.users.Examples;
import mallowstall.users.UserApiHandler;
import org.junit.jupiter.api.Test;

/** Tests responses to heartbeats: status, seconds to wait before a retry, and the exact body. */
class GoldenReportAnswersTest {
  private static final MachineType TYPE =
      new MachineType("g8", 32, 8, 256, 400, 1.5, 12, 4, 90, List.of("a"));

  private final StringBuilder responses = new StringBuilder();
  private String latestResponse = "";

  private Responder recordResponse(String label) {
    return (status, json, retryAfterS) -> {
      latestResponse = new String(json, StandardCharsets.UTF_8);
      responses.append(label).append(": ").append(status).append(" retry ").append(retryAfterS);
      responses.append(' ').append(latestResponse).append('\n');
    };
  }

  private void sendHeartbeat(SingleControllerHarness controller, String label, String fields)
      throws IOException {
    WorkerHttpAdapter workers = new WorkerHttpAdapter(controller.core(), null, Runnable::run, 1);
    String json = "{\"calibre\":\"g8\",\"patio\":\"a\",\"turno\":1," + fields + "}";
    byte[] body = json.getBytes(StandardCharsets.UTF_8);
    workers.handleHeartbeat(new Request("POST", "/hello", body), recordResponse(label));
    controller.advanceTime(500);
  }

  /** Returns the number in the field with this name of the latest response. */
  private String numberField(String name) {
    return latestResponse.replaceAll(".*\"" + name + "\":([0-9]+).*", "$1");
  }

  @Test
  void heartbeatResponsesHoldCommands() throws IOException {
    SingleControllerHarness controller = new SingleControllerHarness(List.of(), List.of(TYPE));
    String machineFields = "\"sierra\":\"m-000001\",\"addr\":\"10.0.0.1:90\",\"folio\":";
    String job =
        Examples.JOB.replace("\"piezas\":16", "\"piezas\":1").replace("\"gpus\":1.0", "\"gpus\":0");
    UserApiHandler users = new UserApiHandler(controller.core(), Runnable::run);
    sendHeartbeat(controller, "not ready", machineFields + 1);
    controller.advanceTime(2_000);

    sendHeartbeat(controller, "new", machineFields + 2);
    String token = "\"baston\":" + numberField("baston") + ",";
    sendHeartbeat(controller, "idle", token + machineFields + 3);
    sendHeartbeat(controller, "a late copy", token + machineFields + 3);
    users.submit(
        new Request("POST", "/submissions", job.getBytes(StandardCharsets.UTF_8)),
        recordResponse("job"));
    controller.advanceTime(500);
    sendHeartbeat(controller, "run", token + machineFields + 4);
    String task =
        ",\"piezas\":[{\"pieza\":\"wk-000412/0\",\"intento\":"
            + numberField("intento")
            + ",\"estado\":";
    sendHeartbeat(controller, "running", token + machineFields + 5 + task + "\"running\"}]");
    users.query("wk-000412", recordResponse("job running"));
    controller.advanceTime(500);
    users.cancel("wk-000412", recordResponse("job cancelled"));
    controller.advanceTime(500);
    sendHeartbeat(controller, "kill", token + machineFields + 6 + task + "\"running\"}]");
    sendHeartbeat(
        controller,
        "reap",
        token + machineFields + 7 + task + "\"ended\",\"motivo\":\"stopped\"}]");
    sendHeartbeat(controller, "empty again", token + machineFields + 8);

    Fixtures.assertMatchesFixture("worker-answers.txt", responses.toString().stripTrailing());
  }

  @Test
  void workersAreRedirectedToTheirController() throws IOException {
    SingleControllerHarness controller = new SingleControllerHarness(List.of("n2"), List.of(TYPE));
    controller.put("c/n/n2", new SessionEntry("n2", 1));
    controller.advanceTime(2_000);

    for (int i = 1; i <= 4; i++) {
      sendHeartbeat(controller, "machine " + i, "\"sierra\":\"m-00000" + i + "\",\"folio\":1");
    }

    Fixtures.assertMatchesFixture("worker-redirects.txt", responses.toString().stripTrailing());
  }
}
