package mallowstall.policy;

import java.util.List;
import mallowstall.policy.Token.Kind;

/** The tokens of a file and the current position of the parser in them. Not thread-safe. */
final class TokenStream {
  private final List<Token> tokens;
  private int position;

  /** Creates a stream at the first token. The last token must be of kind {@link Kind#END}. */
  TokenStream(List<Token> tokens) {
    this.tokens = tokens;
  }

  /** Returns the index of the next token. */
  int position() {
    return position;
  }

  /** Returns the next token without consuming it. */
  Token peek() {
    return tokens.get(position);
  }

  /** Consumes and returns the next token. The end of the file is returned but never consumed. */
  Token next() {
    Token token = tokens.get(position);
    if (!token.isEnd()) {
      position++;
    }
    return token;
  }

  /**
   * Consumes the given operator or punctuation.
   *
   * @throws PolicySyntaxException if the next token is a different one
   */
  void expect(String sign) throws PolicySyntaxException {
    Token token = peek();
    if (!token.is(sign)) {
      throw new PolicySyntaxException(token, "expected '" + sign + "' but found " + token);
    }
    next();
  }

  /** Skips to the next class, or to the end of the file. */
  void skipToClass() {
    while (!peek().isEnd() && !peek().is("class")) {
      next();
    }
  }

  /**
   * Skips to the token behind the block whose first token has the index {@code start}. If the block
   * isn't closed before the next block or class begins, the stream skips to that block or class.
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
