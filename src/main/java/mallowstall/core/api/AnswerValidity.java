package mallowstall.core.api;

/**
 * For how long what a user is answered stays true, in ms of this controller's steady clock. Final
 * states and 503 stay true for good; an open state and a refusal rest on what others may change.
 */
final class AnswerValidity {
  /**
   * ms. An open state or a refusal leaves at most this long after its request came. Longer than the
   * state service takes now and then, and than peers take to reply.
   */
  static final long VALID_MS = 1_000;

  /** ms. Margin for the drift of two clocks, and for an answer's way to its user. */
  static final long MARGIN_MS = 50;

  /** ms. No user waits longer for an answer, counted from the request (protocol, Users). */
  static final long USER_TIMEOUT_MS = 5_000;

  private AnswerValidity() {}
}
