package mallowstall.policy;

import java.util.ArrayList;
import java.util.List;

/** Collects what lexer and parser find in one policy file. Not thread-safe. */
final class Diagnostics {
  private final List<PolicyDiagnostic> found = new ArrayList<>();

  /** Records an error or a warning. */
  void add(PolicyDiagnostic diagnostic) {
    found.add(diagnostic);
  }

  /** All diagnostics by line and column; those of one place in the order in which they came. */
  List<PolicyDiagnostic> inTextOrder() {
    found.sort((a, b) -> a.line() != b.line() ? a.line() - b.line() : a.column() - b.column());
    return List.copyOf(found);
  }
}
