package mallowstall.workers;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import mallowstall.Fixtures;
import mallowstall.OneController;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.SessionEntry;
import mallowstall.net.HttpServer.Request;
import mallowstall.net.HttpServer.Responder;
import mallowstall.users.Examples;
import mallowstall.users.UserApiHandler;
import org.junit.jupiter.api.Test;

/** What workers' reports are answered: status, seconds to wait, and the exact body. */
class GoldenReportAnswersTest {
  private static final MachineType TYPE =
      new MachineType("g8", 32, 8, 256, 400, 1.5, 12, 4, 90, List.of("a"));

  private final StringBuilder answers = new StringBuilder();
  private String newest = "";

  private Responder note(String what) {
    return (status, json, retryAfterS) -> {
      newest = new String(json, StandardCharsets.UTF_8);
      answers.append(what).append(": ").append(status).append(" retry ").append(retryAfterS);
      answers.append(' ').append(newest).append('\n');
    };
  }

  private void report(OneController controller, String what, String fields) throws IOException {
    WorkerHttpAdapter workers = new WorkerHttpAdapter(controller.core(), null, Runnable::run, 1);
    String json = "{\"calibre\":\"g8\",\"patio\":\"a\",\"turno\":1," + fields + "}";
    byte[] body = json.getBytes(StandardCharsets.UTF_8);
    workers.handleHeartbeat(new Request("POST", "/hello", body), note(what));
    controller.pass(500);
  }

  /** The number behind this name in the newest answer. */
  private String number(String name) {
    return newest.replaceAll(".*\"" + name + "\":([0-9]+).*", "$1");
  }

  @Test
  void commandsAnswerReports() throws IOException {
    OneController controller = new OneController(List.of(), List.of(TYPE));
    String me = "\"sierra\":\"m-000001\",\"addr\":\"10.0.0.1:90\",\"folio\":";
    String job =
        Examples.JOB.replace("\"piezas\":16", "\"piezas\":1").replace("\"gpus\":1.0", "\"gpus\":0");
    UserApiHandler users = new UserApiHandler(controller.core());
    report(controller, "not ready", me + 1);
    controller.pass(2_000);

    report(controller, "new", me + 2);
    String token = "\"baston\":" + number("baston") + ",";
    report(controller, "idle", token + me + 3);
    report(controller, "a late copy", token + me + 3);
    users.submit(
        new Request("POST", "/submissions", job.getBytes(StandardCharsets.UTF_8)), note("job"));
    controller.pass(500);
    report(controller, "run", token + me + 4);
    String task =
        ",\"piezas\":[{\"pieza\":\"wk-000412/0\",\"intento\":" + number("intento") + ",\"estado\":";
    report(controller, "running", token + me + 5 + task + "\"running\"}]");
    users.query("wk-000412", note("job running"));
    controller.pass(500);
    users.cancel("wk-000412", note("job cancelled"));
    controller.pass(500);
    report(controller, "kill", token + me + 6 + task + "\"running\"}]");
    report(controller, "reap", token + me + 7 + task + "\"ended\",\"motivo\":\"stopped\"}]");
    report(controller, "empty again", token + me + 8);

    Fixtures.assertSame("worker-answers.txt", answers.toString().stripTrailing());
  }

  @Test
  void workersAreSentToTheirController() throws IOException {
    OneController controller = new OneController(List.of("n2"), List.of(TYPE));
    controller.put("c/n/n2", new SessionEntry("n2", 1));
    controller.pass(2_000);

    for (int i = 1; i <= 4; i++) {
      report(controller, "machine " + i, "\"sierra\":\"m-00000" + i + "\",\"folio\":1");
    }

    Fixtures.assertSame("worker-redirects.txt", answers.toString().stripTrailing());
  }
}
