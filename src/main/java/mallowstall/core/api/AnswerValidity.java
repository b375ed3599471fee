package mallowstall.core.api;

/**
 * Time limits of responses to users, in milliseconds of this controller's steady clock. Final
 * states and 503 responses remain valid forever. An open state or a 400, 404 or 422 response may
 * become wrong when another controller ends or accepts the job.
 */
final class AnswerValidity {
  /**
   * Maximum time in milliseconds from the arrival of a request until an open state or a 400, 404 or
   * 422 response is sent. It is longer than the state service occasionally takes, and than peers
   * take to reply.
   */
  static final long VALID_MS = 1_000;

  /**
   * Margin in milliseconds for the drift between two clocks and for the transmission of a response.
   */
  static final long MARGIN_MS = 50;

  /**
   * Maximum time in milliseconds that a user waits for the response to a request (protocol, Users).
   */
  static final long USER_TIMEOUT_MS = 5_000;

  private AnswerValidity() {}
}
