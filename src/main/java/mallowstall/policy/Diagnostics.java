package mallowstall.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the errors and warnings that the lexer and the parser find in one policy file. Not
 * thread-safe.
 */
final class Diagnostics {
  private final List<PolicyDiagnostic> found = new ArrayList<>();

  /** Records an error or a warning. */
  void add(PolicyDiagnostic diagnostic) {
    found.add(diagnostic);
  }

  /**
   * Returns all diagnostics ordered by line and column. Diagnostics at one position keep the order
   * in which they were added.
   */
  List<PolicyDiagnostic> inTextOrder() {
    found.sort((a, b) -> a.line() != b.line() ? a.line() - b.line() : a.column() - b.column());
    return List.copyOf(found);
  }
}
