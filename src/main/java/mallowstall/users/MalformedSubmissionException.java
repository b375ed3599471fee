package mallowstall.users;

/** A submission that can't be accepted; the message names the field and is sent to the user. */
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

  /** The same, for a submission whose job could be read. */
  MalformedSubmissionException about(String job) {
    return new MalformedSubmissionException(getMessage(), job);
  }

  /** The job of the submission; null if it couldn't be read. */
  String job() {
    return job;
  }
}
