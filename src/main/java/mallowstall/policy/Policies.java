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

  public static Policies of(String text) {
    List<Fault> faults = new ArrayList<>();
    Map<String, Policy> classes = Parser.parse(text, faults);
    faults.sort((a, b) -> a.line() != b.line() ? a.line() - b.line() : a.column() - b.column());
    return new Policies(classes, faults);
  }

  public static Policies load(Path file) throws IOException {
    return of(Files.readString(file));
  }

  public static Policies bundled() {
    try (InputStream in = Policies.class.getResourceAsStream(BUNDLED)) {
      return of(new String(in.readAllBytes(), StandardCharsets.UTF_8));
    } catch (IOException failure) {
      throw new IllegalStateException(failure);
    }
  }

  public List<Fault> faults() {
    return faults;
  }

  public boolean usable() {
    return faults.stream().noneMatch(Fault::error);
  }

  @Override
  public Policy forClass(String jobClass) {
    return classes.getOrDefault(jobClass, classes.get("default"));
  }
}
