package mallowstall.policy;

import java.util.List;
import mallowstall.policy.Token.Kind;

/** The tokens of a file with the position of the reader. Not thread-safe. */
final class TokenStream {
  private final List<Token> tokens;
  private int position;

  /** Begins at the first token; the last one must be {@link Kind#END}. */
  TokenStream(List<Token> tokens) {
    this.tokens = tokens;
  }

  /** Index of the token that comes next. */
  int position() {
    return position;
  }

  /** The token that comes next, without taking it. */
  Token peek() {
    return tokens.get(position);
  }

  /** Takes the next token; the end of the file is never passed. */
  Token next() {
    Token token = tokens.get(position);
    if (!token.isEnd()) {
      position++;
    }
    return token;
  }

  /**
   * Takes the given sign.
   *
   * @throws PolicySyntaxException if another token comes next
   */
  void expect(String sign) throws PolicySyntaxException {
    Token token = peek();
    if (!token.is(sign)) {
      throw new PolicySyntaxException(token, "expected '" + sign + "' but found " + token);
    }
    next();
  }

  /** Goes on to the next class, or to the end of the file. */
  void skipToClass() {
    while (!peek().isEnd() && !peek().is("class")) {
      next();
    }
  }

  /**
   * Goes on behind the block whose first token is at {@code start}. If it isn't closed before the
   * next block or class begins, reading goes on there.
   */
  void skipBlock(int start) {
    int open = 0;
    for (int i = start; i < tokens.size() && !tokens.get(i).is("class"); i++) {
      if (i > start && tokens.get(i).is("block")) {
        break;
      }
      if (tokens.get(i).is("{")) {
        open++;
      }
      if (tokens.get(i).is("}") && --open == 0) {
        position = i + 1;
        return;
      }
    }
    do {
      next();
    } while (!peek().isEnd() && !peek().is("block") && !peek().is("class"));
  }
}
