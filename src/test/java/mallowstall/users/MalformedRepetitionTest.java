package mallowstall.users;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import mallowstall.SingleControllerHarness;
import mallowstall.core.model.MachineType;
import mallowstall.net.HttpServer.Request;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an accepted job whose repeated submission is answered with status 400 because the
 * repetition is malformed (violation "forgotten").
 */
class MalformedRepetitionTest {
  private static final MachineType TYPE =
      new MachineType("g8", 128, 8, 1_024, 400, 1.5, 12, 4, 90, List.of("a", "b"));

  private final SingleControllerHarness controller =
      new SingleControllerHarness(List.of(), List.of(TYPE));
  private final UserApiHandler users = new UserApiHandler(controller.core(), Runnable::run);

  @BeforeEach
  void start() {
    controller.advanceTime(3_000);
  }

  private int statusOf(String body) {
    List<Integer> statuses = new ArrayList<>();
    users.submit(
        new Request("POST", "/submissions", body.getBytes(StandardCharsets.UTF_8)),
        (status, json, retryAfterS) -> statuses.add(status));
    controller.advanceTime(100);
    assertEquals(1, statuses.size(), "answered once");
    return statuses.get(0);
  }

  /** The job's id is read although a field before or after the id has the wrong type. */
  @Test
  void repetitionWithWrongFieldTypesIsRecognized() {
    assertEquals(201, statusOf(Examples.JOB));
    String wrongTasks = Examples.JOB.replaceFirst("\"piezas\":[0-9]+", "\"piezas\":\"x\"");
    assertEquals(200, statusOf(wrongTasks));
    assertEquals(200, statusOf(wrongTasks.replaceFirst("\\{", "{\"lote\":[1,{\"a\":2}],")));
    String unknown = wrongTasks.replaceFirst("wk-[0-9]+", "wk-000999");
    assertEquals(400, statusOf(unknown));
  }

  /**
   * A body with an invalid id, or one that isn't complete JSON, identifies no job, so the response
   * is 400.
   */
  @Test
  void bodiesWithoutReadableIdAreRejected() {
    assertEquals(201, statusOf(Examples.JOB));
    assertEquals(400, statusOf(Examples.JOB.replaceFirst("\"wk-[0-9]+\"", "[1]")));
    assertEquals(400, statusOf(Examples.JOB.substring(0, Examples.JOB.lastIndexOf('}'))));
  }
}
