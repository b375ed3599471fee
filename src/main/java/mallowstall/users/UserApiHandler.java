package mallowstall.users;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import mallowstall.core.api.UserRequests;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.JobSpec;
import mallowstall.json.JsonWriter;
import mallowstall.net.HttpServer.Request;
import mallowstall.net.HttpServer.Responder;
import mallowstall.net.HttpStatus;

/** Submissions, queries and cancellations of users (protocol, Users). Runs on the event loop. */
public final class UserApiHandler {
  private final UserRequests core;

  /** Turns users' requests into events of the core. */
  public UserApiHandler(UserRequests core) {
    this.core = core;
  }

  /** POST /submissions. */
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
            userAnswer -> answer(userAnswer, responder, true));
      }
      return;
    }
    core.submit(spec, userAnswer -> answer(userAnswer, responder, true));
  }

  /** GET /submissions/{id}. */
  public void query(String id, Responder responder) {
    if (isJob(id, responder)) {
      core.query(id, userAnswer -> answer(userAnswer, responder, false));
    }
  }

  /** POST /submissions/{id}/cancel. */
  public void cancel(String id, Responder responder) {
    if (isJob(id, responder)) {
      core.cancel(id, userAnswer -> answer(userAnswer, responder, true));
    }
  }

  /** Whether the path names a job; if it doesn't, that is the response. */
  private static boolean isJob(String id, Responder responder) {
    if (Submission.isJobId(id)) {
      return true;
    }
    error(responder, HttpStatus.NOT_FOUND, "no such job");
    return false;
  }

  private static void error(Responder responder, int status, String message) {
    responder.answer(status, error(message), 0);
  }

  /** Why a request is refused. */
  private static byte[] error(String message) {
    return JsonWriter.object(out -> out.writeStringField(UserProtocol.ERROR, message));
  }

  private static void answer(ApiResponse answer, Responder responder, boolean brief) {
    if (answer.state() == null) {
      responder.answer(answer.status(), error(answer.message()), answer.retryAfterS());
    } else {
      responder.answer(
          answer.status(), JsonWriter.object(out -> writeState(out, answer, brief)), 0);
    }
  }

  /** A job's state as it is told. */
  private static void writeState(JsonGenerator out, ApiResponse answer, boolean brief)
      throws IOException {
    out.writeStringField(UserProtocol.JOB, answer.id());
    out.writeStringField(UserProtocol.STATE, answer.state());
    if (!brief) {
      out.writeNumberField(UserProtocol.DONE, answer.completedTaskCount());
      out.writeNumberField(UserProtocol.RUNNING, answer.runningTaskCount());
    }
  }
}
