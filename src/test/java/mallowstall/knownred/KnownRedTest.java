package mallowstall.knownred;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.lang.reflect.Method;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.InvocationInterceptor.Invocation;
import org.opentest4j.TestAbortedException;

/**
 * Checks that KNOWN-RED.txt is well-formed and names existing tests, and that no failure of an
 * unlisted test is ignored.
 */
class KnownRedTest {
  private static final Path TEST_SOURCES = Path.of("src/test/java");
  private static final String LINE =
      "KnownRedTest#listIsPrinted | mvn test | - | it fails | not known | issue 7";

  @Test
  void listIsPrinted() throws IOException {
    List<KnownRedEntry> entries = KnownRedList.read();
    if (entries.isEmpty()) {
      System.out.println("nothing is known red");
    }
    for (KnownRedEntry entry : entries) {
      System.out.println("known red: " + entry);
      assertTrue(
          entry.test().equals(KnownRedEntry.BENCH) || exists(entry.test()),
          "KNOWN-RED.txt names no test: " + entry.test());
    }
  }

  private static boolean exists(String test) throws IOException {
    String[] classAndMethod = test.split("#");
    try (Stream<Path> files = Files.walk(TEST_SOURCES)) {
      return files
          .filter(file -> file.endsWith(classAndMethod[0] + ".java"))
          .anyMatch(file -> declares(file, classAndMethod[1]));
    }
  }

  private static boolean declares(Path file, String method) {
    try {
      return Files.readString(file).contains("void " + method + "(");
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  @Test
  void malformedEntriesAreReportedInOneLine() {
    assertEquals(1, KnownRedList.parse(LINE + "\n\n").size());
    assertEquals(List.of(), KnownRedList.parse("\n"));
    for (String malformed :
        List.of(
            "KnownRedTest#x: an old line; issue 7",
            LINE.replace("issue 7", "soon"),
            LINE.replace("| - |", "| some |"),
            LINE.replace("it fails", " "),
            LINE.replace("KnownRedTest#", "KnownRedTest."))) {
      IllegalArgumentException error =
          assertThrows(IllegalArgumentException.class, () -> KnownRedList.parse(malformed));
      assertTrue(error.getMessage().startsWith("KNOWN-RED.txt: expected"), error.getMessage());
      assertEquals(1, error.getMessage().lines().count());
    }
  }

  @Test
  void testsThatDoNotExistAreFound() throws IOException {
    assertTrue(exists("KnownRedTest#listIsPrinted"));
    assertFalse(exists("KnownRedTest#noSuchMethod"));
    assertFalse(exists("NoSuchTest#listIsPrinted"));
  }

  /** Runs a test with this line as the list. Returns what the extension prints. */
  private static String run(String line, Invocation<Void> test) throws Throwable {
    ByteArrayOutputStream printed = new ByteArrayOutputStream();
    Method method = KnownRedTest.class.getDeclaredMethod("listIsPrinted");
    PrintStream out = new PrintStream(printed, true, StandardCharsets.UTF_8);
    new KnownRedExtension(KnownRedList.parse(line), out).run(test, method);
    return printed.toString(StandardCharsets.UTF_8);
  }

  private static void runFailing(String line) throws Throwable {
    run(
        line,
        () -> {
          throw new IllegalStateException("the fault");
        });
  }

  @Test
  void listedTestThatPassesIsReported() throws Throwable {
    assertEquals(
        "known red, but passes: KnownRedTest#listIsPrinted" + System.lineSeparator(),
        run(LINE, () -> null));
    assertEquals("", run("", () -> null));
  }

  @Test
  void onlyFailuresOfTestsListedForEveryBuildAreIgnored() {
    assertThrows(TestAbortedException.class, () -> runFailing(LINE));
    assertThrows(IllegalStateException.class, () -> runFailing(""));
    String another = LINE.replace("listIsPrinted", "testsThatDoNotExistAreFound");
    assertThrows(IllegalStateException.class, () -> runFailing(another));
    String withSeeds = LINE.replace("| - |", "| 20008, 7 |");
    assertThrows(IllegalStateException.class, () -> runFailing(withSeeds));
  }
}
