package mallowstall.policy;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import mallowstall.core.Policy;

/**
 * The operators' policies by class of jobs; classes without one of their own use {@code default}.
 */
public final class Policies implements Policy.Book {
  private static final String BUNDLED = "/mallowstall/default.policy";

  private final Map<String, Policy> classes;
  private final List<Fault> faults;

  private Policies(Map<String, Policy> classes, List<Fault> faults) {
    this.classes = classes;
    this.faults = faults;
  }

  /** Compiles the text of a policy file. */
  public static Policies of(String text) {
    List<Fault> faults = new ArrayList<>();
    Map<String, Policy> classes = Parser.parse(text, faults);
    faults.sort((a, b) -> a.line() != b.line() ? a.line() - b.line() : a.column() - b.column());
    return new Policies(classes, faults);
  }

  /** Compiles a policy file. */
  public static Policies load(Path file) throws IOException {
    return of(Files.readString(file));
  }

  /** The policies that come with the service. */
  public static Policies bundled() {
    try (InputStream in = Policies.class.getResourceAsStream(BUNDLED)) {
      return of(new String(in.readAllBytes(), StandardCharsets.UTF_8));
    } catch (IOException failure) {
      throw new IllegalStateException(failure);
    }
  }

  /** All faults and warnings, in the order of the text. */
  public List<Fault> faults() {
    return faults;
  }

  /** Whether the policies have no fault that forbids serving. */
  public boolean usable() {
    return faults.stream().noneMatch(Fault::error);
  }

  @Override
  public Policy forClass(String jobClass) {
    return classes.getOrDefault(jobClass, classes.get("default"));
  }
}
