package mallowstall.users;

/**
 * Thrown when a submission is malformed. The message names the wrong field, where there is one, and
 * is sent to the user.
 */
final class MalformedSubmissionException extends Exception {
  private static final long serialVersionUID = 1;

  private final String job;

  MalformedSubmissionException(String message) {
    this(message, null);
  }

  private MalformedSubmissionException(String message, String job) {
    super(message);
    this.job = job;
  }

  /** Returns an exception with the message of this one and the id of the submitted job. */
  MalformedSubmissionException withJob(String job) {
    return new MalformedSubmissionException(getMessage(), job);
  }

  /** Returns the id of the submitted job, or null if the body holds no valid job id. */
  String job() {
    return job;
  }
}
