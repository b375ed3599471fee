package mallowstall.core.api;

/** Time limits of observations of running tasks, in milliseconds. */
final class RunStateTimes {
  /**
   * Maximum age of an observation when the response that rests on it leaves. The state in a
   * response may lag by up to 3 s (protocol, GET /submissions/{id}); the rest is for the drift of
   * clocks and the transmission of the response.
   */
  static final long RESPONSE_AGE_MAX_MS = 2_900;

  /** Maximum age of an observation when it is made for a user who waits. */
  static final long OBSERVATION_AGE_MAX_MS = 2_500;

  /** Time after which a question that a controller hasn't answered counts as unanswered. */
  static final long ANSWER_TIMEOUT_MS = 900;

  private RunStateTimes() {}
}
