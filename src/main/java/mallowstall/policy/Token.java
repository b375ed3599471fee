package mallowstall.policy;

import mallowstall.policy.PolicyDiagnostic.Severity;

/**
 * A token of a policy file and where it stands.
 *
 * @param kind what sort of token it is
 * @param text its characters, without the quotes of a text
 * @param value its number, of a number
 * @param unit the letters behind the number, or empty
 * @param line line of its first character, counted from 1
 * @param column column of its first character, counted from 1
 */
record Token(Kind kind, String text, double value, String unit, int line, int column) {
  /** Kinds of tokens. */
  enum Kind {
    NAME,
    NUMBER,
    TEXT,
    SIGN,
    END
  }

  /** Whether this is the given keyword or sign. */
  boolean is(String word) {
    return (kind == Kind.NAME || kind == Kind.SIGN) && text.equals(word);
  }

  /** Whether this is one of the comparison operators. */
  boolean isComparison() {
    return is("<") || is("<=") || is(">") || is(">=") || is("==") || is("!=");
  }

  /** Whether this ends the file. */
  boolean isEnd() {
    return kind == Kind.END;
  }

  /** An error at this token. */
  PolicyDiagnostic error(String message) {
    return new PolicyDiagnostic(line, column, Severity.ERROR, message);
  }

  /** A warning at this token. */
  PolicyDiagnostic warning(String message) {
    return new PolicyDiagnostic(line, column, Severity.WARNING, message);
  }

  /** The token as messages name it. */
  @Override
  public String toString() {
    return kind == Kind.END ? "the end of the file" : "'" + text + "'";
  }
}
