package mallowstall.policy;

/**
 * An error or a warning of the policy checker.
 *
 * @param line line of the text, counted from 1
 * @param column character of the line, counted from 1
 * @param severity whether the file can still be used
 * @param message what was expected or is wrong
 */
public record PolicyDiagnostic(int line, int column, Severity severity, String message) {
  /** How grave a diagnostic is. */
  public enum Severity {
    /** The policies can't be used. */
    ERROR,
    /** The policies can be used, but probably don't do what was meant. */
    WARNING
  }

  /** Whether this forbids the use of the policies. */
  public boolean isError() {
    return severity == Severity.ERROR;
  }

  /** One line in the form of compilers: {@code file:line:column: [warning: ]message}. */
  public String format(String file) {
    return file + ":" + line + ":" + column + ": " + (isError() ? "" : "warning: ") + message;
  }
}
