package mallowstall.users;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import mallowstall.Fixtures;
import mallowstall.SingleControllerHarness;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.StoredEntry;
import mallowstall.json.JsonReader;
import mallowstall.net.HttpServer.Request;
import mallowstall.net.HttpServer.Responder;
import mallowstall.state.StoredEntries;
import org.junit.jupiter.api.Test;

/** Tests responses to users: status, seconds to wait before a retry, and the exact body. */
class GoldenAnswersTest {
  private static final MachineType TYPE =
      new MachineType("g8", 32, 8, 256, 400, 1.5, 12, 4, 90, List.of("a", "b"));

  private final StringBuilder responses = new StringBuilder();
  private SingleControllerHarness controller =
      new SingleControllerHarness(List.of(), List.of(TYPE));

  private Responder recordResponse(String label) {
    return (status, json, retryAfterS) ->
        responses
            .append(label)
            .append(": ")
            .append(status)
            .append(" retry ")
            .append(retryAfterS)
            .append(' ')
            .append(new String(json, StandardCharsets.UTF_8))
            .append('\n');
  }

  private UserApiHandler users() {
    return new UserApiHandler(controller.core(), Runnable::run);
  }

  private void submit(String label, String job) {
    byte[] body = job.getBytes(StandardCharsets.UTF_8);
    users().submit(new Request("POST", "/submissions", body), recordResponse(label));
    controller.advanceTime(100);
  }

  private void query(String label, String id) {
    users().query(id, recordResponse(label));
    controller.advanceTime(100);
  }

  private void cancel(String label, String id) {
    users().cancel(id, recordResponse(label));
    controller.advanceTime(100);
  }

  private void assertResponses(String file) throws IOException {
    Fixtures.assertMatchesFixture(file, responses.toString().stripTrailing());
  }

  @Test
  void jobStatesAreReturned() throws IOException {
    String service =
        SubmissionTest.GOOD
            .replace("wk-000412", "wk-000413")
            .replace("\"batch\"", "\"daemon\"")
            .replace("\"piezas\":16", "\"piezas\":2");
    StoredEntry done =
        JsonReader.read(
            Fixtures.bytes("entries/batch-done.json"),
            in -> StoredEntries.read("c/j/wk-000999", in));
    controller.advanceTime(2_000);

    submit("submitted", SubmissionTest.GOOD);
    submit("submitted again", SubmissionTest.GOOD);
    submit("a wrong copy of it", SubmissionTest.GOOD.replace("\"batch\"", "\"other\""));
    submit("a service", service);
    query("asked", "wk-000412");
    cancel("cancelled", "wk-000412");
    cancel("cancelled again", "wk-000412");
    query("asked after the end", "wk-000412");
    query("the service", "wk-000413");
    query("unknown", "wk-000998");
    cancel("cancelled unknown", "wk-000998");
    controller.put("c/j/wk-000999", done);
    query("done", "wk-000999");
    cancel("cancelled when done", "wk-000999");
    query("no name of a job", "job-1");
    cancel("cancelled no name of a job", "job-1");

    assertResponses("users-states.txt");
  }

  @Test
  void submissionsThatCanNeverRunAreRejected() throws IOException {
    String good = SubmissionTest.GOOD;
    String service = good.replace("\"batch\"", "\"daemon\"");
    controller.advanceTime(2_000);

    submit("team", good.replace("\"vision\"", "\"\u00e9 \\\"x\\\"\""));
    submit("type", good.replace("[\"g8\"]", "[\"t16\"]"));
    submit("zone", good.replace("\"patio\":null", "\"patio\":\"z\""));
    submit("memory", good.replace("\"mem_gb\":64.0", "\"mem_gb\":257"));
    submit("gpus", good.replace("\"gpus\":1.0", "\"gpus\":5"));
    submit("replicas' cpus", service);
    submit("replicas' gpus", service.replace("\"vcpus\":8.0", "\"vcpus\":1"));
    submit("size", good.replace("[\"g8\"]", "[\"g8\"" + ",\"x\"".repeat(8_000) + "]"));

    assertResponses("users-refused.txt");
  }

  @Test
  void malformedSubmissionsAreRejected() throws IOException {
    String good = SubmissionTest.GOOD;
    // no job is accepted without the state service; its state would be returned in place of the
    // error
    controller.setStateServiceAvailable(false);
    controller.advanceTime(2_000);

    for (String body : List.of("", "null", "[1]", "{", "{}", "5", "\"x\"")) {
      submit(body, body);
    }
    for (String field : good.replaceAll("[{}\\n ]", "").split(",(?=\")")) {
      String name = field.substring(0, field.indexOf(':'));
      submit(name + " missing", good.replace(name, "\"x\""));
      submit(name + " an object", good.replace(field, name + ":{}"));
      submit(name + " a negative", good.replace(field, name + ":-1"));
      submit(name + " an empty text", good.replace(field, name + ":\"\""));
      submit(name + " too large", good.replace(field, name + ":2e9"));
    }
    submit("long text", good.replace("\"train\"", "\"" + "x".repeat(201) + "\""));
    submit("no types", good.replace("[\"g8\"]", "[]"));
    submit("no cpus", good.replace("\"vcpus\":8.0", "\"vcpus\":0"));
    submit("tasks", good.replace("\"piezas\":16", "\"piezas\":100001"));

    assertResponses("users-malformed.txt");
  }

  @Test
  void requestsThatCannotBeDecidedYetAreToBeRetried() throws IOException {
    controller = new SingleControllerHarness(List.of(), List.of());
    controller.advanceTime(2_000);
    submit("no types", SubmissionTest.GOOD);

    controller = new SingleControllerHarness(List.of(), List.of(TYPE));
    controller.setStateServiceAvailable(false);
    controller.advanceTime(2_000);
    submit("never synced", SubmissionTest.GOOD);
    query("never synced, asked", "wk-000412");
    cancel("never synced, cancelled", "wk-000412");

    controller = new SingleControllerHarness(List.of(), List.of(TYPE));
    controller.advanceTime(2_000);
    submit("recorded", SubmissionTest.GOOD);
    controller.setStateServiceAvailable(false);
    submit("not recorded", SubmissionTest.GOOD.replace("wk-000412", "wk-000414"));
    query("not read", "wk-000412");
    cancel("not read, cancelled", "wk-000412");

    assertResponses("users-later.txt");
  }
}
