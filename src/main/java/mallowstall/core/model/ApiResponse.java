package mallowstall.core.model;

/** Answer to a user: a status and either a state or a message. */
public record ApiResponse(
    int status,
    String id,
    String state,
    int completedTaskCount,
    int runningTaskCount,
    String message,
    int retryAfterS) {
  /** The state of a job. */
  public static ApiResponse state(
      int status, String id, String state, int completedTaskCount, int runningTaskCount) {
    return new ApiResponse(status, id, state, completedTaskCount, runningTaskCount, null, 0);
  }

  /** An error that a repetition doesn't change. */
  public static ApiResponse error(int status, String message) {
    return new ApiResponse(status, null, null, 0, 0, message, 0);
  }

  /** 503: the user should come again after so many seconds. */
  public static ApiResponse unavailable(String message, int retryAfterS) {
    return new ApiResponse(503, null, null, 0, 0, message, retryAfterS);
  }
}
