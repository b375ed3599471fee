package mallowstall.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mallowstall.core.placement.Policy;
import mallowstall.core.placement.Policy.Facts;
import mallowstall.policy.CompiledPolicy.CompiledBlock;
import mallowstall.policy.Expression.BooleanExpression;
import mallowstall.policy.Expression.NumberExpression;
import mallowstall.policy.Token.Kind;

/**
 * Parses the classes and blocks of a policy file. After an error, the parser continues behind the
 * faulty block or at the next class, so that one run reports all errors that can be distinguished.
 * Each instance parses one file. Not thread-safe.
 */
final class PolicyParser {
  private final TokenStream tokens;
  private final Diagnostics diagnostics;
  private final ExpressionParser expressions;
  private final Map<String, Policy> policies = new LinkedHashMap<>();

  private PolicyParser(TokenStream tokens, Diagnostics diagnostics) {
    this.tokens = tokens;
    this.diagnostics = diagnostics;
    this.expressions = new ExpressionParser(tokens, diagnostics);
  }

  /**
   * Returns the policies by class of jobs, in the order of the text. The policies can only be used
   * if no error was added to {@code diagnostics}.
   */
  static Map<String, Policy> parse(String text, Diagnostics diagnostics) {
    TokenStream tokens = new TokenStream(Lexer.split(text, diagnostics));
    PolicyParser parser = new PolicyParser(tokens, diagnostics);
    parser.parseFile();
    return parser.policies;
  }

  private void parseFile() {
    while (!tokens.peek().isEnd()) {
      try {
        Token token = tokens.peek();
        if (!token.is("class")) {
          throw new PolicySyntaxException(token, "expected 'class' but found " + token);
        }
        tokens.next();
        parseClass();
      } catch (PolicySyntaxException failure) {
        diagnostics.add(failure.diagnostic());
        tokens.skipToClass();
      }
    }
    if (!policies.containsKey(Policies.DEFAULT_CLASS)) {
      diagnostics.add(
          tokens
              .peek()
              .error("there is no class 'default', which every other class falls back to"));
    }
  }

  private void parseClass() throws PolicySyntaxException {
    Token name = tokens.next();
    if (name.kind() != Kind.NAME && name.kind() != Kind.TEXT) {
      throw new PolicySyntaxException(name, "expected the name of a class");
    }
    if (policies.containsKey(name.text())) {
      diagnostics.add(name.error("class '" + name.text() + "' is defined twice"));
    }
    tokens.expect("{");
    if (tokens.peek().is("}")) {
      diagnostics.add(name.error("class '" + name.text() + "' has no block"));
    }
    List<Policy.Block> blocks = new ArrayList<>();
    while (!tokens.peek().is("}")) {
      Token token = tokens.peek();
      if (token.isEnd() || token.is("class")) {
        throw new PolicySyntaxException(token, "class '" + name.text() + "' has no closing '}'");
      }
      int start = tokens.position();
      try {
        blocks.add(parseBlock());
      } catch (PolicySyntaxException failure) {
        diagnostics.add(failure.diagnostic());
        tokens.skipBlock(start);
      }
    }
    tokens.next();
    policies.put(name.text(), new CompiledPolicy(name.text(), List.copyOf(blocks)));
  }

  private Policy.Block parseBlock() throws PolicySyntaxException {
    Token block = tokens.peek();
    if (!block.is("block")) {
      throw new PolicySyntaxException(block, "expected 'block' or '}' but found " + block);
    }
    tokens.next();
    tokens.expect("{");
    Set<String> properties = new HashSet<>();
    BooleanExpression workers = Expression.literal(true);
    BooleanExpression invalidate = Expression.literal(false);
    Policy.Strategy strategy = Policy.Strategy.RANDOM;
    NumberExpression score = Expression.literal(ValueType.NUMBER, 0);
    while (!tokens.peek().is("}")) {
      Token property = parseProperty();
      if (!properties.add(property.text())) {
        diagnostics.add(property.error(property.text() + " stands twice in this block"));
      }
      tokens.expect(":");
      switch (property.text()) {
        case "workers" -> workers = parseCondition("workers", false);
        case "invalidate" -> invalidate = parseCondition("invalidate", true);
        default -> {
          Token keyword = tokens.next();
          strategy = strategy(keyword);
          if (strategy != Policy.Strategy.RANDOM) {
            score = parseScore(keyword);
          }
        }
      }
    }
    tokens.next();
    if (!properties.contains("strategy")) {
      diagnostics.add(block.error("this block has no strategy"));
    }
    return new CompiledBlock(workers, invalidate, strategy, score);
  }

  /** Consumes and returns the name of a property of a block. */
  private Token parseProperty() throws PolicySyntaxException {
    Token token = tokens.next();
    if (token.isEnd()) {
      throw new PolicySyntaxException(token, "this block has no closing '}'");
    }
    if (!token.is("workers") && !token.is("strategy") && !token.is("invalidate")) {
      throw new PolicySyntaxException(
          token, "expected workers, strategy, invalidate or '}' but found " + token);
    }
    return token;
  }

  /**
   * Parses a condition of a block. Adds a warning if the condition always has the value {@code
   * neverMatchingValue}, because a block with this condition matches no machine.
   */
  private BooleanExpression parseCondition(String property, boolean neverMatchingValue)
      throws PolicySyntaxException {
    Token start = tokens.peek();
    BooleanExpression condition =
        ExpressionParser.requireBoolean(start, expressions.parse(), property);
    if (condition.constant() && condition.value().test(new Facts()) == neverMatchingValue) {
      diagnostics.add(
          start.warning(
              "this block can never match: " + property + " is always " + neverMatchingValue));
    }
    return condition;
  }

  private static Policy.Strategy strategy(Token keyword) throws PolicySyntaxException {
    return switch (keyword.text()) {
      case "random" -> Policy.Strategy.RANDOM;
      case "lowest" -> Policy.Strategy.LOWEST;
      case "highest" -> Policy.Strategy.HIGHEST;
      default ->
          throw new PolicySyntaxException(
              keyword, "expected lowest, highest or random but found " + keyword);
    };
  }

  private NumberExpression parseScore(Token keyword) throws PolicySyntaxException {
    Token start = tokens.peek();
    Expression score = expressions.parse();
    if (score instanceof NumberExpression number) {
      return number;
    }
    throw new PolicySyntaxException(
        start, keyword.text() + " needs a number but this is " + score.type().description());
  }
}
