package mallowstall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Files under {@code golden}: bytes as they were written once, which must never change. */
public final class Fixtures {
  private Fixtures() {}

  /** The bytes of the file. */
  public static byte[] bytes(String file) throws IOException {
    try (InputStream in = Fixtures.class.getResourceAsStream("/golden/" + file)) {
      assertNotNull(in, "no fixture " + file);
      return in.readAllBytes();
    }
  }

  /** The text of the file without the line end behind it. */
  public static String text(String file) throws IOException {
    return new String(bytes(file), StandardCharsets.UTF_8).stripTrailing();
  }

  /** What is written now must equal the file; it is left under target/golden to be compared. */
  public static void assertSame(String file, String written) throws IOException {
    Path left = Path.of("target", "golden", file);
    Files.createDirectories(left.getParent());
    Files.writeString(left, written + "\n");
    assertEquals(text(file), written, file);
  }
}
