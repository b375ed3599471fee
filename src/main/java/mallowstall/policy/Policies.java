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
 * The operators' policies by class of jobs; classes without one of their own use {@code default}.
 * Immutable, so safe for any thread.
 */
public final class Policies implements Policy.PolicyRegistry {
  /** Class whose policy applies to all classes without one of their own. */
  static final String DEFAULT_CLASS = "default";

  private static final String BUNDLED = "/mallowstall/default.policy";

  private final Map<String, Policy> policies;
  private final List<PolicyDiagnostic> diagnostics;

  private Policies(Map<String, Policy> policies, List<PolicyDiagnostic> diagnostics) {
    this.policies = policies;
    this.diagnostics = diagnostics;
  }

  /**
   * Compiles the text of a policy file. Errors in it aren't thrown but listed by {@link
   * #diagnostics()}; policies with errors mustn't be used.
   */
  public static Policies of(String text) {
    Diagnostics diagnostics = new Diagnostics();
    Map<String, Policy> policies = PolicyParser.parse(text, diagnostics);
    return new Policies(policies, diagnostics.inTextOrder());
  }

  /**
   * Compiles a policy file in UTF-8, as {@link #of} does.
   *
   * @throws IOException if it can't be read
   */
  public static Policies load(Path file) throws IOException {
    return of(Files.readString(file));
  }

  /** The policies that come with the service. */
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

  /** All errors and warnings, in the order of the text. */
  public List<PolicyDiagnostic> diagnostics() {
    return diagnostics;
  }

  /** Whether there is no error, so that the policies can be used. */
  public boolean isUsable() {
    for (PolicyDiagnostic diagnostic : diagnostics) {
      if (diagnostic.isError()) {
        return false;
      }
    }
    return true;
  }

  /** The policy of a class of jobs; never null if the policies are usable. */
  @Override
  public Policy forJobClass(String jobClass) {
    return policies.getOrDefault(jobClass, policies.get(DEFAULT_CLASS));
  }
}
