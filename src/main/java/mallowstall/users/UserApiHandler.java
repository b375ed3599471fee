package mallowstall.users;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.function.Consumer;
import mallowstall.core.api.UserRequests;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.JobSpec;
import mallowstall.json.JsonWriter;
import mallowstall.net.HttpServer.Request;
import mallowstall.net.HttpServer.Responder;
import mallowstall.net.HttpServer.Response;
import mallowstall.net.HttpStatus;

/**
 * Handles submissions, queries and cancellations of users (see the protocol, section Users). All
 * methods run on the event loop.
 */
public final class UserApiHandler {
  /** The response that is sent if the actual one is no longer valid when it is written. */
  private static final Response EXPIRED = expired();

  private final UserRequests core;
  private final Consumer<Runnable> runEvent;

  /**
   * Creates a handler that passes users' requests to the core.
   *
   * @param runEvent runs an event of the core
   */
  public UserApiHandler(UserRequests core, Consumer<Runnable> runEvent) {
    this.core = core;
    this.runEvent = runEvent;
  }

  /**
   * Handles POST /submissions. The core also decides on a malformed submission with a valid job id,
   * because a controller of another version may have accepted that job.
   */
  public void submit(Request request, Responder responder) {
    JobSpec spec;
    try {
      spec = Submission.parse(request.body());
    } catch (MalformedSubmissionException malformed) {
      if (malformed.job() == null) {
        error(responder, HttpStatus.BAD_REQUEST, malformed.getMessage());
      } else {
        core.rejectSubmission(
            malformed.job(),
            malformed.getMessage(),
            response -> respond(response, responder, true));
      }
      return;
    }
    core.submit(spec, response -> respond(response, responder, true));
  }

  /** Handles GET /submissions/{id}. */
  public void query(String id, Responder responder) {
    if (checkJobId(id, responder)) {
      core.query(id, response -> respond(response, responder, false));
    }
  }

  /** Handles POST /submissions/{id}/cancel. */
  public void cancel(String id, Responder responder) {
    if (checkJobId(id, responder)) {
      core.cancel(id, response -> respond(response, responder, true));
    }
  }

  /** Returns whether the id in the path has the form of a job id. If not, responds with 404. */
  private static boolean checkJobId(String id, Responder responder) {
    if (Submission.isJobId(id)) {
      return true;
    }
    error(responder, HttpStatus.NOT_FOUND, "no such job");
    return false;
  }

  private static void error(Responder responder, int status, String message) {
    responder.answer(status, error(message), 0);
  }

  /** Returns the body of an error response with the reason why the request is rejected. */
  private static byte[] error(String message) {
    return JsonWriter.object(out -> out.writeStringField(UserProtocol.ERROR, message));
  }

  private void respond(ApiResponse response, Responder responder, boolean brief) {
    Response encoded = encode(response, brief);
    if (response.validUntilMs() == ApiResponse.ALWAYS_VALID) {
      responder.answer(encoded.status(), encoded.json(), encoded.retryAfterS());
    } else {
      responder.answerAtWriteTime(steadyMs -> checkedAt(steadyMs, response, encoded));
    }
  }

  /** Returns the encoded response, or the one that replaces it if it is no longer valid. */
  private Response checkedAt(long steadyMs, ApiResponse response, Response encoded) {
    if (response.mayLeaveAt(steadyMs)) {
      return encoded;
    }
    if (response.needsArrivalReport()) {
      core.refusalArrived(response.refusalId()); // it never leaves
    }
    return EXPIRED;
  }

  private static Response expired() {
    ApiResponse expired = ApiResponse.expired();
    return new Response(expired.status(), body(expired, true), expired.retryAfterS());
  }

  private Response encode(ApiResponse response, boolean brief) {
    Runnable onArrival =
        response.needsArrivalReport()
            ? () -> runEvent.accept(() -> core.refusalArrived(response.refusalId()))
            : null;
    return new Response(
        response.status(), body(response, brief), response.retryAfterS(), onArrival);
  }

  private static byte[] body(ApiResponse response, boolean brief) {
    return response.state() == null
        ? error(response.message())
        : JsonWriter.object(out -> writeState(out, response, brief));
  }

  /** Writes the state of a job, without the counts of its tasks if {@code brief} is set. */
  private static void writeState(JsonGenerator out, ApiResponse response, boolean brief)
      throws IOException {
    out.writeStringField(UserProtocol.JOB, response.id());
    out.writeStringField(UserProtocol.STATE, response.state());
    if (!brief) {
      out.writeNumberField(UserProtocol.DONE, response.completedTaskCount());
      out.writeNumberField(UserProtocol.RUNNING, response.runningTaskCount());
    }
  }
}
