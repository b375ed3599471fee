package mallowstall.json;

import java.io.IOException;

/** Thrown if a JSON value has the wrong type or is out of range. */
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

  /** Returns the path of the value, like {@code known[0].addr}; empty for the document itself. */
  public String path() {
    return path;
  }

  /**
   * Returns the field of the outermost object that contains the value, or an empty string if the
   * path begins with no field name.
   */
  public String outermostField() {
    int end = 0;
    while (end < path.length() && path.charAt(end) != '.' && path.charAt(end) != '[') {
      end++;
    }
    return path.substring(0, end);
  }
}
