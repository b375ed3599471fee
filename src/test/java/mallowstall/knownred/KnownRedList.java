package mallowstall.knownred;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads the entries of KNOWN-RED.txt at the root of the repository. */
final class KnownRedList {
  private static final Path FILE = Path.of("KNOWN-RED.txt");

  private KnownRedList() {}

  /** Reads the file, which must exist and may be empty. */
  static List<KnownRedEntry> read() throws IOException {
    return parse(Files.readString(FILE));
  }

  static List<KnownRedEntry> parse(String text) {
    return text.lines().filter(line -> !line.isBlank()).map(KnownRedEntry::parse).toList();
  }
}
