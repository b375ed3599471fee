package mallowstall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Access to the files under {@code golden}, which hold recorded bytes that must never change. */
public final class Fixtures {
  private Fixtures() {}

  /** Returns the bytes of the file; fails if the file does not exist. */
  public static byte[] bytes(String file) throws IOException {
    try (InputStream in = Fixtures.class.getResourceAsStream("/golden/" + file)) {
      assertNotNull(in, "no fixture " + file);
      return in.readAllBytes();
    }
  }

  /** Returns the text of the file without trailing whitespace. */
  public static String text(String file) throws IOException {
    return new String(bytes(file), StandardCharsets.UTF_8).stripTrailing();
  }

  /** Asserts that the text equals the file, and stores it under target/golden for comparison. */
  public static void assertMatchesFixture(String file, String actual) throws IOException {
    Path copy = Path.of("target", "golden", file);
    Files.createDirectories(copy.getParent());
    Files.writeString(copy, actual + "\n");
    assertEquals(text(file), actual, file);
  }
}
