package mallowstall.core.model;

/**
 * Response to a user's request (protocol, Users): either a job's state or an error.
 *
 * @param status HTTP status
 * @param id the job's id; null in an error
 * @param state the job's state by its name in the protocol; null in an error
 * @param completedTaskCount tasks of the job that are done
 * @param runningTaskCount tasks of the job that run now
 * @param message what is wrong, in an error; null in a state
 * @param retryAfterS seconds after which the request should be repeated; 0: it needn't be
 * @param validUntilMs steady ms until which the response may leave this controller; what another
 *     controller does later may contradict it; {@link #ALWAYS_VALID}: nothing does
 */
public record ApiResponse(
    int status,
    String id,
    String state,
    int completedTaskCount,
    int runningTaskCount,
    String message,
    int retryAfterS,
    long validUntilMs) {
  /** A response that stays true for good. */
  public static final long ALWAYS_VALID = Long.MAX_VALUE;

  /** s. Least time before a user repeats a request (protocol, Users). */
  private static final int EXPIRED_RETRY_AFTER_S = 1;

  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int UNPROCESSABLE = 422;
  private static final int SERVICE_UNAVAILABLE = 503;

  private static final String PENDING = "pending";
  private static final String RUNNING = "running";
  private static final String DONE = "done";
  private static final String CANCELLED = "cancelled";

  /** 201: the submission is recorded. */
  public static ApiResponse accepted(String id) {
    return state(CREATED, id, PENDING, 0, 0);
  }

  /** A job that has not ended: running if any of its tasks is. */
  public static ApiResponse open(String id, int completedTaskCount, int runningTaskCount) {
    String state = runningTaskCount > 0 ? RUNNING : PENDING;
    return state(OK, id, state, completedTaskCount, runningTaskCount);
  }

  /** A job of which all tasks are done. */
  public static ApiResponse done(String id, int completedTaskCount) {
    return state(OK, id, DONE, completedTaskCount, 0);
  }

  /** A job that was cancelled. */
  public static ApiResponse cancelled(String id, int completedTaskCount) {
    return state(OK, id, CANCELLED, completedTaskCount, 0);
  }

  /** 400: the request itself is wrong; repeating it doesn't help. */
  public static ApiResponse invalid(String message) {
    return error(BAD_REQUEST, message);
  }

  /** 404: there is no such job. */
  public static ApiResponse notFound() {
    return error(NOT_FOUND, "no such job");
  }

  /** 422: the job could never run; repeating the request doesn't help. */
  public static ApiResponse unschedulable(String message) {
    return error(UNPROCESSABLE, message);
  }

  /** 503: the user should come again after so many seconds. */
  public static ApiResponse unavailable(String message, int retryAfterS) {
    return new ApiResponse(
        SERVICE_UNAVAILABLE, null, null, 0, 0, message, retryAfterS, ALWAYS_VALID);
  }

  /** 503: takes the place of a response that could not leave in time. */
  public static ApiResponse expired() {
    return unavailable("the answer was delayed for too long, ask again", EXPIRED_RETRY_AFTER_S);
  }

  /** This response, which may leave until then and no later. */
  public ApiResponse validUntil(long steadyMs) {
    return new ApiResponse(
        status, id, state, completedTaskCount, runningTaskCount, message, retryAfterS, steadyMs);
  }

  /** Whether it may leave at this moment, in steady ms; if not, {@link #expired} leaves instead. */
  public boolean mayLeaveAt(long steadyMs) {
    return steadyMs <= validUntilMs;
  }

  private static ApiResponse state(
      int status, String id, String state, int completedTaskCount, int runningTaskCount) {
    return new ApiResponse(
        status, id, state, completedTaskCount, runningTaskCount, null, 0, ALWAYS_VALID);
  }

  private static ApiResponse error(int status, String message) {
    return new ApiResponse(status, null, null, 0, 0, message, 0, ALWAYS_VALID);
  }
}
