package mallowstall.core.model;

/**
 * Response to a user's request (protocol, Users), which is either the state of a job or an error.
 *
 * @param status HTTP status
 * @param id id of the job, or null in an error
 * @param state state of the job by its name in the protocol, or null in an error
 * @param completedTaskCount number of tasks of the job that are done
 * @param runningTaskCount number of tasks of the job that are running
 * @param message description of the error, or null in a state
 * @param retryAfterS time in seconds after which the user should repeat the request, or 0 if that
 *     isn't needed
 * @param validUntilMs steady time in milliseconds until which the response may leave this
 *     controller, because another controller may contradict it later; {@link #ALWAYS_VALID} if none
 *     ever does
 * @param refusalId identifies a refusal whose arrival must be reported to the core, see {@code
 *     UserRequests}; 0 for every other response
 */
public record ApiResponse(
    int status,
    String id,
    String state,
    int completedTaskCount,
    int runningTaskCount,
    String message,
    int retryAfterS,
    long validUntilMs,
    long refusalId) {
  /** The value of {@code validUntilMs} of a response that never becomes wrong. */
  public static final long ALWAYS_VALID = Long.MAX_VALUE;

  /** Minimum time in seconds before a user repeats a request (protocol, Users). */
  private static final int EXPIRED_RETRY_AFTER_S = 1;

  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int UNPROCESSABLE = 422;
  private static final int INTERNAL_ERROR = 500;
  private static final int SERVICE_UNAVAILABLE = 503;

  private static final String PENDING = "pending";
  private static final String RUNNING = "running";
  private static final String DONE = "done";
  private static final String CANCELLED = "cancelled";

  /** Returns 201: the submission is recorded. */
  public static ApiResponse accepted(String id) {
    return state(CREATED, id, PENDING, 0, 0);
  }

  /**
   * Returns the state of a job that has not ended, which is running if any of its tasks is running.
   */
  public static ApiResponse open(String id, int completedTaskCount, int runningTaskCount) {
    String state = runningTaskCount > 0 ? RUNNING : PENDING;
    return state(OK, id, state, completedTaskCount, runningTaskCount);
  }

  /** Returns the state of a job of which all tasks are done. */
  public static ApiResponse done(String id, int completedTaskCount) {
    return state(OK, id, DONE, completedTaskCount, 0);
  }

  /** Returns the state of a job that was cancelled. */
  public static ApiResponse cancelled(String id, int completedTaskCount) {
    return state(OK, id, CANCELLED, completedTaskCount, 0);
  }

  /** Returns 400: the request itself is wrong, and repeating it doesn't help. */
  public static ApiResponse invalid(String message) {
    return error(BAD_REQUEST, message);
  }

  /** Returns 404: there is no such job. */
  public static ApiResponse notFound() {
    return error(NOT_FOUND, "no such job");
  }

  /** Returns 422: the job could never run, and repeating the request doesn't help. */
  public static ApiResponse unschedulable(String message) {
    return error(UNPROCESSABLE, message);
  }

  /** Returns 503: the user should repeat the request after the given number of seconds. */
  public static ApiResponse unavailable(String message, int retryAfterS) {
    return new ApiResponse(
        SERVICE_UNAVAILABLE, null, null, 0, 0, message, retryAfterS, ALWAYS_VALID, 0);
  }

  /** Returns 503, which is sent in place of a response that could not leave in time. */
  public static ApiResponse expired() {
    return unavailable("the answer was delayed for too long, ask again", EXPIRED_RETRY_AFTER_S);
  }

  /**
   * Returns this response with the given steady time in milliseconds as the last at which it may
   * leave this controller.
   */
  public ApiResponse validUntil(long steadyMs) {
    return copy(steadyMs, refusalId);
  }

  /** Returns this refusal with the id by which its arrival is reported to the core. */
  public ApiResponse withRefusalId(long newRefusalId) {
    return copy(validUntilMs, newRefusalId);
  }

  private ApiResponse copy(long newValidUntilMs, long newRefusalId) {
    return new ApiResponse(
        status,
        id,
        state,
        completedTaskCount,
        runningTaskCount,
        message,
        retryAfterS,
        newValidUntilMs,
        newRefusalId);
  }

  /** Returns whether the response denies for good what the user requests: 400, 404 or 422. */
  public boolean isRefusal() {
    return status >= BAD_REQUEST && status < INTERNAL_ERROR;
  }

  /** Returns whether the arrival of the response must be reported to the core. */
  public boolean needsArrivalReport() {
    return refusalId != 0;
  }

  /**
   * Returns whether the response may leave this controller at the given steady time in
   * milliseconds. If not, {@link #expired} is sent instead.
   */
  public boolean mayLeaveAt(long steadyMs) {
    return steadyMs <= validUntilMs;
  }

  private static ApiResponse state(
      int status, String id, String state, int completedTaskCount, int runningTaskCount) {
    return new ApiResponse(
        status, id, state, completedTaskCount, runningTaskCount, null, 0, ALWAYS_VALID, 0);
  }

  private static ApiResponse error(int status, String message) {
    return new ApiResponse(status, null, null, 0, 0, message, 0, ALWAYS_VALID, 0);
  }
}
