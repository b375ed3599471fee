package mallowstall.users;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import mallowstall.core.api.UserRequests;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.JobSpec;
import mallowstall.net.HttpServer.Responder;
import mallowstall.net.HttpServer.Response;
import org.junit.jupiter.api.Test;

/** Checks that the core learns when a refusal has arrived, and when it never leaves. */
class RefusalArrivalTest {
  private static final long VALID_UNTIL_MS = 1_000;
  private static final long REFUSAL_ID = 7;

  private final List<Long> arrived = new ArrayList<>();
  private int events;
  private ApiResponse answer =
      ApiResponse.notFound().validUntil(VALID_UNTIL_MS).withRefusalId(REFUSAL_ID);

  /** Gives the same answer to all requests and records the arrivals. */
  private final class Core implements UserRequests {
    @Override
    public void submit(JobSpec spec, Consumer<ApiResponse> reply) {
      reply.accept(answer);
    }

    @Override
    public void rejectSubmission(String id, String reason, Consumer<ApiResponse> reply) {
      reply.accept(answer);
    }

    @Override
    public void query(String id, Consumer<ApiResponse> reply) {
      reply.accept(answer);
    }

    @Override
    public void cancel(String id, Consumer<ApiResponse> reply) {
      reply.accept(answer);
    }

    @Override
    public void refusalArrived(long refusalId) {
      arrived.add(refusalId);
    }
  }

  /** A connection that writes the response at a fixed time and keeps it. */
  private static final class WritingAt implements Responder {
    private final long steadyMs;
    private Response written;

    WritingAt(long steadyMs) {
      this.steadyMs = steadyMs;
    }

    @Override
    public void answer(int status, byte[] json, int retryAfterS) {
      written = new Response(status, json, retryAfterS);
    }

    @Override
    public void answerAtWriteTime(LongFunction<Response> responseAt) {
      written = responseAt.apply(steadyMs);
    }
  }

  private Response writeAt(long steadyMs) {
    WritingAt responder = new WritingAt(steadyMs);
    Consumer<Runnable> runEvent =
        event -> {
          events++;
          event.run();
        };
    new UserApiHandler(new Core(), runEvent).query("wk-000001", responder);
    return responder.written;
  }

  @Test
  void arrivalIsReportedInAnEventOfItsOwn() {
    Response response = writeAt(VALID_UNTIL_MS);
    assertEquals(404, response.status());
    assertEquals(List.of(), arrived);
    response.onArrival().run();
    assertEquals(List.of(REFUSAL_ID), arrived);
    assertEquals(1, events);
  }

  @Test
  void refusalThatIsReplacedIsNotOnItsWay() {
    Response response = writeAt(VALID_UNTIL_MS + 1);
    assertEquals(503, response.status());
    assertNull(response.onArrival());
    assertEquals(List.of(REFUSAL_ID), arrived);
  }

  /** The connection stays open after any other answer. */
  @Test
  void arrivalOfStateIsNotReported() {
    answer = ApiResponse.open("wk-000001", 0, 0).validUntil(VALID_UNTIL_MS);
    assertNull(writeAt(VALID_UNTIL_MS).onArrival());
    assertNull(writeAt(VALID_UNTIL_MS + 1).onArrival());
    assertEquals(List.of(), arrived);
  }
}
