package mallowstall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that each type named on the architecture page is a Java type or a peer message. */
class DocumentedTypesTest {
  private static final Path PAGE = Path.of("docs/architecture.md");
  private static final Path SOURCES = Path.of("src/main");

  /** A type name of at least two words in code quotes, optionally followed by a member. */
  private static final Pattern NAMED_TYPE = Pattern.compile("`([A-Z][a-z]+(?:[A-Z][a-z]+)+)[`.]");

  private static final Pattern DECLARED_TYPE =
      Pattern.compile("\\b(?:class|record|interface|enum) ([A-Z]\\w*)");
  private static final Pattern MESSAGE = Pattern.compile("\"name\"\\s*:\\s*\"([A-Z]\\w*)\"");

  private static Set<String> matches(Pattern pattern, String text) {
    Set<String> names = new TreeSet<>();
    Matcher matcher = pattern.matcher(text);
    while (matcher.find()) {
      names.add(matcher.group(1));
    }
    return names;
  }

  private static String contents(String ending) throws IOException {
    try (Stream<Path> files = Files.walk(SOURCES)) {
      StringBuilder all = new StringBuilder();
      for (Path file :
          files.filter(path -> path.toString().endsWith(ending)).collect(Collectors.toList())) {
        all.append(Files.readString(file));
      }
      return all.toString();
    }
  }

  @Test
  void typesNamedInTheArchitecturePageExist() throws IOException {
    Set<String> named = matches(NAMED_TYPE, Files.readString(PAGE));
    assertTrue(named.size() > 100, "types found on the page: " + named.size());
    Set<String> unknown = new TreeSet<>(named);
    unknown.removeAll(matches(DECLARED_TYPE, contents(".java")));
    unknown.removeAll(matches(MESSAGE, contents(".avsc")));
    assertEquals(Set.of(), unknown, "named in " + PAGE + ", declared nowhere");
  }
}
