package mallowstall.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import mallowstall.policy.Policies;
import mallowstall.policy.PolicyDiagnostic;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Checks a policy file. The exit code is 0 only if the policies can be used. */
@Command(
    name = "check",
    description = "Check a policy file: every fault with file, line and column.",
    mixinStandardHelpOptions = true)
final class CheckCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "The policy file.")
  private Path file;

  @Override
  public Integer call() {
    Policies policies;
    try {
      policies = Policies.load(file);
    } catch (IOException failure) {
      System.err.println("mallowstall: " + file + " can't be read");
      return 1;
    }
    printDiagnostics(policies, file);
    if (!policies.isUsable()) {
      return 1;
    }
    System.out.println(file + ": ok");
    return 0;
  }

  /** Prints each error and warning of a policy file as one line to standard error. */
  static void printDiagnostics(Policies policies, Path file) {
    for (PolicyDiagnostic diagnostic : policies.diagnostics()) {
      System.err.println(diagnostic.format(file.toString()));
    }
  }
}
