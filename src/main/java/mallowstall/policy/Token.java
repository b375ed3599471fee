package mallowstall.policy;

import mallowstall.policy.PolicyDiagnostic.Severity;

/**
 * A token of a policy file and its position.
 *
 * @param kind kind of the token
 * @param text characters of the token, without the quotes of a text
 * @param value numeric value of a number, or 0 for other kinds
 * @param unit letters that follow a number, or empty
 * @param line line of the first character, counted from 1
 * @param column column of the first character, counted from 1
 */
record Token(Kind kind, String text, double value, String unit, int line, int column) {
  /** Kinds of tokens. Operators and punctuation are of kind {@link #SIGN}. */
  enum Kind {
    NAME,
    NUMBER,
    TEXT,
    SIGN,
    END
  }

  /** Returns whether this token is the given keyword, operator or punctuation. */
  boolean is(String word) {
    return (kind == Kind.NAME || kind == Kind.SIGN) && text.equals(word);
  }

  /** Returns whether this token is a comparison operator. */
  boolean isComparison() {
    return is("<") || is("<=") || is(">") || is(">=") || is("==") || is("!=");
  }

  /** Returns whether this token marks the end of the file. */
  boolean isEnd() {
    return kind == Kind.END;
  }

  /** Returns an error at the position of this token. */
  PolicyDiagnostic error(String message) {
    return new PolicyDiagnostic(line, column, Severity.ERROR, message);
  }

  /** Returns a warning at the position of this token. */
  PolicyDiagnostic warning(String message) {
    return new PolicyDiagnostic(line, column, Severity.WARNING, message);
  }

  /** Returns the token in the form in which diagnostics name it. */
  @Override
  public String toString() {
    return kind == Kind.END ? "the end of the file" : "'" + text + "'";
  }
}
