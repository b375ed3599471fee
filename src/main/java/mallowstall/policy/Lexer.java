package mallowstall.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.IntPredicate;
import mallowstall.policy.PolicyDiagnostic.Severity;
import mallowstall.policy.Token.Kind;

/** Splits the text of a policy file into tokens. The lexer skips comments and white space. */
final class Lexer {
  private static final String SIGNS = "{}():,<>=!+-*/";
  private static final Set<String> TWO_CHARACTER_SIGNS = Set.of("<=", ">=", "==", "!=");

  private final String text;
  private final Diagnostics diagnostics;
  private final List<Token> tokens = new ArrayList<>();
  private int position;
  private int line = 1;
  private int lineStart;

  private Lexer(String text, Diagnostics diagnostics) {
    this.text = text;
    this.diagnostics = diagnostics;
  }

  /**
   * Returns the tokens of the text, followed by one token for its end. Characters that form no
   * token are added to {@code diagnostics} as errors.
   */
  static List<Token> split(String text, Diagnostics diagnostics) {
    Lexer lexer = new Lexer(text, diagnostics);
    while (lexer.position < text.length()) {
      lexer.next();
    }
    lexer.add(Kind.END, "", lexer.column());
    return lexer.tokens;
  }

  private int column() {
    return position - lineStart + 1;
  }

  private void add(Kind kind, String characters, int column) {
    tokens.add(new Token(kind, characters, 0, "", line, column));
  }

  private void error(int column, String message) {
    diagnostics.add(new PolicyDiagnostic(line, column, Severity.ERROR, message));
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
      takeWhile(c -> c != '\n');
    } else if (first >= '0' && first <= '9') {
      number();
    } else if (first == '"') {
      quoted();
    } else if (Character.isLetter(first) || first == '_') {
      int column = column();
      add(Kind.NAME, takeWhile(c -> Character.isLetterOrDigit(c) || "._-".indexOf(c) >= 0), column);
    } else {
      sign();
    }
  }

  /** Consumes and returns the characters up to the first one that doesn't match the condition. */
  private String takeWhile(IntPredicate condition) {
    int start = position;
    while (position < text.length() && condition.test(text.charAt(position))) {
      position++;
    }
    return text.substring(start, position);
  }

  private void number() {
    int column = column();
    String digits = takeWhile(c -> Character.isDigit(c) || c == '.');
    String unit = takeWhile(Character::isLetter);
    double value = 0;
    try {
      value = Double.parseDouble(digits);
    } catch (NumberFormatException notANumber) {
      error(column, digits + " is not a number");
    }
    tokens.add(new Token(Kind.NUMBER, digits + unit, value, unit, line, column));
  }

  private void quoted() {
    int column = column();
    position++;
    String inside = takeWhile(c -> c != '"' && c != '\n');
    boolean closed = position < text.length() && text.charAt(position) == '"';
    if (closed) {
      position++;
    } else {
      error(column, "this text has no closing quote");
    }
    add(Kind.TEXT, inside, column);
  }

  private void sign() {
    int column = column();
    String two = text.substring(position, Math.min(text.length(), position + 2));
    String sign = TWO_CHARACTER_SIGNS.contains(two) ? two : two.substring(0, 1);
    position += sign.length();
    if (SIGNS.indexOf(sign.charAt(0)) < 0 || sign.equals("=") || sign.equals("!")) {
      error(column, "'" + sign + "' means nothing here");
    } else {
      add(Kind.SIGN, sign, column);
    }
  }
}
