package mallowstall.policy;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import mallowstall.core.placement.Policy;

/**
 * The operators' policies by class of jobs. A class without a policy of its own uses the policy of
 * the class {@code default}. Instances are immutable and can be used by any thread.
 */
public final class Policies implements Policy.PolicyRegistry {
  /** The class whose policy applies to all classes without a policy of their own. */
  static final String DEFAULT_CLASS = "default";

  private static final String BUNDLED = "/mallowstall/default.policy";

  private final Map<String, Policy> policies;
  private final List<PolicyDiagnostic> diagnostics;

  private Policies(Map<String, Policy> policies, List<PolicyDiagnostic> diagnostics) {
    this.policies = policies;
    this.diagnostics = diagnostics;
  }

  /**
   * Compiles the text of a policy file. Errors in the text aren't thrown but listed by {@link
   * #diagnostics()}. Policies with errors must not be used.
   */
  public static Policies of(String text) {
    Diagnostics diagnostics = new Diagnostics();
    Map<String, Policy> policies = PolicyParser.parse(text, diagnostics);
    return new Policies(policies, diagnostics.inTextOrder());
  }

  /**
   * Compiles a policy file in UTF-8. Errors in its text are listed as described at {@link #of}.
   *
   * @throws IOException if the file can't be read
   */
  public static Policies load(Path file) throws IOException {
    return of(Files.readString(file));
  }

  /** Returns the policies that are bundled with the service. */
  public static Policies bundled() {
    try (InputStream in = Policies.class.getResourceAsStream(BUNDLED)) {
      if (in == null) {
        throw new IllegalStateException("the resource " + BUNDLED + " is missing");
      }
      return of(new String(in.readAllBytes(), StandardCharsets.UTF_8));
    } catch (IOException failure) {
      throw new UncheckedIOException("the resource " + BUNDLED + " can't be read", failure);
    }
  }

  /** Returns all errors and warnings, ordered by their position in the text. */
  public List<PolicyDiagnostic> diagnostics() {
    return diagnostics;
  }

  /** Returns whether the text has no error, so that the policies can be used. */
  public boolean isUsable() {
    for (PolicyDiagnostic diagnostic : diagnostics) {
      if (diagnostic.isError()) {
        return false;
      }
    }
    return true;
  }

  /** Returns the policy of a class of jobs. It is never null if the policies are usable. */
  @Override
  public Policy forJobClass(String jobClass) {
    return policies.getOrDefault(jobClass, policies.get(DEFAULT_CLASS));
  }
}
