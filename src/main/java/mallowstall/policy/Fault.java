package mallowstall.policy;

/** Something found in a policy file; warnings don't stop it from being used. */
public record Fault(int line, int column, boolean error, String message) {
  /** As compilers print it. */
  public String at(String file) {
    return file + ":" + line + ":" + column + ": " + (error ? "" : "warning: ") + message;
  }
}
