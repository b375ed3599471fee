package mallowstall.policy;

import java.util.ArrayList;
import java.util.List;

/** Splits a policy file into tokens with their places. */
final class Lexer {
  /** Kinds of tokens. */
  enum Kind {
    NAME,
    NUMBER,
    TEXT,
    SIGN,
    END
  }

  /** A token and where it stands. */
  record Token(Kind kind, String text, double value, String unit, int line, int column) {
    boolean is(String s) {
      return (kind == Kind.NAME || kind == Kind.SIGN) && text.equals(s);
    }

    @Override
    public String toString() {
      return kind == Kind.END ? "the end of the file" : "'" + text + "'";
    }
  }

  private Lexer() {}

  static List<Token> split(String s, List<Fault> faults) {
    List<Token> out = new ArrayList<>();
    int line = 1;
    int start = 0;
    int i = 0;
    while (i < s.length()) {
      char c = s.charAt(i);
      int column = i - start + 1;
      if (c == '\n') {
        line++;
        start = ++i;
      } else if (Character.isWhitespace(c)) {
        i++;
      } else if (c == '#') {
        while (i < s.length() && s.charAt(i) != '\n') {
          i++;
        }
      } else if (c >= '0' && c <= '9') {
        int from = i;
        while (i < s.length() && (Character.isDigit(s.charAt(i)) || s.charAt(i) == '.')) {
          i++;
        }
        String digits = s.substring(from, i);
        int unit = i;
        while (i < s.length() && Character.isLetter(s.charAt(i))) {
          i++;
        }
        double v = 0;
        try {
          v = Double.parseDouble(digits);
        } catch (NumberFormatException e) {
          faults.add(new Fault(line, column, true, digits + " is not a number"));
        }
        out.add(
            new Token(Kind.NUMBER, s.substring(from, i), v, s.substring(unit, i), line, column));
      } else if (c == '"') {
        int from = ++i;
        while (i < s.length() && s.charAt(i) != '"' && s.charAt(i) != '\n') {
          i++;
        }
        if (i >= s.length() || s.charAt(i) != '"') {
          faults.add(new Fault(line, column, true, "this text has no closing quote"));
        }
        out.add(new Token(Kind.TEXT, s.substring(from, i), 0, "", line, column));
        if (i < s.length() && s.charAt(i) == '"') {
          i++;
        }
      } else if (Character.isLetter(c) || c == '_') {
        int from = i;
        while (i < s.length()
            && (Character.isLetterOrDigit(s.charAt(i)) || "._-".indexOf(s.charAt(i)) >= 0)) {
          i++;
        }
        out.add(new Token(Kind.NAME, s.substring(from, i), 0, "", line, column));
      } else {
        String two = i + 1 < s.length() ? s.substring(i, i + 2) : "";
        String sign =
            two.equals("<=") || two.equals(">=") || two.equals("==") || two.equals("!=")
                ? two
                : "" + c;
        if ("{}():,<>=!+-*/".indexOf(c) < 0 || sign.equals("=") || sign.equals("!")) {
          faults.add(new Fault(line, column, true, "'" + sign + "' means nothing here"));
        } else {
          out.add(new Token(Kind.SIGN, sign, 0, "", line, column));
        }
        i += sign.length();
      }
    }
    out.add(new Token(Kind.END, "", 0, "", line, i - start + 1));
    return out;
  }
}
