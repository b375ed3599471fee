package mallowstall;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.LongFunction;
import mallowstall.core.ControllerCore;
import mallowstall.net.HttpServer.Request;
import mallowstall.net.HttpServer.Responder;
import mallowstall.net.HttpServer.Response;
import mallowstall.net.HttpStatus;
import mallowstall.users.UserApiHandler;
import mallowstall.workers.WorkerHttpAdapter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Passes each HTTP request to the handler of its path and method. Used on the event loop only. */
final class RequestRouter {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.service");
  private static final String SUBMISSIONS = "/submissions";
  private static final String CANCEL = "/cancel";
  private static final String GET = "GET";
  private static final String POST = "POST";

  private final ControllerCore core;
  private final UserApiHandler users;
  private final WorkerHttpAdapter workers;
  private final ControllerMetrics metrics;

  RequestRouter(
      ControllerCore core,
      UserApiHandler users,
      WorkerHttpAdapter workers,
      ControllerMetrics metrics) {
    this.core = core;
    this.users = users;
    this.workers = workers;
    this.metrics = metrics;
  }

  /**
   * Passes the request to its handler, which responds now or later. If the handler throws an
   * exception, the request is answered with status 500.
   */
  void route(Request request, Responder responder) {
    String path = path(request);
    try {
      switch (path) {
        case "/hello" -> hello(request, responder);
        case "/ready" -> ready(request, responder);
        case "/metrics" -> metrics(request, responder);
        case SUBMISSIONS -> submit(request, responder);
        default -> {
          if (path.startsWith(SUBMISSIONS + "/")) {
            submission(path.substring(SUBMISSIONS.length() + 1), request, responder);
          } else {
            noSuchPath(responder);
          }
        }
      }
    } catch (RuntimeException failure) {
      LOG.error("request failed method={} path={}", request.method(), path, failure);
      respondError(responder, HttpStatus.INTERNAL_ERROR, "internal error");
    }
  }

  /** Returns the path without the query string. */
  private static String path(Request request) {
    String path = request.path();
    int query = path.indexOf('?');
    return query < 0 ? path : path.substring(0, query);
  }

  private void hello(Request request, Responder responder) {
    if (!requireMethod(POST, request, responder)) {
      return;
    }
    try {
      workers.handleHeartbeat(request, responder);
    } catch (IOException failure) {
      LOG.info("heartbeat rejected reason={}", failure.getMessage());
      respondError(responder, HttpStatus.BAD_REQUEST, "not a valid report");
    }
  }

  private void ready(Request request, Responder responder) {
    if (!requireMethod(GET, request, responder)) {
      return;
    }
    boolean ready = core.isReady();
    byte[] body = ("{\"ready\":" + ready + "}").getBytes(StandardCharsets.UTF_8);
    responder.answer(ready ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE, body, ready ? 0 : 1);
  }

  private void metrics(Request request, Responder responder) {
    if (requireMethod(GET, request, responder)) {
      responder.answer(HttpStatus.OK, metrics.prometheusText().getBytes(StandardCharsets.UTF_8), 0);
    }
  }

  private void submit(Request request, Responder responder) {
    if (!requireMethod(POST, request, responder)) {
      return;
    }
    users.submit(request, new TimedResponder(responder));
  }

  /** Records the time that a submission takes from its receipt to its response. */
  private final class TimedResponder implements Responder {
    private final Responder responder;
    private final long receivedNanos = System.nanoTime();

    TimedResponder(Responder responder) {
      this.responder = responder;
    }

    @Override
    public void answer(int status, byte[] json, int retryAfterS) {
      recordDuration();
      responder.answer(status, json, retryAfterS);
    }

    @Override
    public void answerAtWriteTime(LongFunction<Response> responseAt) {
      recordDuration();
      responder.answerAtWriteTime(responseAt);
    }

    private void recordDuration() {
      metrics.recordNanos(ControllerMetrics.SUBMIT, System.nanoTime() - receivedNanos);
    }
  }

  /**
   * Queries or cancels one job. {@code rest} is the part of the path after {@code /submissions/}.
   */
  private void submission(String rest, Request request, Responder responder) {
    boolean cancel = rest.endsWith(CANCEL);
    String job = cancel ? rest.substring(0, rest.length() - CANCEL.length()) : rest;
    if (job.indexOf('/') >= 0) {
      noSuchPath(responder);
    } else if (cancel) {
      if (requireMethod(POST, request, responder)) {
        users.cancel(job, responder);
      }
    } else if (requireMethod(GET, request, responder)) {
      users.query(job, responder);
    }
  }

  /** Returns whether the request has the given method. If it hasn't, responds with status 405. */
  private static boolean requireMethod(String method, Request request, Responder responder) {
    if (request.method().equals(method)) {
      return true;
    }
    respondError(responder, HttpStatus.METHOD_NOT_ALLOWED, "the method must be " + method);
    return false;
  }

  private static void noSuchPath(Responder responder) {
    respondError(responder, HttpStatus.NOT_FOUND, "no such path");
  }

  private static void respondError(Responder responder, int status, String message) {
    responder.answer(
        status, ("{\"error\":\"" + message + "\"}").getBytes(StandardCharsets.UTF_8), 0);
  }
}
