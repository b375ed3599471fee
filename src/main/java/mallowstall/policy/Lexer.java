package mallowstall.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.IntPredicate;

/** Splits a policy file into tokens with their places. */
final class Lexer {
  private static final String SIGNS = "{}():,<>=!+-*/";
  private static final Set<String> TWO_CHARACTER_SIGNS = Set.of("<=", ">=", "==", "!=");

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

  private final String text;
  private final List<Fault> faults;
  private final List<Token> tokens = new ArrayList<>();
  private int position;
  private int line = 1;
  private int lineStart;

  private Lexer(String text, List<Fault> faults) {
    this.text = text;
    this.faults = faults;
  }

  /** The tokens of the text, with one for its end; what is none becomes a fault. */
  static List<Token> split(String text, List<Fault> faults) {
    Lexer lexer = new Lexer(text, faults);
    while (lexer.position < text.length()) {
      lexer.next();
    }
    lexer.add(Kind.END, "", lexer.column());
    return lexer.tokens;
  }

  private int column() {
    return position - lineStart + 1;
  }

  private void add(Kind kind, String found, int column) {
    tokens.add(new Token(kind, found, 0, "", line, column));
  }

  private void fault(int column, String message) {
    faults.add(new Fault(line, column, true, message));
  }

  private void next() {
    char first = text.charAt(position);
    if (first == '\n') {
      line++;
      position++;
      lineStart = position;
    } else if (Character.isWhitespace(first)) {
      position++;
    } else if (first == '#') {
      skip(c -> c != '\n');
    } else if (first >= '0' && first <= '9') {
      number();
    } else if (first == '"') {
      quoted();
    } else if (Character.isLetter(first) || first == '_') {
      int column = column();
      add(Kind.NAME, skip(c -> Character.isLetterOrDigit(c) || "._-".indexOf(c) >= 0), column);
    } else {
      sign();
    }
  }

  /** Goes on while the characters are such; returns what lies between. */
  private String skip(IntPredicate such) {
    int from = position;
    while (position < text.length() && such.test(text.charAt(position))) {
      position++;
    }
    return text.substring(from, position);
  }

  private void number() {
    int column = column();
    String digits = skip(c -> Character.isDigit(c) || c == '.');
    String unit = skip(Character::isLetter);
    double value = 0;
    try {
      value = Double.parseDouble(digits);
    } catch (NumberFormatException notANumber) {
      fault(column, digits + " is not a number");
    }
    tokens.add(new Token(Kind.NUMBER, digits + unit, value, unit, line, column));
  }

  private void quoted() {
    int column = column();
    position++;
    String inside = skip(c -> c != '"' && c != '\n');
    boolean closed = position < text.length() && text.charAt(position) == '"';
    if (closed) {
      position++;
    } else {
      fault(column, "this text has no closing quote");
    }
    add(Kind.TEXT, inside, column);
  }

  private void sign() {
    int column = column();
    String two = text.substring(position, Math.min(text.length(), position + 2));
    String sign = TWO_CHARACTER_SIGNS.contains(two) ? two : two.substring(0, 1);
    position += sign.length();
    if (SIGNS.indexOf(sign.charAt(0)) < 0 || sign.equals("=") || sign.equals("!")) {
      fault(column, "'" + sign + "' means nothing here");
    } else {
      add(Kind.SIGN, sign, column);
    }
  }
}
