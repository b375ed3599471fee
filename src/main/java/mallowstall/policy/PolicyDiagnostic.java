package mallowstall.policy;

/**
 * An error or a warning that the policy checker reports.
 *
 * @param line line in the file, counted from 1
 * @param column character in the line, counted from 1
 * @param severity whether the policies can still be used
 * @param message what is wrong, or what was expected
 */
public record PolicyDiagnostic(int line, int column, Severity severity, String message) {
  /** Whether a diagnostic prevents the use of the policies. */
  public enum Severity {
    /** The policies can't be used. */
    ERROR,
    /** The policies can be used, but probably don't do what their author intended. */
    WARNING
  }

  /** Returns whether this diagnostic prevents the use of the policies. */
  public boolean isError() {
    return severity == Severity.ERROR;
  }

  /**
   * Returns the diagnostic as one line in the form that compilers use: {@code file:line:column:
   * [warning: ]message}.
   */
  public String format(String file) {
    return file + ":" + line + ":" + column + ": " + (isError() ? "" : "warning: ") + message;
  }
}
