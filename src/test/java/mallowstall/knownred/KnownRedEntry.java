package mallowstall.knownred;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of KNOWN-RED.txt: a test that fails because of a fault that is not fixed yet.
 *
 * @param test class and method, as {@code Class#method}; {@code bench} for a day of the bench
 * @param command command that reproduces the fault
 * @param seed seeds with which the test fails; {@code -} if the test fails in every build
 * @param seen observed failure
 * @param cause cause of the fault, or the causes that were ruled out
 * @param issue number of the open issue
 */
record KnownRedEntry(
    String test, String command, String seed, String seen, String cause, int issue) {
  static final String NO_SEED = "-";
  static final String BENCH = "bench";
  private static final int FIELDS = 6;
  private static final Pattern TEST = Pattern.compile("[A-Z]\\w*#\\w+|" + BENCH);
  private static final Pattern SEED = Pattern.compile("-|\\d+(, ?\\d+)*");
  private static final Pattern ISSUE = Pattern.compile("issue (\\d+)");

  private static final String EXPECTED =
      "expected 'Class#method | command | seeds or - | seen | cause | issue N'";

  /** Parses one line; throws an exception with a one-line message if the line is malformed. */
  static KnownRedEntry parse(String line) {
    String[] fields = line.split(" \\| ", -1);
    if (fields.length != FIELDS) {
      throw malformed(line, fields.length + " fields");
    }
    for (String field : fields) {
      if (field.isBlank()) {
        throw malformed(line, "an empty field");
      }
    }
    Matcher issue = ISSUE.matcher(fields[5].trim());
    if (!TEST.matcher(fields[0].trim()).matches()
        || !SEED.matcher(fields[2].trim()).matches()
        || !issue.matches()) {
      throw malformed(line, "a test, a seed or an issue of another form");
    }
    return new KnownRedEntry(
        fields[0].trim(),
        fields[1].trim(),
        fields[2].trim(),
        fields[3].trim(),
        fields[4].trim(),
        Integer.parseInt(issue.group(1)));
  }

  private static IllegalArgumentException malformed(String line, String what) {
    return new IllegalArgumentException(
        "KNOWN-RED.txt: " + EXPECTED + ", found " + what + ": " + line);
  }

  /** Returns whether every build runs the test as listed, and so must ignore its failure. */
  boolean runsInEveryBuild() {
    return seed.equals(NO_SEED) && !test.equals(BENCH);
  }
}
