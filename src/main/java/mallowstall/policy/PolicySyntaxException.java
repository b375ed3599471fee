package mallowstall.policy;

/**
 * Thrown at a token with a syntax error or a type error. The exception ends the parsing of the
 * current class, block or expression. The parser records the diagnostic and continues behind the
 * faulty block or at the next class.
 */
final class PolicySyntaxException extends Exception {
  private static final long serialVersionUID = 1;

  private final transient PolicyDiagnostic diagnostic;

  /** Creates an error at the given token. The message states what is wrong or was expected. */
  PolicySyntaxException(Token token, String message) {
    // The parser uses this exception for control flow only, so that it needs neither a cause, nor
    // suppressed exceptions, nor a stack trace.
    super(message, null, false, false);
    this.diagnostic = token.error(message);
  }

  /** Returns the error with its line and column. */
  PolicyDiagnostic diagnostic() {
    return diagnostic;
  }
}
