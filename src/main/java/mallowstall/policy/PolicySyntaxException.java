package mallowstall.policy;

/**
 * Ends the reading of a class, a block or an expression at the token that can't be accepted. The
 * parser records the diagnostic and goes on at the next place where reading makes sense.
 */
final class PolicySyntaxException extends Exception {
  private static final long serialVersionUID = 1;

  private final transient PolicyDiagnostic diagnostic;

  /** An error at this token; the message says what was expected. */
  PolicySyntaxException(Token token, String message) {
    // control flow within the parser: neither cause, suppressed exceptions nor stack trace are used
    super(message, null, false, false);
    this.diagnostic = token.error(message);
  }

  /** The error with its line and column. */
  PolicyDiagnostic diagnostic() {
    return diagnostic;
  }
}
