package mallowstall.json;

import java.io.IOException;

/** A JSON value of another type than expected, or out of its range. */
public final class WrongTypeException extends IOException {
  private static final long serialVersionUID = 1;

  private final String path;

  WrongTypeException(String path, String expected, String found) {
    super(
        (path.isEmpty() ? "the document" : path)
            + " has the wrong type or is out of range: expected "
            + expected
            + ", found "
            + found);
    this.path = path;
  }

  /** Where the value stands, like {@code known[0].addr}; empty: the document itself. */
  public String path() {
    return path;
  }

  /** The field of the outermost object in which the value stands; empty: the document itself. */
  public String outermostField() {
    int end = 0;
    while (end < path.length() && path.charAt(end) != '.' && path.charAt(end) != '[') {
      end++;
    }
    return path.substring(0, end);
  }
}
